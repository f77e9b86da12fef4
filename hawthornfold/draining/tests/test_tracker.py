import unittest

from hawthornfold import draining
from hawthornfold.draining import tracker


class DrainTrackerTest(unittest.TestCase):
    def setUp(self):
        self.drains = draining.create_drain_tracker()

    def test_each_signal_alone_stops_work(self):
        # Guards against a leaving server that only one source announces.
        self.drains.record_platform_listing('a', True, revision=3)
        self.drains.record_health_report('b', 'i1', True, 0.0)
        self.drains.record_refusal('c', 'i1', 0.0)
        self.assertEqual({'a', 'b', 'c'}, set(self.drains.draining_servers()))

    def test_clean_health_does_not_overrule_a_refusal(self):
        # Guards against health reports that lag behind a drain.
        self.drains.record_refusal('s', 'i1', 0.0)
        self.drains.record_health_report('s', 'i1', False, 1000.0)
        self.assertTrue(self.drains.is_draining('s'))
        self.drains.record_health_report('s', 'i2', False, 2000.0)
        self.assertFalse(self.drains.is_draining('s'))

    def test_an_old_platform_list_changes_nothing(self):
        # Guards against a stale replica of the platform that calls a
        # leaving server live.
        self.drains.record_platform_listing('s', True, revision=9)
        self.drains.record_platform_listing('s', False, revision=8)
        self.assertTrue(self.drains.is_draining('s'))
        self.drains.record_platform_listing('s', False, revision=10)
        self.assertFalse(self.drains.is_draining('s'))

    def test_a_report_about_an_older_incarnation_is_ignored(self):
        # Guards against a late peer that stops the server after its restart.
        self.drains.record_health_report('s', 'i1', True, 0.0)
        self.drains.record_health_report('s', 'i2', False, 10.0)
        self.drains.record_refusal('s', 'i1', 20.0)
        self.assertFalse(self.drains.is_draining('s'))

    def test_a_called_off_drain_ends_after_a_while(self):
        # Guards against a server that is lost for good after one refusal.
        self.drains.record_refusal('s', 'i1', 0.0)
        later_ms = tracker.SIGNAL_LIFETIME_MS
        self.drains.record_health_report('s', 'i1', False, later_ms)
        self.assertFalse(self.drains.is_draining('s'))
