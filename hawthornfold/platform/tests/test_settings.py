import unittest

from hypothesis import given
from hypothesis import strategies

from hawthornfold.platform.settings import parse_settings

FILE = b"""
NodeName = "frontend-hall-a-1"
Role = "gateway"
Ip = "10.1.0.9"
Zone = "hall-a"
SeedNodes = ["10.1.0.9:8106", "10.2.0.21:8106"]
HeartbeatMs = 1200
NewField = { x = 1 }
[Listen]
Front = "10.1.0.9:8104"
ReadyAddr = "10.1.0.9:8108"
Control = "10.1.0.9:8106"
[Bounds]
GraceS = 6
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 54
[platform]
Address = "10.200.1.7:8102"
form = "read"
"""


class SettingsTest(unittest.TestCase):
    def test_fields_are_decoded_and_converted(self):
        settings = parse_settings(FILE)
        self.assertEqual(settings.caller_address, '10.1.0.9:8104')
        self.assertEqual(settings.peer_address, '10.1.0.9:8106')
        self.assertEqual(settings.store_address, '10.200.1.7:8102')
        self.assertEqual(settings.repeat_window_ms, 10_000.0)
        self.assertEqual(settings.stop_grace_ms, 6_000.0)
        self.assertEqual(len(settings.seed_addresses), 2)

    def test_missing_section_is_a_value_error(self):
        # Guards against a process that ends when it reloads a bad file.
        with self.assertRaises(ValueError):
            parse_settings(FILE.replace(b'[Bounds]', b'[Other]'))

    @given(strategies.binary(max_size=100))
    def test_any_bytes_are_a_value_error(self, data):
        with self.assertRaises(ValueError):
            parse_settings(data)
