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
            'own', 'dc-a', capacity, random.Random(1)
        )
        self.policy.merge_rooms(rooms, 0.0)
        self.live = {room.name for room in rooms}
        return self.policy

    def offer(self, now_ms=0.0, offers=0, **fields):
        return self.policy.choose_delegate(
            create_decision(**fields), offers, self.live.__contains__, now_ms
        )

    def choose(self, now_ms=0.0, **fields):
        offer = self.offer(now_ms, **fields)
        return None if offer is None else offer.node.name

    def test_large_query_of_a_small_node_is_handed_over(self):
        # Guards against queries that a slow link cannot carry in time.
        self.create(create_room('big'))
        self.assertEqual(self.choose(), 'big')

    def test_nodes_of_one_size_keep_their_queries(self):
        # Guards against hops and questions in an even fleet.
        self.create(create_room('peer', SMALL))
        self.assertIsNone(self.choose())
        self.create(create_room('peer', LARGE), capacity=LARGE)
        self.assertFalse(self.policy.should_delegate(create_decision()))
        self.assertIsNone(self.choose())

    def test_small_queries_and_passed_requests_stay(self):
        self.create(create_room('big'))
        self.assertIsNone(self.choose(shards=5))
        passed = create_decision()._replace(
            gather=None, forward=(ForwardTarget('a'),)
        )
        self.assertIsNone(self.policy.choose_delegate(passed, 0, bool, 0.0))

    def test_queries_are_spread_over_the_nodes_with_room(self):
        # Guards against one large node that gets the load of all.
        names = ['big-1', 'big-2', 'big-3']
        self.create(*map(create_room, names))
        chosen = []
        for _ in range(6):
            chosen.append(self.choose())
            self.policy.record_delegation_start(chosen[-1])
        self.assertEqual(sorted(chosen), sorted(names * 2))

    def test_overfull_nodes_get_no_more(self):
        # Guards against a hand-over that takes longer than the own run.
        self.create(create_room('big'))
        for _ in range(10):
            self.policy.record_delegation_start('big')
        self.assertIsNone(self.choose())

    def test_silent_node_is_left_alone_for_a_while(self):
        # Guards against queries for a node that has died.
        self.create(create_room('big'))
        self.policy.record_delegation_start('big')
        self.policy.record_delegation_end('big', 0.0, UNANSWERED_BACKOFF_MS)
        self.assertIsNone(self.choose(UNANSWERED_BACKOFF_MS - 1.0))
        self.assertEqual(self.choose(UNANSWERED_BACKOFF_MS + 1.0), 'big')

    def test_what_was_heard_grows_old(self):
        # Guards against rumours of nodes that nobody has heard of lately.
        self.create(create_room('big', age_ms=ROOM_TTL_MS - 10.0))
        self.assertEqual(self.choose(5.0), 'big')
        self.assertIsNone(self.choose(20.0))
        self.policy.merge_rooms([create_room('big', age_ms=ROOM_TTL_MS)], 20.0)
        self.assertIsNone(self.choose(21.0))

    def test_senders_that_do_not_know_of_each_other_spread(self):
        # Guards against equal nodes of which one gets the queries of all.
        self.create(*map(create_room, ['big-1', 'big-2']))
        chosen = [self.choose() for _ in range(40)]
        self.assertGreater(chosen.count('big-1'), 10)
        self.assertGreater(chosen.count('big-2'), 10)

    def test_node_that_has_left_gets_no_query(self):
        # Guards against queries that wait for a node that was stopped.
        self.create(*map(create_room, ['big-1', 'big-2']))
        self.live.discard('big-1')
        self.assertEqual({self.choose() for _ in range(20)}, {'big-2'})

    def test_query_is_run_here_after_the_most_offers(self):
        self.create(*map(create_room, ['big-1', 'big-2']))
        self.assertIsNotNone(self.offer(offers=MAX_OFFERS - 1))
        self.assertIsNone(self.offer(offers=MAX_OFFERS))

    def test_busy_node_declines_while_others_may_be_asked(self):
        # Guards against queries that queue at one node while others idle.
        self.create(*map(create_room, ['big-1', 'big-2']))
        early, last = self.offer(), self.offer(offers=MAX_OFFERS - 1)
        large = create_delegation_policy('big-1', 'dc-a', LARGE)
        decision = create_decision()
        self.assertTrue(large.accepts(decision, 0, early.limit_ms))
        self.assertFalse(large.accepts(decision, 3, early.limit_ms))
        self.assertTrue(large.accepts(decision, 3, last.limit_ms))
        self.assertFalse(large.accepts(decision, 9, last.limit_ms))

    def test_nodes_that_run_queries_of_others_get_most_of_the_limits(self):
        # Guards against hedges that lack budget where all queries run, and
        # against shares that exceed the limit together.
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

    def test_even_fleet_shares_equally(self):
        self.assertEqual(self.create().compute_limit_share(8, 0.0), 1.0 / 8.0)

    def test_lost_node_keeps_its_share_for_a_while(self):
        # Guards against a budget that is spent twice when a node is cut off.
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

    def test_older_word_does_not_replace_newer(self):
        self.create(create_room('big'))
        self.policy.merge_rooms([create_room('big', SMALL, 5_000.0)], 10.0)
        self.assertEqual(self.choose(10.0), 'big')
