"""Callers that send without end, too slowly, or do not read answers."""

import contextlib
import socket
import time
import types
import unittest

import eventlet

from hawthornfold.callers.server import serve_application
from hawthornfold.callers.tests import support
from hawthornfold.clock import create_system_clock
from hawthornfold.directory import CallerLimits
from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.ingress import GatewayApplication
from hawthornfold.gateway.ingress import GatewayProtocol
from hawthornfold.gateway.ingress import IngressLimits
from hawthornfold.gateway.settings import GatewaySettings

MAX_BODY_BYTES = 262_144
HEAD_TIMEOUT_MS = 400.0
IDLE_TIMEOUT_MS = 1_000.0
MEMORY_BYTES = 32 << 20
BUDGET_BYTES = 4 << 20
# An answer that exceeds all buffers of the kernel, and takes a slow reader
# many times the limit.
LARGE_BYTES = 64 << 20
SLOW_READ_BYTES = 160 << 10
SENT_BYTES = 8 << 20
TRICKLE_INTERVAL_S = 0.02

POST = b'POST /a HTTP/1.1\r\nHost: a\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'chunk extension': (CHUNKED + b'1;', b'a'),
    'chunk size line': (CHUNKED, b'0'),
    'trailers': (CHUNKED + b'1\r\nx\r\n0\r\n', b'a: b\r\n'),
    'trailer value': (CHUNKED + b'0\r\na: ', b'b'),
    'chunk extensions': (CHUNKED, b'1;' + b'a' * 900 + b'\r\nx\r\n'),
    'end of a chunk': (CHUNKED + b'1\r\nx', b'y'),
}


class GatewayServer(support.Server):
    """The port for callers of a gateway node, in a thread of its own.

    Its handler answers with the request's body, or with a large one.
    """

    def __init__(self):
        state = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                limits=CallerLimits(
                    16_384, MAX_BODY_BYTES, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS
                )
            ),
            settings=GatewaySettings(
                'n', 'd', '', '', '', (), 0, '', 0.2, 1e3, 1e4, 6e3
            )._replace(memory_bytes=MEMORY_BYTES),
            is_stopping=False,
        )
        self.limits = IngressLimits(state)
        self.state = state
        self.application = None
        super().__init__()

    def handle(self, incoming, watch_caller):
        body = incoming.body
        if incoming.target == '/large':
            body = bytes(LARGE_BYTES)
        return GatewayAnswer(200, (), body)

    def record_sent(self, answer):
        pass

    @property
    def budget(self):
        return self.limits.read_budget

    def _run(self):
        self.application = GatewayApplication(
            self, self.state, create_system_clock(), self.metrics, self.limits
        )
        with serve_application(
            '127.0.0.1',
            self.port,
            self.application,
            self.limits,
            GatewayProtocol,
        ) as stop_accepting:
            while True:
                while self._commands.empty():
                    eventlet.sleep(0.002)
                command, done = self._commands.get()
                if command is None:
                    return
                command(stop_accepting)
                done.set()


