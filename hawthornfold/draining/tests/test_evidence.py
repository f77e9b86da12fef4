import unittest

from hawthornfold import draining


class DrainEvidenceTest(unittest.TestCase):
    def setUp(self):
        self.tracker = draining.create_drain_tracker()

    def assert_draining(self, *reasons):
        self.assertEqual(reasons, self.tracker.active_signals('a'))

    def test_flag_outlasts_clean_reports_of_its_incarnation(self):
        # Guards against a health report that lags behind the flag.
        self.tracker.record_health_report('a', 'first', True, 1.0)
        self.tracker.record_health_report('a', 'first', False, 2.0)
        self.assert_draining('flag')
        self.tracker.record_health_report('a', 'second', False, 3.0)
        self.assert_draining()

    def test_late_reports_of_earlier_incarnations(self):
        # Guards against a late report that ends the signal of a newer
        # process, and against one that stops work for it.
        self.tracker.record_health_report('a', 'first', False, 4.0)
        self.tracker.record_health_report('a', 'second', True, 5.0)
        self.tracker.record_health_report('a', 'first', False, 6.0)
        self.assert_draining('flag')
        self.tracker.record_health_report('a', 'third', False, 7.0)
        self.tracker.record_health_report('a', 'second', True, 8.0)
        self.tracker.record_refusal('a', 'first', 9.0)
        self.assert_draining()

    def test_refusal_before_any_incarnation_is_known(self):
        # Guards against taking the drained process for a new one.
        self.tracker.record_refusal('a', '', 10.0)
        self.tracker.record_health_report('a', 'first', False, 11.0)
        self.assert_draining('refusal')
        self.tracker.record_health_report('a', 'second', False, 12.0)
        self.assert_draining()

    def test_platform_list_and_clean_report_together(self):
        # Guards against a return on an old list, and against a refusal that
        # a new list ends without a clean report.
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

    def test_unchanged_platform_list_is_no_evidence(self):
        # Guards against a return with every change of the list, which says
        # nothing about a server that was never listed as leaving.
        self.tracker.record_refusal('a', 'first', 17.0)
        self.tracker.record_platform_listing('a', False, 7)
        self.tracker.record_health_report('a', 'first', False, 18.0)
        self.assert_draining('refusal')
