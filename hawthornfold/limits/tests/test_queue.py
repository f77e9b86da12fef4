import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hawthornfold import limits

PUSH = strategies.tuples(
    strategies.just('push'),
    strategies.integers(0, 2),
    strategies.integers(10, 400),
    strategies.integers(0, 9),
)
OTHER = strategies.tuples(
    strategies.sampled_from(['pop', 'finish', 'cancel', 'wait']),
    strategies.integers(0, 30),
    strategies.just(0),
    strategies.just(0),
)


class ServerQueueTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(strategies.lists(PUSH | OTHER, max_size=60))
    def test_every_item_ends_once_and_slots_hold(self, events):
        # Guards against lost or doubled sub-requests and against more work
        # in flight than the server has slots.
        queue = limits.create_server_queue(slots=2, capacity=5)
        now_ms = 0.0
        waiting, running = set(), []
        for name, first, deadline_ms, order in events:
            if name == 'push':
                sequence, evicted = queue.push(
                    first, now_ms + deadline_ms, order, now_ms, None
                )
                if evicted is not None:
                    waiting.remove(evicted.sequence)
                if sequence is not None:
                    waiting.add(sequence)
            elif name == 'pop':
                item, expired = queue.pop(now_ms)
                for late in expired:
                    waiting.remove(late.sequence)
                if item is not None:
                    waiting.remove(item.sequence)
                    running.append(item)
            elif name == 'finish' and running:
                running.pop()
                queue.finish(20.0)
            elif name == 'cancel':
                was_waiting = first in waiting
                waiting.discard(first)
                self.assertEqual(was_waiting, queue.cancel(first))
            elif name == 'wait':
                now_ms += first
            self.assertLessEqual(len(running), 2)
            self.assertLessEqual(len(waiting), 5)
            self.assertEqual(len(waiting) + len(running), queue.depth)

    def test_all_owners_shed_the_same_queries(self):
        # Guards against every query losing a few shards under overload.
        survivors = []
        for arrival in ([3, 1, 4, 2, 5], [5, 4, 3, 2, 1], [1, 2, 3, 4, 5]):
            queue = limits.create_server_queue(slots=1, capacity=2)
            for order in arrival:
                queue.push(1, 1000.0, order, 0.0, order)
            survivors.append({item.payload for item in queue.clear()})
        self.assertEqual([{1, 2}] * 3, survivors)

    def test_refuses_what_could_only_expire(self):
        # Guards against callers that wait for work without a chance.
        queue = limits.create_server_queue(slots=1)
        queue.push(0, 1e9, 0, 0.0, None)
        queue.pop(0.0)
        queue.finish(50.0)
        accepted = [queue.push(0, 200.0, 1, 0.0, None)[0] for _ in range(5)]
        self.assertEqual(2, sum(x is not None for x in accepted))
