import unittest

from hawthornfold import draining


class DrainSignalTest(unittest.TestCase):
    def setUp(self):
        self.tracker = draining.create_drain_tracker()

    def assert_draining(self, *signals):
        self.assertEqual(signals, self.tracker.active_signals('a'))

    def test_flag_outlasts_clean_reports_of_its_incarnation(self):
        # Guards against a delayed health report, sent before the flag was
        # set, that sends work to a draining server.
        self.tracker.record_health_report('a', 'first', True, 1.0)
        self.tracker.record_health_report('a', 'first', False, 2.0)
        self.assert_draining('flag')
        self.tracker.record_health_report('a', 'second', False, 3.0)
        self.assert_draining()

    def test_delayed_reports_of_earlier_incarnations_are_ignored(self):
        # Guards against a delayed report of an earlier incarnation that ends
        # the drain of a newer one or stops work for it.
        self.tracker.record_health_report('a', 'first', False, 4.0)
        self.tracker.record_health_report('a', 'second', True, 5.0)
        self.tracker.record_health_report('a', 'first', False, 6.0)
        self.assert_draining('flag')
        self.tracker.record_health_report('a', 'third', False, 7.0)
        self.tracker.record_health_report('a', 'second', True, 8.0)
        self.tracker.record_refusal('a', 'first', 9.0)
        self.assert_draining()

    def test_first_known_incarnation_does_not_end_an_earlier_refusal(self):
        # Guards against treating the incarnation that refused as a new one,
        # because the refusal named no incarnation.
        self.tracker.record_refusal('a', '', 10.0)
        self.tracker.record_health_report('a', 'first', False, 11.0)
        self.assert_draining('refusal')
        self.tracker.record_health_report('a', 'second', False, 12.0)
        self.assert_draining()

    def test_newer_platform_list_and_clean_report_end_a_drain(self):
        # Guards against a drain that ends on an older platform list, or on a
        # newer list without a clean report after a refusal.
        self.tracker.record_platform_listing('a', True, 5)
        self.tracker.record_health_report('a', 'second', False, 13.0)
        self.tracker.record_platform_listing('a', False, 4)
        self.tracker.record_health_report('a', 'second', False, 14.0)
        self.assert_draining('platform')
        self.tracker.record_refusal('a', 'second', 15.0)
        self.tracker.record_platform_listing('a', False, 6)
        self.assert_draining('refusal')
        self.tracker.record_health_report('a', 'second', False, 16.0)
        self.assert_draining()

    def test_unchanged_platform_list_does_not_end_a_refusal(self):
        # Guards against a refusal that ends with each new revision of the
        # list, although the list never had the server as leaving.
        self.tracker.record_refusal('a', 'first', 17.0)
        self.tracker.record_platform_listing('a', False, 7)
        self.tracker.record_health_report('a', 'first', False, 18.0)
        self.assert_draining('refusal')
