import random
import unittest

from hawthornfold.limits import create_repeat_budget

WINDOW_MS = 10_000.0
RATIO = 0.2
SLACK = 54.0


class RepeatBudgetTest(unittest.TestCase):
    def test_repeats_of_all_nodes_stay_within_the_limit_in_any_window(self):
        # Guards against nodes that together exceed the limit of the service.
        rng = random.Random(5)
        nodes = [
            create_repeat_budget(RATIO, SLACK / 7, WINDOW_MS, -WINDOW_MS)
            for _ in range(7)
        ]
        requests, repeats = [], []
        now_ms = 0.0
        for _ in range(5_000):
            now_ms += rng.expovariate(1 / 20.0)
            node = rng.choice(nodes[: rng.randint(1, 7)])
            node.record_request(now_ms)
            requests.append(now_ms)
            for _ in range(rng.randint(0, 3)):
                if node.try_record_repeat(now_ms):
                    repeats.append(now_ms)
        for end_ms in repeats[::7]:
            start_ms = end_ms - WINDOW_MS
            spent = sum(1 for t in repeats if start_ms < t <= end_ms)
            asked = sum(1 for t in requests if start_ms < t <= end_ms)
            self.assertLessEqual(spent, RATIO * asked + SLACK)

    def test_new_incarnation_does_not_spend_the_slack_again(self):
        # Guards against a process that is restarted repeatedly and uses the
        # whole slack each time.
        budget = create_repeat_budget(0.0, SLACK, WINDOW_MS, 0.0)
        self.assertFalse(budget.try_record_repeat(1.0))
        taken = sum(
            budget.try_record_repeat(WINDOW_MS / 2) for _ in range(100)
        )
        self.assertLessEqual(taken, SLACK / 2)

    def test_less_urgent_work_leaves_a_reserve_for_urgent_work(self):
        # Guards against ordinary work whose hedges use up the whole budget.
        budget = create_repeat_budget(0.0, 20.0, WINDOW_MS, -WINDOW_MS)
        ordinary = sum(
            budget.try_record_repeat(0.0, is_urgent=False) for _ in range(50)
        )
        urgent = sum(
            budget.try_record_repeat(0.0, is_urgent=True) for _ in range(50)
        )
        self.assertGreater(ordinary, 0)
        self.assertGreater(urgent, 0)

    def test_repeats_expire_after_the_window(self):
        budget = create_repeat_budget(0.0, 2.0 / 0.85, WINDOW_MS, -WINDOW_MS)
        self.assertEqual(
            [budget.try_record_repeat(0.0) for _ in range(3)], [1, 1, 0]
        )
        self.assertTrue(budget.try_record_repeat(WINDOW_MS + 1.0))
