import random
import unittest

from hawthornfold.delegation import Capacity
from hawthornfold.delegation import Room
from hawthornfold.delegation import create_delegation_policy
from hawthornfold.delegation.policy import MAX_OFFERS
from hawthornfold.delegation.policy import QUERY_RATE_TTL_MS
from hawthornfold.delegation.policy import ROOM_TTL_MS
from hawthornfold.delegation.policy import UNANSWERED_BACKOFF_MS
from hawthornfold.delegation.tests.support import create_decision
from hawthornfold.rules import ForwardTarget

SMALL = Capacity(7.0, 0.5)
LARGE = Capacity(70.0, 2.0)


def create_room(name, capacity=LARGE, age_ms=0.0, data_centre='dc-a'):
    return Room(name, f'{name}:1', data_centre, *capacity, age_ms)


class PolicyTest(unittest.TestCase):
    def create(self, *rooms, capacity=SMALL):
        self.policy = create_delegation_policy(
            'own', 'dc-a', capacity, rng=random.Random(1)
        )
        self.policy.merge_rooms(rooms, 0.0)
        self.live = {room.name for room in rooms}
        return self.policy

    def offer(self, now_ms=0.0, declined_count=0, **fields):
        return self.policy.choose_delegate(
            create_decision(**fields),
            declined_count,
            self.live.__contains__,
            now_ms,
        )

    def choose(self, now_ms=0.0, **fields):
        offer = self.offer(now_ms, **fields)
        return None if offer is None else offer.node.name

    def test_large_query_of_a_small_node_is_delegated(self):
        # Guards against missed objectives: a slow link cannot transfer the
        # responses of many shards in time.
        self.create(create_room('big'))
        self.assertEqual(self.choose(), 'big')

    def test_nodes_of_equal_size_run_queries_locally(self):
        # Guards against useless hops and capacity queries in a fleet of equal
        # nodes.
        self.create(create_room('peer', SMALL))
        self.assertIsNone(self.choose())
        self.create(create_room('peer', LARGE), capacity=LARGE)
        self.assertFalse(self.policy.should_delegate(create_decision()))
        self.assertIsNone(self.choose())

    def test_small_queries_and_forwarded_requests_run_locally(self):
        self.create(create_room('big'))
        self.assertIsNone(self.choose(shards=5))
        forwarded = create_decision()._replace(
            gather=None, forward=(ForwardTarget('a'),)
        )
        self.assertIsNone(self.policy.choose_delegate(forwarded, 0, bool, 0.0))

    def test_queries_are_spread_over_delegate_nodes(self):
        # Guards against one large node receiving every query.
        names = ['big-1', 'big-2', 'big-3']
        self.create(*map(create_room, names))
        chosen = []
        for _ in range(6):
            chosen.append(self.choose())
            self.policy.record_delegation_start(chosen[-1])
        self.assertEqual(sorted(chosen), sorted(names * 2))

    def test_overloaded_node_gets_no_more_queries(self):
        # Guards against delegation to a node so busy that running the query
        # locally is faster.
        self.create(create_room('big'))
        for _ in range(10):
            self.policy.record_delegation_start('big')
        self.assertIsNone(self.choose())

    def test_unresponsive_node_gets_no_queries_during_backoff(self):
        # Guards against queries sent to a node that has crashed.
        self.create(create_room('big'))
        self.policy.record_delegation_start('big')
        self.policy.record_delegation_end('big', 0.0, UNANSWERED_BACKOFF_MS)
        self.assertIsNone(self.choose(UNANSWERED_BACKOFF_MS - 1.0))
        self.assertEqual(self.choose(UNANSWERED_BACKOFF_MS + 1.0), 'big')

    def test_capacity_reports_expire(self):
        # Guards against old reports that nodes keep passing to each other
        # after the reported node has stopped.
        self.create(create_room('big', age_ms=ROOM_TTL_MS - 10.0))
        self.assertEqual(self.choose(5.0), 'big')
        self.assertIsNone(self.choose(20.0))
        self.policy.merge_rooms([create_room('big', age_ms=ROOM_TTL_MS)], 20.0)
        self.assertIsNone(self.choose(21.0))

    def test_independent_senders_spread_their_queries(self):
        # Guards against all senders choosing the same one of several equal
        # nodes.
        self.create(*map(create_room, ['big-1', 'big-2']))
        chosen = [self.choose() for _ in range(40)]
        self.assertGreater(chosen.count('big-1'), 10)
        self.assertGreater(chosen.count('big-2'), 10)

    def test_node_that_has_left_gets_no_query(self):
        # Guards against queries that wait for a stopped node.
        self.create(*map(create_room, ['big-1', 'big-2']))
        self.live.discard('big-1')
        self.assertEqual({self.choose() for _ in range(20)}, {'big-2'})

    def test_query_runs_locally_after_the_maximum_number_of_offers(self):
        self.create(*map(create_room, ['big-1', 'big-2']))
        self.assertIsNotNone(self.offer(declined_count=MAX_OFFERS - 1))
        self.assertIsNone(self.offer(declined_count=MAX_OFFERS))

    def test_busy_node_declines_while_other_nodes_remain(self):
        # Guards against queries queueing at one node while others are idle.
        self.create(*map(create_room, ['big-1', 'big-2']))
        early, last = self.offer(), self.offer(declined_count=MAX_OFFERS - 1)
        large = create_delegation_policy('big-1', 'dc-a', LARGE)
        decision = create_decision()
        self.assertTrue(large.accepts(decision, 0, early.limit_ms))
        self.assertFalse(large.accepts(decision, 3, early.limit_ms))
        self.assertTrue(large.accepts(decision, 3, last.limit_ms))
        self.assertFalse(large.accepts(decision, 9, last.limit_ms))

    def test_delegate_nodes_get_most_of_the_limits(self):
        # Guards against delegate nodes that lack the budget for hedges, and
        # against shares whose sum exceeds the limit.
        rooms = [create_room('big-1'), create_room('big-2')]
        small = self.create(*rooms)
        large = create_delegation_policy('big-1', 'dc-a', LARGE)
        large.record_capacity_query(0.0)
        large.merge_rooms(rooms, 0.0)
        shares = [large.compute_limit_share(20, 0.0)] * 2 + [
            small.compute_limit_share(20, 0.0)
        ] * 18
        self.assertAlmostEqual(sum(shares), 1.0)
        self.assertGreater(shares[0], 0.3)

    def test_fleet_of_equal_nodes_has_no_delegate_share(self):
        # Its nodes share the limits by data centre (limits/shares.py).
        self.assertIsNone(self.create().compute_limit_share(8, 0.0))

    def test_lost_node_keeps_its_share_until_its_rate_expires(self):
        # Guards against a budget spent twice: a node that is cut off may still
        # use its share.
        rooms = [create_room('big-1'), create_room('big-2')]
        large = create_delegation_policy('big-1', 'dc-a', LARGE)
        large.merge_rooms(rooms, 0.0)
        before = 0.0
        for now_ms in (0.0, QUERY_RATE_TTL_MS - 1.0):
            large.record_capacity_query(now_ms)
            before = large.compute_limit_share(20, now_ms)
            self.assertLess(before, 0.4)
        large.record_capacity_query(QUERY_RATE_TTL_MS + 1.0)
        self.assertGreater(
            large.compute_limit_share(20, QUERY_RATE_TTL_MS + 1.0), before
        )

    def test_older_report_does_not_replace_newer(self):
        self.create(create_room('big'))
        self.policy.merge_rooms([create_room('big', SMALL, 5_000.0)], 10.0)
        self.assertEqual(self.choose(10.0), 'big')
