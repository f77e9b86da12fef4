import unittest

import logbook

from hawthornfold.clock import create_manual_clock
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import create_server_directory
from hawthornfold.eligibility import MAX_PAUSE_MS
from hawthornfold.eligibility import create_rate_limit_register
from hawthornfold.eligibility import create_server_pauses
from hawthornfold.gateway.exchange import ResponseClassifier
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.server_signals import create_server_signal_handler
from hawthornfold.gathering import NO_SIGNALS
from hawthornfold.gathering import ServerSignals
from hawthornfold.metrics import create_metrics

RECORD = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc', 2, born_ms=5)


class ServerSignalHandlerTest(unittest.TestCase):
    def setUp(self):
        self.log = self.enterContext(logbook.TestHandler().applicationbound())
        self.clock = create_manual_clock(1_000)
        self.metrics = create_metrics()
        self.directory = create_server_directory()
        self.directory.apply([ServerChange('s1', RECORD)], 0.0)
        self.pauses = create_server_pauses()
        self.rate_limits = create_rate_limit_register()
        self.events = []
        self.handler = create_server_signal_handler(
            self.directory,
            self.pauses,
            self.rate_limits,
            self.events.extend,
            self.clock,
            self.metrics,
        )

    def handle_full(self, text, record=RECORD):
        self.handler.handle_full(record, text, self.clock.now_ms())

    def count(self, outcome):
        return self.metrics.value('server_pause_requests', outcome=outcome)

    def count_logged(self, event):
        return sum(f'event={event} ' in x for x in self.log.formatted_records)

    def test_each_change_is_logged_and_counted_once(self):
        # Guards against a log that all responses of a leaving server flood.
        for _ in range(100):
            self.handler.handle_leaving(RECORD, self.clock.now_ms())
        self.assertEqual([event.kind for event in self.events], ['draining'])
        self.assertEqual(self.count_logged('server_leaving'), 1)
        self.assertEqual(self.metrics.value('server_leaving_announcements'), 1)
        self.assertEqual(self.metrics.value('servers_announced_leaving'), 1)

    def test_short_pauses_and_invalid_values_do_not_flood_the_log(self):
        # Guards against a log that drops changes of state because of one
        # faulty server under load.
        for _ in range(1_000):
            self.handle_full('0.004')
            self.handle_full('soon')
            self.clock.advance(5.0)
            self.handler.expire(self.clock.now_ms())
        self.assertEqual(self.count('applied'), 1_000)
        self.assertEqual(self.count('invalid'), 1_000)
        for event in ('paused', 'pause_ended', 'pause_ignored'):
            self.assertEqual(self.count_logged(f'server_{event}'), 5)
        self.assertEqual(self.metrics.value('servers_paused'), 0)

    def test_text_of_a_server_cannot_forge_a_log_line(self):
        # Guards against quotes and control characters in a header.
        self.handle_full('" event=server_paused \x01' + 'x' * 9_000)
        (line,) = self.log.formatted_records
        self.assertNotIn('\x01', line)
        self.assertEqual(line.count('"'), 2)
        self.assertLess(len(line), 300)

    def test_responses_of_replaced_processes_are_ignored(self):
        # Guards against a late response that pauses a restarted server, and
        # against pauses of servers that are not listed any more.
        for record in (
            RECORD._replace(born_ms=4),
            RECORD._replace(address='127.0.0.1:2'),
            RECORD._replace(server_id='s2'),
        ):
            self.handle_full('5', record)
            self.handler.handle_leaving(
                record._replace(born_ms=4), self.clock.now_ms()
            )
        self.assertEqual(self.count('obsolete'), 3)
        self.assertEqual(self.pauses.count, 0)
        self.assertTrue(self.directory.is_available(RECORD, 1_000.0))

    def test_long_pause_is_counted_as_capped(self):
        self.handle_full('99999999999')
        self.assertEqual(self.count('capped'), 1)
        self.assertEqual(
            self.pauses.free_ms(RECORD, 1_000.0), 1_000.0 + MAX_PAUSE_MS
        )

    def test_only_a_valid_time_requests_a_pause(self):
        # Guards against a failing server that is never counted as such.
        for text, requests_pause in (('2', True), ('0', False), ('', False)):
            signals = ServerSignals(retry_after=text, is_full=True)
            self.assertIs(self.handler.requests_pause(signals), requests_pause)
        self.assertFalse(self.handler.requests_pause(NO_SIGNALS))


class ReadSignalsTest(unittest.TestCase):
    def read(self, status, **fields):
        headers = {
            name.replace('_', '-').encode(): value
            for name, value in fields.items()
        }
        return ResponseClassifier(HeaderNames()).read_signals(status, headers)

    def test_leaving_is_the_value_one(self):
        # Guards against other values, and against a header that is sent twice.
        for value, is_leaving in (
            (b'1', True),
            (b'1, 1', True),
            (b'0', False),
            (b'', False),
            (b'11', False),
        ):
            with self.subTest(value):
                signals = self.read(200, x_leaving=value)
                self.assertIs(signals.is_leaving, is_leaving)

    def test_retry_after_counts_only_with_status_503(self):
        # Guards against a pause that another failure seems to request.
        self.assertIs(self.read(500, retry_after=b'5'), NO_SIGNALS)
        self.assertEqual(self.read(503, retry_after=b'5').retry_after, '5')
        self.assertTrue(self.read(503).is_full)

    def test_signals_of_another_server_are_ignored(self):
        # Guards against a server that another one at its address announces
        # as leaving.
        self.assertIs(self.read(421, x_leaving=b'1'), NO_SIGNALS)
