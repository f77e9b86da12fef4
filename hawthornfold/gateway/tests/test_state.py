"""What the state of a node passes on to the limiter of cold servers."""

import unittest

from hawthornfold.clock import create_manual_clock
from hawthornfold.delegation import ServerNotice
from hawthornfold.directory import CallerLimits
from hawthornfold.directory import EvacuationChange
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory import StorePosition
from hawthornfold.eligibility import FleetNodes
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.state import GatewayState
from hawthornfold.gathering import ServerSignals
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import compile_document

SETTINGS = GatewaySettings(
    'n1', 'dc', '', '', '', (), 0, '', 0.2, 1e3, 1e4, 6e3, warmup_slack=1.0
)
WARM = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc', 2, born_ms=5)


class ServerNoticeTest(unittest.TestCase):
    """Signals of responses that another node has received."""

    def setUp(self):
        self.state = GatewayState(
            SETTINGS,
            HeaderNames(),
            create_manual_clock(1_000),
            create_metrics(),
        )
        self.state.directory.apply([ServerChange('s1', WARM)], 1_000.0)

    def is_used(self):
        return bool(self.state.directory.available_servers('portal', 9e9))

    def test_server_that_leaves_gets_no_further_request(self):
        # Guards against a node that passes on that a server leaves, and sends
        # requests to it while the store does not answer.
        self.state.handle_server_notice(ServerNotice('s1', 5, True))
        self.assertFalse(self.is_used())

    def test_limit_of_a_server_applies(self):
        self.state.handle_server_notice(ServerNotice('s1', 5, False, '2.5'))
        self.assertEqual(self.state.rate_limits.get('s1').per_s, 2.5)
        self.assertTrue(self.is_used())

    def test_notice_about_another_process_of_the_server_is_ignored(self):
        for notice in (
            ServerNotice('s1', 4, True, '2.5'),
            ServerNotice('s2', 5, True),
        ):
            self.state.handle_server_notice(notice)
        self.assertTrue(self.is_used())
        self.assertIsNone(self.state.rate_limits.get('s1'))


class ColdServerStateTest(unittest.TestCase):
    def setUp(self):
        self.clock = create_manual_clock(1_000)
        self.metrics = create_metrics()
        self.state = GatewayState(
            SETTINGS, HeaderNames(), self.clock, self.metrics
        )
        document = RulesDocument(())
        service = ServiceRecord('portal', '/', 2, 3_000.0, 1.0)
        self.state.set_configuration(
            RoutingConfiguration(
                1,
                compile_document(document, 1),
                {'portal': service},
                CallerLimits(16_384, 262_144, 3_000.0, 15_000.0),
                document,
            )
        )
        self.state.set_fleet_nodes(FleetNodes({'n1': 'dc'}, True, 1_000.0))
        self.apply(WARM)

    def apply(self, record):
        events = self.state.directory.apply(
            [ServerChange('s1', record)], self.clock.now_ms()
        )
        self.state.handle_server_events(events)

    def evacuate(self, data_centre, revision):
        """Evacuate a data centre and take that back."""
        for is_evacuated in (True, False):
            self.state.directory.evacuations.apply_changes(
                [EvacuationChange(data_centre, is_evacuated, revision)],
                StorePosition(1, revision),
                self.clock.now_ms(),
            )
            revision += 1

    def count_sends(self, record):
        """Return how many requests may be sent now, at most 5."""
        now_ms = self.clock.now_ms()
        for count in range(5):
            if not self.state.may_send(record, now_ms):
                return count
            self.state.eligibility.record_send(record, now_ms)
        return 5

    def test_restart_as_a_cold_process_is_limited(self):
        # Guards against the removal of the old process that takes what the
        # entry of the new one said with it.
        self.assertEqual(self.count_sends(WARM), 5)
        cold = WARM._replace(born_ms=6, warmup_ms=3_000.0)
        self.apply(cold)
        self.assertEqual(self.count_sends(cold), 2)
        self.state.set_fleet_nodes(FleetNodes({'n1': 'dc'}, True, 1_000.0))
        self.assertEqual(self.count_sends(cold), 0)
        self.assertEqual(self.metrics.value('cold_servers'), 1)

    def test_headers_settings_and_returns_reach_the_limiter(self):
        # Guards against signals that have no effect.
        now_ms = self.clock.now_ms()
        self.state.handle_signals(WARM, ServerSignals(warmup='500'), now_ms)
        self.assertEqual(self.count_sends(WARM), 2)
        self.state.set_settings(SETTINGS._replace(warmup_slack=3.0))
        self.assertEqual(self.count_sends(WARM), 2)
        self.clock.advance(2_000)
        self.assertEqual(self.count_sends(WARM), 5)
        self.evacuate('other', 1)
        self.assertEqual(self.count_sends(WARM), 5)
        self.clock.advance(1_000)
        self.evacuate('dc', 3)
        self.assertEqual(self.count_sends(WARM), 4)

    def test_server_that_is_removed_and_returns_keeps_its_window(self):
        # Guards against a double limit when an entry is written again.
        cold = WARM._replace(warmup_ms=3_000.0)
        self.apply(cold)
        self.assertEqual(self.count_sends(cold), 2)
        self.apply(None)
        self.clock.advance(100)
        self.state.set_fleet_nodes(FleetNodes({'n1': 'dc'}, True, 1_100.0))
        self.apply(cold)
        self.assertEqual(self.count_sends(cold), 0)
