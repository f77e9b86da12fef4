import unittest

from hawthornfold.delegation import Capacity
from hawthornfold.delegation import Room
from hawthornfold.delegation import create_delegation_policy
from hawthornfold.delegation.policy import DISTRUST_MS
from hawthornfold.delegation.policy import ROOM_AGE_MS
from hawthornfold.rules import Decision
from hawthornfold.rules import ForwardTarget
from hawthornfold.rules import Gather

SMALL = Capacity(7.0, 0.5)
LARGE = Capacity(70.0, 2.0)


def create_decision(shards=90, objective_ms=120.0):
    return Decision(
        'r',
        0,
        600,
        True,
        95,
        'refuse',
        True,
        1,
        20,
        'pin',
        objective_ms,
        gather=Gather(tuple(map(str, range(shards))), 20),
    )


def create_room(name, capacity=LARGE, age_ms=0.0, data_centre='dc-a'):
    return Room(name, f'{name}:1', data_centre, *capacity, age_ms)


class PolicyTest(unittest.TestCase):
    def create(self, *rooms, capacity=SMALL):
        self.policy = create_delegation_policy('own', 'dc-a', capacity)
        self.policy.learn(rooms, 0.0)
        return self.policy

    def choose(self, now_ms=0.0, **fields):
        room = self.policy.choose(create_decision(**fields), now_ms)
        return None if room is None else room.name

    def test_large_query_of_a_small_node_is_handed_over(self):
        # Guards against queries that a slow link cannot carry in time.
        self.create(create_room('big'))
        self.assertEqual(self.choose(), 'big')

    def test_nodes_of_one_size_keep_their_queries(self):
        # Guards against hops and questions in an even fleet.
        self.create(create_room('peer', SMALL))
        self.assertIsNone(self.choose())
        self.create(create_room('peer', LARGE), capacity=LARGE)
        self.assertFalse(self.policy.needs_room(create_decision()))
        self.assertIsNone(self.choose())

    def test_small_queries_and_passed_requests_stay(self):
        self.create(create_room('big'))
        self.assertIsNone(self.choose(shards=5))
        passed = create_decision()._replace(
            gather=None, forward=(ForwardTarget('a'),)
        )
        self.assertIsNone(self.policy.choose(passed, 0.0))

    def test_queries_are_spread_over_the_nodes_with_room(self):
        # Guards against one large node that gets the load of all.
        names = ['big-1', 'big-2', 'big-3']
        self.create(*map(create_room, names))
        chosen = []
        for _ in range(6):
            chosen.append(self.choose())
            self.policy.begin(chosen[-1])
        self.assertEqual(sorted(chosen), sorted(names * 2))

    def test_overfull_nodes_get_no_more(self):
        # Guards against a hand-over that takes longer than the own run.
        self.create(create_room('big'))
        for _ in range(10):
            self.policy.begin('big')
        self.assertIsNone(self.choose())

    def test_silent_node_is_left_alone_for_a_while(self):
        # Guards against queries for a node that has died.
        self.create(create_room('big'))
        self.policy.begin('big')
        self.policy.end('big', False, 0.0)
        self.assertIsNone(self.choose(DISTRUST_MS - 1.0))
        self.assertEqual(self.choose(DISTRUST_MS + 1.0), 'big')

    def test_what_was_heard_grows_old(self):
        # Guards against rumours of nodes that nobody has heard of lately.
        self.create(create_room('big', age_ms=ROOM_AGE_MS - 10.0))
        self.assertEqual(self.choose(5.0), 'big')
        self.assertIsNone(self.choose(20.0))
        self.policy.learn([create_room('big', age_ms=ROOM_AGE_MS)], 20.0)
        self.assertIsNone(self.choose(21.0))

    def test_older_word_does_not_replace_newer(self):
        self.create(create_room('big'))
        self.policy.learn([create_room('big', SMALL, 5_000.0)], 10.0)
        self.assertEqual(self.choose(10.0), 'big')
