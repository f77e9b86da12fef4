"""Servers that leave or request pauses, under load and over real sockets."""

import contextlib
import itertools
import time
import types
import unittest
from unittest import mock

import eventlet
import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.directory import CallerLimits
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory.directory import LAST_RESORT_MS
from hawthornfold.gateway import state as state_module
from hawthornfold.gateway import sweep
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.handler import IncomingRequest
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.pools import ConnectionLimits
from hawthornfold.gateway.runner import RequestRunner
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.state import GatewayState
from hawthornfold.gateway.tests import support
from hawthornfold.limits import NodeCounts
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import ForwardTarget
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

DEADLINE_MS = 1_500.0
# Interval of the callers of a load, and how long their requests take.
SEND_INTERVAL_S = 0.004
SERVICE_S = 0.01
# The node uses 80% of them.
MAX_CONNECTIONS = 25
# In which a request that was written before a response may still arrive, on a
# busy machine. The requirements allow 500 ms.
ARRIVAL_MS = 100.0


def now_ms():
    """Return the time of the node's clock, in any thread."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class SignallingServer:
    """A backend server that leaves or pauses when a test says so."""

    def __init__(self, test):
        self.arrived_ms = []
        self.executed = []
        self.delay_s = SERVICE_S
        # Headers and status of all responses from now on.
        self.headers = {}
        self.status = 200
        # When the first response with these headers was sent.
        self.signalled_ms = None
        self.scripted = support.ScriptedServer(self._serve)
        test.addCleanup(self.scripted.close)

    @property
    def address(self):
        return self.scripted.address

    @property
    def connection_count(self):
        return self.scripted.connection_count

    def signal(self, status=200, **headers):
        if headers:
            self.signalled_ms = None
        self.status, self.headers = status, headers

    def pause(self, seconds):
        self.signal(503, Retry_After=str(seconds), X_Not_Executed='1')

    def count_arrived(self, from_ms, to_ms=float('inf')):
        return sum(from_ms <= at_ms < to_ms for at_ms in self.arrived_ms)

    def _serve(self, connection, request, number):
        self.arrived_ms.append(now_ms())
        status, headers = self.status, self.headers
        if status == 200:
            self.executed.append(request.headers['x-request-id'])
            time.sleep(self.delay_s)
        answer = support.create_answer(request, status=status, **headers)
        if headers and self.signalled_ms is None:
            self.signalled_ms = now_ms()
        connection.sendall(answer)
        return True


class SignalTestCase(unittest.TestCase):
    """A node with servers of the services a and b, and without a store."""

    def setUp(self):
        self.log = self.enterContext(logbook.TestHandler().applicationbound())
        self.clock = create_system_clock()
        self.metrics = create_metrics()
        self.ids = itertools.count()
        settings = GatewaySettings(
            'n', 'dc', '', '', '', (), 0, '', 0.2, 1e3, 1e4, 6e3
        )
        self.state = GatewayState(
            settings, HeaderNames(), self.clock, self.metrics
        )
        with mock.patch.object(state_module, 'SETTLE_MS', 0.0):
            self.state.set_shares(NodeCounts({'dc': 1}), None)
        self.servers = {}
        watcher = types.SimpleNamespace(age_ms=lambda now_ms: 0.0)
        model = types.SimpleNamespace(
            record_body_size=lambda *_: None, record_send_time=lambda *_: None
        )
        self.runner = RequestRunner(
            self.state, watcher, model, self.clock, self.metrics
        )
        self.handler = GatewayHandler(
            self.state,
            HeaderNames(),
            watcher,
            self.runner,
            self.clock,
            self.metrics,
        )
        loop = eventlet.spawn(
            sweep.ServerSweep(self.state, self.clock, self.metrics).run
        )
        self.addCleanup(loop.kill)
        self.addCleanup(self.state.pools.close)

    def configure(self, is_idempotent=True, max_servers=3, gather=None):
        then = Then(
            urgency='urgent',
            deadline_ms=int(DEADLINE_MS),
            idempotent=is_idempotent,
            coverage_percent=100,
            hedge=is_idempotent,
            objective_ms=100.0,
            max_servers=max_servers,
            forward=() if gather else (ForwardTarget('a'),),
            gather=gather,
        )
        document = RulesDocument((Rule('rule', When(path='/*'), then),))
        self.state.set_configuration(
            RoutingConfiguration(
                1,
                compile_document(document, 1),
                {
                    x: ServiceRecord(x, '/health', MAX_CONNECTIONS)
                    for x in 'ab'
                },
                CallerLimits(16_384, 262_144, 3e3, 15e3),
                document,
            )
        )

    def start_server(self, server_id, service='a'):
        server = self.servers[server_id] = SignallingServer(self)
        self.list_server(server_id, 1, service)
        return server

    def list_server(self, server_id, born_ms, service='a', data_centre='dc'):
        record = ServerRecord(
            server_id,
            service,
            self.servers[server_id].address,
            data_centre,
            8,
            born_ms=born_ms,
        )
        directory = self.state.directory
        self.state.handle_server_events(
            directory.apply([ServerChange(server_id, record)], now_ms())
        )

    def send(self, method='GET'):
        headers = (('Host', 'a.x'), ('X-Request-Id', f'r{next(self.ids)}'))
        incoming = IncomingRequest(
            method, '/a', 'a.x', headers, b'', self.clock.now_ms(), 0.0
        )

        @contextlib.contextmanager
        def watch(notify):
            yield

        with eventlet.Timeout(support.HANG_S):
            return self.handler.handle(incoming, watch)

    def play(self, duration_s, method='GET'):
        """Send requests steadily; return the statuses of the answers."""
        statuses = []
        threads = []
        end_ms = now_ms() + duration_s * 1000.0
        while now_ms() < end_ms:
            threads.append(
                eventlet.spawn(
                    lambda: statuses.append(self.send(method).status)
                )
            )
            eventlet.sleep(SEND_INTERVAL_S)
        for thread in threads:
            thread.wait()
        return statuses

    def count_logged(self, event):
        return sum(f'event={event} ' in x for x in self.log.formatted_records)


class LeavingTest(SignalTestCase):
    def setUp(self):
        super().setUp()
        self.configure()
        self.leaving, self.other = (
            self.start_server('s1'),
            self.start_server('s2'),
        )

    def assert_unused_since(self, signalled_ms):
        self.assertEqual(
            self.leaving.count_arrived(signalled_ms + ARRIVAL_MS), 0
        )

    def test_no_request_reaches_a_server_that_leaves(self):
        # Guards against requests to a server that leaves, which the store
        # lists as ready: first ones, hedges, requests that wait for a
        # connection, and kept connections.
        self.play(0.3)
        self.assertGreater(len(self.leaving.arrived_ms), 5)
        # Slow enough for hedges, and for requests that wait.
        self.leaving.delay_s = self.other.delay_s = 0.06
        self.play(0.3)
        self.leaving.signal(X_Leaving='1')
        statuses = self.play(0.8)
        self.other.delay_s = SERVICE_S
        # A slow server is hedged, and the only other one leaves.
        statuses += self.play(0.5)
        self.assert_unused_since(self.leaving.signalled_ms)
        self.assertEqual(set(statuses), {200})
        # The same entry of the store again, and a complete read of it.
        self.list_server('s1', 1)
        self.state.directory.replace_all(
            [
                ServerChange(record.server_id, record)
                for record in self.state.directory.listed_records
            ],
            now_ms(),
            True,
        )
        self.play(0.3)
        self.assert_unused_since(self.leaving.signalled_ms)
        pool = self.state.pools.find('s1')
        self.assertFalse(pool.has_idle)
        self.assertEqual(self.count_logged('server_leaving'), 1)
        self.assertEqual(self.metrics.value('servers_announced_leaving'), 1)
        # A restart is used again.
        self.leaving.signal()
        restarted_ms = now_ms()
        self.list_server('s1', 2)
        self.state.directory.apply([ServerChange('s2', None)], now_ms())
        self.state.directory.expire_removals(now_ms() + 5_000.0)
        self.assertEqual(self.send().status, 200)
        self.assertEqual(self.leaving.count_arrived(restarted_ms), 1)

    def test_response_after_the_end_of_its_request_counts(self):
        # Guards against a signal that is lost with the response of a hedged
        # part that the answer no longer needs.
        self.list_server('s2', 1, data_centre='other')
        self.leaving.delay_s = 0.15
        self.leaving.signal(X_Leaving='1')
        self.assertEqual(self.send().status, 200)
        # The other server has answered a hedge.
        self.assertIsNone(self.leaving.signalled_ms)
        self.assertEqual(len(self.other.arrived_ms), 1)
        support.wait_until(lambda: self.count_logged('server_leaving'))

    def test_failures_and_truncated_responses_count(self):
        # Guards against a signal that counts only with a success.
        def fail(connection, request, number):
            connection.sendall(
                support.create_answer(request, status=500, X_Leaving='1')
            )
            return True

        def refuse(connection, request, number):
            connection.sendall(
                support.create_answer(
                    request, status=503, X_Leaving='1', X_Not_Executed='1'
                )
            )
            return True

        def truncate(connection, request, number):
            connection.sendall(
                support.create_answer(request, X_Leaving='1')[:-4]
            )
            return False

        def forget_seal(connection, request, number):
            connection.sendall(
                support.create_answer(request, X_Leaving='1', X_Seal=None)
            )
            return True

        for script in (fail, refuse, truncate, forget_seal):
            with self.subTest(script.__name__):
                name = script.__name__
                server = support.ScriptedServer(script)
                self.addCleanup(server.close)
                self.servers = {name: server}
                for server_id in self.state.directory.records:
                    self.state.directory.apply(
                        [ServerChange(server_id, None)], now_ms()
                    )
                self.list_server(name, 1)
                self.send()
                self.assertTrue(
                    self.state.directory.has_announced(
                        self.state.directory.get(name)
                    )
                )

    def test_last_server_of_a_service_serves_for_one_more_second(self):
        # Guards against an outage at the announcement of the last server, and
        # against its use until the end of its drain time.
        self.state.directory.apply([ServerChange('s2', None)], now_ms())
        self.leaving.signal(X_Leaving='1')
        self.assertEqual(self.send().status, 200)
        first_ms = self.leaving.signalled_ms
        statuses = self.play(0.5)
        self.assertEqual(set(statuses), {200})
        self.play(0.8)
        self.assertEqual(
            self.leaving.count_arrived(first_ms + LAST_RESORT_MS + ARRIVAL_MS),
            0,
        )
        answer = self.send()
        self.assertEqual(answer.status, 503)
        self.assertIn('Retry-After', dict(answer.headers))


class PauseTest(SignalTestCase):
    PAUSE_S = 1.5

    def setUp(self):
        super().setUp()
        self.configure()
        self.paused = self.start_server('s1')

    def start_others(self):
        return [self.start_server(name) for name in ('s2', 's3')]

    def test_server_that_requests_a_pause_gets_nothing_until_its_end(self):
        # Guards against requests in the pause, callers that are not served
        # although two of three servers are free, and a server that is blamed.
        self.start_others()
        self.play(0.3)
        self.paused.pause(self.PAUSE_S)
        statuses = self.play(0.3)
        self.paused.signal()
        statuses += self.play(1.0)
        signalled_ms = self.paused.signalled_ms
        end_ms = signalled_ms + self.PAUSE_S * 1000.0
        self.assertEqual(
            self.paused.count_arrived(signalled_ms + ARRIVAL_MS, end_ms - 1.0),
            0,
        )
        self.assertEqual(set(statuses), {200})
        health = self.state.placement.health('s1')
        self.assertEqual(health.estimate(now_ms())[1], 0.0)
        self.assertFalse(health.is_blocked)
        self.assertEqual(self.count_logged('server_paused'), 1)
        self.play(0.6)
        self.assertGreater(self.paused.count_arrived(end_ms), 0)
        self.assertEqual(self.count_logged('server_pause_ended'), 1)
        self.assertEqual(self.metrics.value('servers_paused'), 0)

    def test_request_is_refused_at_once_if_all_servers_pause(self):
        # Guards against callers that wait in vain, or return too early.
        servers = [self.paused, *self.start_others()]
        for number, server in enumerate(servers):
            server.pause(30.0 - number)
        first = self.send()
        self.assertEqual(first.status, 503)
        started_ms = now_ms()
        answer = self.send()
        self.assertLess(now_ms() - started_ms, 50.0)
        self.assertEqual(answer.status, 503)
        retry_after_s = float(dict(answer.headers)['Retry-After'])
        self.assertTrue(27.0 < retry_after_s <= 28.0, retry_after_s)
        arrived = sum(len(server.arrived_ms) for server in servers)
        self.assertEqual(arrived, 3)
        # The statement holds for a gathered query too.
        self.configure(gather=Gather(('a', 'b'), 3))
        other = self.start_server('s4', 'b')
        answer = self.send()
        self.assertEqual(answer.status, 503)
        retry_after_s = float(dict(answer.headers)['Retry-After'])
        self.assertTrue(27.0 < retry_after_s <= 28.0, retry_after_s)
        self.assertEqual(other.arrived_ms, [])

    def test_restarted_server_is_used_again(self):
        # Guards against a pause that outlasts the process that requested it.
        self.paused.pause(30.0)
        self.assertEqual(self.send().status, 503)
        self.paused.signal()
        self.assertEqual(self.send().status, 503)
        self.list_server('s1', 2)
        self.assertEqual(self.send().status, 200)

    def test_requests_that_wait_are_withheld(self):
        # Guards against requests that reach the server after its response
        # because they waited for a connection.
        others = self.start_others()
        for server in others:
            server.delay_s = 0.3
        # One connection to each server.
        for server_id in self.servers:
            record = self.state.directory.get(server_id)
            self.state.get_pool(record).set_limits(ConnectionLimits(1, 1))
        answers = [eventlet.spawn(self.send) for _ in range(30)]
        self.paused.pause(30.0)
        statuses = [thread.wait().status for thread in answers]
        self.assertEqual(set(statuses) - {200, 504}, set())
        self.assertLessEqual(len(self.paused.arrived_ms), 1)

    def test_pause_without_marker_does_not_repeat_other_requests(self):
        # Guards against a request that runs twice: without the marker the
        # server may have executed it.
        others = self.start_others()
        # Their requests cost more, so that s1 gets the first attempt.
        for server_id in ('s2', 's3'):
            self.list_server(server_id, 1, data_centre='other')
        self.configure(is_idempotent=False)
        for number, marker in enumerate((None, '1')):
            with self.subTest(marker=marker):
                self.list_server('s1', 10 + number)
                self.paused.signal(
                    503, Retry_After='30', X_Not_Executed=marker
                )
                status = self.send('POST').status
                self.assertEqual(len(self.paused.arrived_ms), number + 1)
                self.assertEqual(status, 502 if marker is None else 200)
        executed = [x for server in others for x in server.executed]
        self.assertEqual(len(executed), len(set(executed)))

    def test_invalid_values_are_failures_and_change_nothing(self):
        # Guards against a crash, an endless pause and a flood of log lines.
        for text in ('-1', 'nan', 'soon', '0', '', '1e400'):
            with self.subTest(text):
                self.paused.signal(503, Retry_After=text, X_Not_Executed='1')
                answer = self.send()
                self.assertEqual(answer.status, 503)
                self.assertEqual(dict(answer.headers)['Retry-After'], '0.30')
                self.assertEqual(self.state.pauses.count, 0)
        self.assertEqual(
            self.metrics.total('server_pause_requests'),
            len(self.paused.arrived_ms),
        )
        self.assertLessEqual(self.count_logged('server_pause_ignored'), 2)
