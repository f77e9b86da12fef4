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
    def test_every_item_ends_once_and_slots_are_not_exceeded(self, events):
        # Guards against lost or duplicated sub-requests, and against more
        # running sub-requests than the server has slots.
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
                for expired_item in expired:
                    waiting.remove(expired_item.sequence)
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
        # Guards against owners that shed different queries under overload,
        # so that every query loses a few shards.
        survivors = []
        for arrival in ([3, 1, 4, 2, 5], [5, 4, 3, 2, 1], [1, 2, 3, 4, 5]):
            queue = limits.create_server_queue(slots=1, capacity=2)
            for order in arrival:
                queue.push(1, 1000.0, order, 0.0, order)
            survivors.append({item.payload for item in queue.clear()})
        self.assertEqual([{1, 2}] * 3, survivors)

    def test_push_refuses_items_that_could_not_finish_in_time(self):
        # Guards against callers that wait for sub-requests that are bound to
        # expire.
        queue = limits.create_server_queue(slots=1)
        queue.push(0, 1e9, 0, 0.0, None)
        queue.pop(0.0)
        queue.finish(50.0)
        accepted = [queue.push(0, 200.0, 1, 0.0, None)[0] for _ in range(5)]
        self.assertEqual(2, sum(x is not None for x in accepted))
