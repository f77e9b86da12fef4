import unittest

from hawthornfold import shedding
from hawthornfold.shedding import admission


class AdmissionControllerTest(unittest.TestCase):
    def simulate(self, rounds, wait_ms, urgencies=(0, 1)):
        """Record arrivals and replies; `wait_ms` maps urgency to a delay."""
        for step in range(rounds):
            now_ms = self.start_ms + step * 5.0
            for urgency in urgencies:
                priority = shedding.compute_priority(urgency, step * 7)
                self.controller.record_arrival(priority, now_ms)
                if self.controller.admits(priority):
                    self.controller.record_wait(
                        urgency, wait_ms[urgency], 400.0, now_ms
                    )
        self.start_ms += rounds * 5.0

    def setUp(self):
        self.controller = shedding.create_admission_controller()
        self.start_ms = 0.0

    def test_late_ordinary_work_never_sheds_urgent_queries(self):
        # Guards against urgent queries refused because ordinary work waits
        # behind them, which cost 40% of urgent goodput under overload.
        self.simulate(2000, {0: 1.0, 1: 390.0})
        self.assertLess(self.controller.limit, admission.LEVEL_COUNT)
        for order in range(64):
            priority = shedding.compute_priority(0, order)
            self.assertTrue(self.controller.admits(priority))

    def test_admits_all_again_after_an_overload(self):
        # Guards against shedding that continues after the overload.
        self.simulate(2000, {0: 300.0, 1: 390.0})
        self.assertLess(self.controller.limit, 64)
        self.simulate(8000, {0: 1.0, 1: 1.0})
        self.assertEqual(admission.LEVEL_COUNT, self.controller.limit)

    def test_few_slow_replies_shed_nothing(self):
        # Guards against 8 to 15% of queries refused at moderate load because
        # the limit was lowered after an interval with few replies.
        for step in range(200):
            wait_ms = 390.0 if step % 12 == 0 else 1.0
            priority = shedding.compute_priority(1, step)
            self.controller.record_arrival(priority, step * 5.0)
            self.controller.record_wait(1, wait_ms, 400.0, step * 5.0)
        self.assertEqual(admission.LEVEL_COUNT, self.controller.limit)
