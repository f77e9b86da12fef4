import unittest

from hawthornfold import draining
from hawthornfold.draining import tracker


class DrainTrackerTest(unittest.TestCase):
    def setUp(self):
        self.drains = draining.create_drain_tracker()

    def test_each_signal_alone_stops_work(self):
        # Guards against work for a draining server that only one signal
        # names.
        self.drains.record_platform_listing('a', True, revision=3)
        self.drains.record_health_report('b', 'i1', True, 0.0)
        self.drains.record_refusal('c', 'i1', 0.0)
        self.assertEqual({'a', 'b', 'c'}, set(self.drains.draining_servers()))

    def test_a_clean_health_report_does_not_end_a_refusal(self):
        # Guards against a delayed health report that ends the drain of the
        # same incarnation.
        self.drains.record_refusal('s', 'i1', 0.0)
        self.drains.record_health_report('s', 'i1', False, 1000.0)
        self.assertTrue(self.drains.is_draining('s'))
        self.drains.record_health_report('s', 'i2', False, 2000.0)
        self.assertFalse(self.drains.is_draining('s'))

    def test_an_older_platform_list_is_ignored(self):
        # Guards against a stale replica of the platform that lists a leaving
        # server as live.
        self.drains.record_platform_listing('s', True, revision=9)
        self.drains.record_platform_listing('s', False, revision=8)
        self.assertTrue(self.drains.is_draining('s'))
        self.drains.record_platform_listing('s', False, revision=10)
        self.assertFalse(self.drains.is_draining('s'))

    def test_a_report_about_an_older_incarnation_is_ignored(self):
        # Guards against a delayed notice of a peer that stops work for a
        # server that has restarted.
        self.drains.record_health_report('s', 'i1', True, 0.0)
        self.drains.record_health_report('s', 'i2', False, 10.0)
        self.drains.record_refusal('s', 'i1', 20.0)
        self.assertFalse(self.drains.is_draining('s'))

    def test_a_clean_report_ends_a_refusal_after_the_signal_lifetime(self):
        # Guards against a server that never gets work again after one
        # refusal.
        self.drains.record_refusal('s', 'i1', 0.0)
        later_ms = tracker.SIGNAL_LIFETIME_MS
        self.drains.record_health_report('s', 'i1', False, later_ms)
        self.assertFalse(self.drains.is_draining('s'))
