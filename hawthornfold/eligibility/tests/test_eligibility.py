import math
import unittest

from hawthornfold.directory import ServerRecord
from hawthornfold.eligibility import SendRestriction
from hawthornfold.eligibility import create_server_eligibility
from hawthornfold.placement import create_latency_tracker
from hawthornfold.placement import create_placement
from hawthornfold.rules import Decision

DECISION = Decision('r', 0, 600, True, 75, 'refuse', True, 1, 20, 'pin', 100.0)


def create_record(name):
    return ServerRecord(name, 'portal', '127.0.0.1:1', 'dc-a', 2)


class RefuseUntil(SendRestriction):
    """Refuses the servers of `times` until their time; None is unknown."""

    def __init__(self, times):
        self.times = times
        self.sent = []

    def refuses(self, record, now_ms):
        if record.server_id not in self.times:
            return False
        end_ms = self.times[record.server_id]
        return end_ms is None or now_ms < end_ms

    def free_ms(self, record, now_ms):
        return self.times[record.server_id]

    def record_send(self, record, now_ms):
        self.sent.append(record.server_id)

    def remove_server(self, server_id):
        self.times.pop(server_id, None)


class ServerEligibilityTest(unittest.TestCase):
    def test_one_refusal_is_enough(self):
        # Guards against a restriction that another one overrides.
        eligibility = create_server_eligibility(
            (RefuseUntil({'a': 50.0}), RefuseUntil({'a': 80.0}))
        )
        record = create_record('a')
        self.assertFalse(eligibility.allows(record, 60.0))
        self.assertTrue(eligibility.allows(record, 80.0))
        self.assertEqual(eligibility.free_ms(record, 10.0), 80.0)

    def test_unknown_end_is_never(self):
        # Guards against a Retry-After at which the server still refuses.
        eligibility = create_server_eligibility(
            (RefuseUntil({'a': None}), RefuseUntil({'a': 80.0}))
        )
        self.assertEqual(
            eligibility.free_ms(create_record('a'), 10.0), math.inf
        )

    def test_placement_skips_refused_servers_without_blame(self):
        # Guards against requests to a refused server, also through the
        # choice that placement reuses.
        restriction = RefuseUntil({})
        placement = create_placement(
            'dc-a',
            create_latency_tracker(),
            eligibility=create_server_eligibility((restriction,)),
        )
        servers = (create_record('a'), create_record('b'))
        first = placement.choose_first_server('portal', servers, DECISION, 0.0)
        restriction.times[first.server_id] = 50.0
        second = placement.choose_first_server(
            'portal', servers, DECISION, 10.0
        )
        self.assertNotEqual(second.server_id, first.server_id)
        restriction.times[second.server_id] = 40.0
        self.assertIsNone(
            placement.choose_first_server('portal', servers, DECISION, 20.0)
        )
        self.assertEqual(placement.free_ms(servers, 20.0), 40.0)
        self.assertEqual(placement.blocked_server_ids(), [])
