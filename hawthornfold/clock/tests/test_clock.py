import unittest

from hawthornfold import clock


class ManualClockTest(unittest.TestCase):
    def test_refuses_to_move_backwards(self):
        # Guards against state machines seeing time run backwards in tests.
        manual = clock.create_manual_clock()
        with self.assertRaises(ValueError):
            manual.advance(-1)
