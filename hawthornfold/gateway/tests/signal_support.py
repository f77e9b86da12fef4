"""A node without a store, and servers that leave or pause, for tests."""

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
from hawthornfold.gateway import state as state_module
from hawthornfold.gateway import sweep
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.runner import RequestRunner
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.state import GatewayState
from hawthornfold.gateway.tests import support
from hawthornfold.limits import NodeCounts
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import ForwardTarget
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
# In which a request that was written before a response may still arrive, as
# the requirements allow. What the node writes is checked without it.
ARRIVAL_MS = 500.0


def now_ms():
    """Return the time of the node's clock, in any thread."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class SignallingServer:
    """A backend server that leaves or pauses when a test says so."""

    def __init__(self, test):
        self.arrived_ms = []
        self.executed = []
        self.delay_s = SERVICE_S
        # How long it takes to answer with another status than 200.
        self.refusal_delay_s = 0.0
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
        else:
            time.sleep(self.refusal_delay_s)
        answer = support.create_answer(request, status=status, **headers)
        if headers and self.signalled_ms is None:
            self.signalled_ms = now_ms()
        connection.sendall(answer)
        return True


class SendLog:
    """When a node wrote requests to its servers and handled their signals.

    Parameters
    ----------
    state : GatewayState
        The state of the node.
    """

    def __init__(self, state):
        self._sent = []
        self._signalled = []
        self._record_send = state.eligibility.record_send
        self._handle_signals = state.handle_signals
        state.eligibility.record_send = self._log_send
        state.handle_signals = self._log_signals

    def first_signal_ms(self, server_id):
        """Return when the node handled the first signal of a server."""
        return min(
            at_ms for name, at_ms in self._signalled if name == server_id
        )

    def list_sent_ms(self, server_id, from_ms, to_ms=float('inf')):
        """Return when requests were written to a server, within a time."""
        return [
            at_ms
            for name, at_ms in self._sent
            if name == server_id and from_ms <= at_ms < to_ms
        ]

    def _log_send(self, record, at_ms):
        self._sent.append((record.server_id, at_ms))
        self._record_send(record, at_ms)

    def _log_signals(self, record, signals, at_ms):
        self._handle_signals(record, signals, at_ms)
        self._signalled.append((record.server_id, now_ms()))


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
        # The repeat budget of a node grows from zero after its start. Requests
        # that a fast machine sends within 10 ms would not be repeated.
        self.state._started_ms -= settings.repeat_window_ms
        self.send_log = SendLog(self.state)
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
                    for x in (gather.shards if gather else 'ab')
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

    def send(self, method='GET', target='/a', body=b''):
        headers = (('Host', 'a.x'), ('X-Request-Id', f'r{next(self.ids)}'))
        incoming = IncomingRequest(
            method, target, 'a.x', headers, body, self.clock.now_ms(), 0.0
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