class EndlessCallersTest(unittest.TestCase):
    def setUp(self):
        self.server = GatewayServer()
        self.addCleanup(self.server.close)

    def connect(self, data=b''):
        connection = socket.create_connection(
            ('127.0.0.1', self.server.port), support.HANG_S
        )
        self.addCleanup(connection.close)
        connection.sendall(data)
        return connection

    def read_status(self, connection):
        """Return the status of the answer; the connection has to end."""
        received = b''
        with contextlib.suppress(ConnectionResetError):
            while piece := connection.recv(65_536):
                received += piece
        return int(received.split()[1]) if received else None

    def ask(self, body=b'x'):
        head = b'Content-Length: %d\r\nConnection: close\r\n\r\n' % len(body)
        return self.read_status(self.connect(POST + head + body))

    def wait_until_idle(self):
        end = time.monotonic() + support.HANG_S
        while self.server.application.in_progress:
            self.assertLess(time.monotonic(), end)
            time.sleep(0.01)
        self.assertEqual(self.server.budget.used_bytes, 0)

    def test_endless_framing_is_refused(self):
        # Guards against chunk lines and trailers without end: eventlet reads
        # a whole line into memory, whatever its length.
        for name, (start, unit) in ENDLESS.items():
            with self.subTest(name):
                connection = self.connect(start)
                piece = unit * (16_384 // len(unit))
                sent = 0
                with contextlib.suppress(ConnectionError):
                    while sent < SENT_BYTES:
                        connection.sendall(piece)
                        sent += len(piece)
                self.assertLess(sent, SENT_BYTES)
                self.assertIn(self.read_status(connection), (400, None))
        self.assertEqual(
            self.server.metrics.value('caller_refusals', code='301'),
            len(ENDLESS),
        )
        self.wait_until_idle()
        self.assertEqual(self.ask(), 200)

    def test_refusal_of_framing_reaches_the_caller(self):
        line = b'1;' + b'a' * 5_000 + b'\r\nx\r\n0\r\n\r\n'
        self.assertEqual(self.read_status(self.connect(CHUNKED + line)), 400)

    def test_short_chunks_are_accepted(self):
        body = b''.join(b'10\r\n%b\r\n' % (b'x' * 16) for _ in range(9_000))
        start = CHUNKED.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
        connection = self.connect(start + body + b'0\r\nA: b\r\n\r\n')
        self.assertEqual(self.read_status(connection), 200)

    def test_trickles_end_in_time(self):
        # Guards against requests that take as long as a byte arrives now and
        # then, on many connections at once.
        starts = (
            b'POST /',
            POST + b'a: ',
            POST + b'Content-Length: 9000\r\n\r\n',
            CHUNKED + b'1000\r\n',
            CHUNKED + b'1;',
            CHUNKED + b'0\r\na: ',
        )
        connections = [self.connect(start) for start in starts * 20]
        for connection in connections:
            connection.setblocking(False)
        end = time.monotonic() + 2.5 * IDLE_TIMEOUT_MS / 1000.0
        while time.monotonic() < end:
            for connection in connections:
                with contextlib.suppress(OSError):
                    connection.send(b'a')
            time.sleep(TRICKLE_INTERVAL_S)
        self.assertEqual(self.server.application.in_progress, 0)
        for connection in connections:
            connection.settimeout(support.HANG_S)
            self.assertIn(self.read_status(connection), (408, None))
        self.wait_until_idle()

    def test_many_bodies_stay_within_the_memory_of_the_node(self):
        # Guards against callers' bodies that are each within their limit, and
        # together exceed the memory of the node. The largest ones fail, with
        # an answer that says so.
        head = POST + b'Connection: close\r\nContent-Length: 250000\r\n\r\n'
        large = [self.connect(head + bytes(200_000)) for _ in range(40)]
        time.sleep(0.3)
        self.assertLessEqual(self.server.budget.used_bytes, BUDGET_BYTES)
        for _ in range(20):
            self.assertEqual(self.ask(b'x' * 3_000), 200)
        for connection in large:
            with contextlib.suppress(ConnectionError):
                connection.sendall(bytes(50_000))
        statuses = [self.read_status(connection) for connection in large]
        self.assertGreater(statuses.count(200), 10)
        self.assertGreater(statuses.count(503), 10)
        self.assertLessEqual(set(statuses), {200, 503, None})
        self.assertEqual(
            self.server.metrics.value('caller_refusals', code='403'),
            40 - statuses.count(200),
        )
        self.wait_until_idle()

    def test_many_heads_stay_within_the_memory_of_the_node(self):
        # On a busy machine the first heads would time out before the last
        # connection is open, and the budget would never be used.
        configuration = self.server.state.configuration
        configuration.limits = configuration.limits._replace(
            head_timeout_ms=1_000.0 * support.HANG_S
        )
        head = POST + b''.join(b'a: %b\r\n' % (b'b' * 90) for _ in range(120))
        with contextlib.ExitStack() as stack:
            for _ in range(500):
                stack.callback(self.connect(head).close)
            peak = max(
                self.server.budget.used_bytes
                for _ in range(20)
                if time.sleep(0.01) is None
            )
        self.assertLessEqual(peak, BUDGET_BYTES)
        self.assertGreater(peak, BUDGET_BYTES // 2)
        self.wait_until_idle()
        self.assertEqual(self.ask(), 200)

    def test_answer_is_held_for_a_limited_time(self):
        # Guards against callers that read a few bytes now and then, and so
        # make the node hold their answers as long as they like.
        request = b'GET /large HTTP/1.1\r\nHost: a\r\n\r\n'
        readers = [self.connect(request) for _ in range(2)]
        started = time.monotonic()
        while self.server.application.in_progress or (
            time.monotonic() - started < 0.3
        ):
            for connection in readers:
                with contextlib.suppress(OSError):
                    connection.recv(SLOW_READ_BYTES)
            time.sleep(TRICKLE_INTERVAL_S)
            self.assertLess(time.monotonic() - started, support.HANG_S)
        elapsed_ms = 1000.0 * (time.monotonic() - started)
        self.assertLess(elapsed_ms, 2.5 * IDLE_TIMEOUT_MS)
        for connection in readers:
            received = 0
            with contextlib.suppress(ConnectionResetError):
                while piece := connection.recv(1 << 20):
                    received += len(piece)
            self.assertLess(received, LARGE_BYTES)
        self.assertEqual(self.ask(), 200)
