import contextlib
import io
import itertools
import socket
import struct
import threading
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import logbook

from hawthornfold.callers import protocol
from hawthornfold.callers.server import serve_application
from hawthornfold.callers.tests.support import HANG_S
from hawthornfold.callers.tests.support import Caller
from hawthornfold.callers.tests.support import Server
from hawthornfold.callers.tests.support import create_post
from hawthornfold.clock import create_manual_clock

LINE = b'POST /v1/query HTTP/1.1\r\n'
LENGTH = b'Content-Length: 2\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
READ_TIMEOUT_MS = 300

# Invalid requests, by the status and result code of the only answer.
REFUSED = {
    (400, 301): (
        b'hello\r\n\r\n',
        b'\x16\x03\x01\x00\r\n\r\n',
        b'GET /healthz\r\n',
        b'GET /healthz HTTP/2.0\r\n\r\n',
        b'GET /healthz HTTP/1.1\n\n',
        LINE + b'no colon\r\n\r\n',
        LINE + b'folded: b\r\n c\r\n\r\n',
        LINE + b'space : b\r\n\r\n',
        LINE + b'bare-cr: b\rc: d\r\n\r\n',
        LINE + b'nul: \x00\r\n\r\n',
        LINE + LENGTH * 2 + b'\r\nab',
        LINE + b'Content-Length: +2\r\n\r\nab',
        LINE + b'Content-Length: -2\r\n\r\nab',
        LINE + b'Content-Length: 2, 2\r\n\r\nab',
        LINE + CHUNKED + b'\r\n2\r\nab\r\n0\r\n\r\n',
        LINE + LENGTH + CHUNKED + b'\r\n0\r\n\r\n',
        LINE + LENGTH + b'Transfer-Encoding: x\r\n\r\nab',
        LINE + b'\r\n',
    ),
    (431, 302): (
        b'GET /' + b'a' * 3000,
        LINE + b'a: bbbb\r\nc:' + b'd' * 3000,
        LINE + b'a: b\r\n' * 20,
    ),
    (413, 302): (LINE + b'Content-Length: 9999\r\n\r\n' + b'a' * 9999,),
}
# Incomplete requests: the caller then sends nothing more or closes its side.
INCOMPLETE = (b'POST /v1/q', LINE + b'a: b', LINE + LENGTH + b'\r\na')


class ServerTest(unittest.TestCase):
    """Guards against callers that disturb other callers or the node."""

    def setUp(self):
        stderr = io.StringIO()
        # eventlet prints tracebacks of green threads to standard error.
        self.addCleanup(lambda: self.assertEqual(stderr.getvalue(), ''))
        self._stack = contextlib.ExitStack()
        self.addCleanup(self._stack.close)
        self._stack.enter_context(contextlib.redirect_stderr(stderr))
        self.log = logbook.TestHandler()
        self._stack.enter_context(self.log.applicationbound())

    def open(self, **limits):
        limits = {'max_head_bytes': 2048, 'max_headers': 16, **limits}
        server = Server(max_body_bytes=4096, **limits)
        return self._stack.enter_context(contextlib.closing(server))

    def connect(self, server, data=b''):
        caller = Caller(server.port)
        self._stack.enter_context(contextlib.closing(caller))
        caller.socket.sendall(data)
        return caller

    def check_own_answer(self, server, token):
        (answer,) = server.ask(create_post(token, 'Connection: close'))
        self.assertEqual(answer.document, {'echo': token.decode()})

    def check_error(self, answers, status, code, ran='no'):
        (answer,) = answers
        document = answer.document
        self.assertEqual((answer.status, document['code']), (status, code))
        self.assertEqual(document['ran'], ran)
        self.assertEqual(answer.fields['connection'], 'close')

    def test_refuses_each_invalid_request_and_closes(self):
        # Guards against invalid requests that hang or crash the server, or
        # whose rest is read as a request: the valid request sent after them
        # must not be answered.
        server = self.open(read_timeout_ms=READ_TIMEOUT_MS)
        for (status, code), requests in REFUSED.items():
            for data in requests:
                with self.subTest(data[:60]):
                    answers = server.ask(data + create_post(b'later'))
                    self.check_error(answers, status, code)
        for data in INCOMPLETE:
            with self.subTest(data):
                self.check_error(server.ask(data), 408, 303)
                self.check_error(server.ask(data, end=True), 400, 301)
        self.check_own_answer(server, b'after')
        self.assertEqual(server.lifecycle.requests_in_progress, 0)

    def test_a_trickle_of_bytes_does_not_extend_the_time_limit(self):
        # Guards against a time limit that starts again with each read: this
        # caller would then complete its request and get another answer.
        server = self.open(read_timeout_ms=READ_TIMEOUT_MS)
        for start in (LINE + b'a: ', LINE + b'Content-Length: 900\r\n\r\n'):
            caller = self.connect(server, start)
            caller.socket.settimeout(READ_TIMEOUT_MS / 10_000)
            for _ in range(900):
                with contextlib.suppress(TimeoutError):
                    caller.socket.recv(1, socket.MSG_PEEK)
                    break
                caller.socket.sendall(b'a')
            caller.socket.settimeout(HANG_S)
            self.check_error(caller.read_all(), 408, 303)

    def test_reads_bytes_that_arrived_during_a_pause_once(self):
        # Guards against refusing a caller because the node was paused, and
        # against a time limit that is extended again and again.
        clock = create_manual_clock()
        connection = mock.Mock()
        stream = protocol._TimedStream(connection, clock)
        stream.start_time_limit(100.0)
        connection.recv_into.side_effect = [TimeoutError, 3, 4, TimeoutError]
        self.assertEqual(stream.readinto(bytearray(9)), 3)
        self.assertEqual(stream.readinto(bytearray(9)), 4)
        with self.assertRaises(TimeoutError):
            stream.readinto(bytearray(9))
        stream.start_time_limit(100.0)
        clock.advance(200.0)
        connection.recv_into.side_effect = BlockingIOError
        with self.assertRaises(TimeoutError):
            stream.readinto(bytearray(9))

    def test_pipelined_requests_are_answered_in_order(self):
        # Guards against answers out of order, also after HEAD, whose answer
        # has no body, and after a body that the application does not read.
        server = self.open()
        caller = self.connect(
            server,
            b''.join(create_post(b'%d' % n) for n in range(50))
            + b'HEAD /healthz HTTP/1.1\r\n\r\n'
            b'POST /nowhere HTTP/1.1\r\nContent-Length: 9\r\n\r\nPOST /v1/'
            b'BREW /v1/query HTTP/1.1\r\n\r\n'
            b'GET /healthz HTTP/1.1\r\nConnection: close, x\r\n\r\n',
        )
        for n in range(50):
            self.assertEqual(caller.read().document, {'echo': str(n)})
        self.assertEqual(caller.read(has_body=False).status, 200)
        rest = caller.read_all()
        self.assertEqual([answer.status for answer in rest], [404, 405, 200])
        self.assertEqual(rest[1].fields['allow'], 'POST')

    def test_sends_the_interim_answer_if_the_body_is_accepted(self):
        # Guards against a caller that waits forever for the interim answer
        # 100, and against one that gets it for a body that is then refused.
        server = self.open()
        post = create_post(b'ab', 'Expect: 100-continue')
        caller = self.connect(server, post[:-2])
        self.assertEqual(caller.read().status, 100)
        caller.socket.sendall(post[-2:])
        self.assertEqual(caller.read().document['echo'], 'ab')
        large = create_post(b'a' * 5000, 'Expect: 100-continue')[:-5000]
        self.check_error(server.ask(large), 413, 302)
        old = post.replace(b'HTTP/1.1', b'HTTP/1.0')
        self.assertEqual([a.status for a in server.ask(old)], [200])

    def test_connections_of_one_address_are_limited(self):
        # Guards against one caller that takes all connections, and against
        # a count that does not decrease when connections close.
        server = self.open(max_connections_per_address=2)
        callers = [self.connect(server, create_post(b'a')) for _ in '12']
        for caller in callers:
            self.assertEqual(caller.read().status, 200)
        self.check_error(server.ask(create_post(b'b')), 429, 308)
        for caller in callers:
            caller.close()
        post = create_post(b'b', 'Connection: close')
        tries = (server.ask(post) for _ in range(1000))
        self.assertIn(200, (answers[0].status for answers in tries if answers))

    def test_early_close_and_internal_errors_do_not_affect_others(self):
        server = self.open()
        caller = self.connect(server, create_post(b'hold'))
        self.assertTrue(server.started.wait(HANG_S))
        # With this option, closing sends a reset.
        option = struct.pack('ii', 1, 0)
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        caller.close()
        server.release.set()
        self.check_own_answer(server, b'other')
        post = create_post(b'fault', 'Connection: close')
        self.check_error(server.ask(post), 500, 499, 'unknown')
        self.assertEqual(len(self.log.records), 1)

    def test_refused_caller_can_finish_sending(self):
        # Guards against closing with unread input: the reset that this sends
        # can destroy the answer before the caller has read it.
        with mock.patch.object(protocol, 'DISCARD_MS', 60_000):
            caller = self.connect(self.open(), b'hello\r\n')
            self.check_error(caller.read_all(), 400, 301)
            # After a close, the first send would cause a reset and the second
            # would fail.
            caller.socket.sendall(b'x')
            caller.socket.sendall(b'x')
            caller.close()

    def check_planned_stop(self, backlog):
        # The read timeout is longer than the test's own, so that it cannot
        # close connections in place of the stop.
        server = self.open(read_timeout_ms=60_000)
        callers = {
            name: self.connect(server, create_post(b'first'))
            for name in ('idle', 'hold', 'half', 'unread')
        }
        for caller in callers.values():
            self.assertNotIn('connection', caller.read().fields)
        callers['hold'].socket.sendall(create_post(b'hold'))
        self.assertTrue(server.started.wait(HANG_S))
        half = create_post(b'half')
        callers['half'].socket.sendall(half[:9])
        loop_blocked, arrived = threading.Event(), threading.Event()
        counts = []

        def stop(stop_accepting):
            # Block the event loop until the requests have arrived in the
            # kernel.
            loop_blocked.set()
            arrived.wait(HANG_S)
            server.lifecycle.begin_stop()
            stop_accepting()
            counts.append(server.lifecycle.requests_in_progress)

        done = server.call(stop)
        self.assertTrue(loop_blocked.wait(HANG_S))
        callers['unread'].socket.sendall(create_post(b'unread'))
        for name, data in backlog.items():
            callers[name] = self.connect(server, data)
        arrived.set()
        self.assertTrue(done.wait(HANG_S))
        with self.assertRaises(ConnectionRefusedError):
            self.connect(server)
        self.assertGreaterEqual(counts[0], 2)
        callers['half'].socket.sendall(half[9:])
        server.release.set()
        for name, caller in callers.items():
            echoes = [answer.document['echo'] for answer in caller.read_all()]
            is_idle = name in ('idle', 'silent')
            self.assertEqual(echoes, [] if is_idle else [name])
        self.assertEqual(server.lifecycle.requests_in_progress, 0)

    def test_planned_stop_finishes_requests_that_have_begun(self):
        # Guards P7: a stop must not break off a request in progress, one
        # whose head is half read, or one that only the kernel has received.
        self.check_planned_stop({})

    def test_planned_stop_serves_connections_in_the_backlog(self):
        self.check_planned_stop({'new': create_post(b'new'), 'silent': b''})

    def test_error_names_the_address_in_use(self):
        # Guards against a start that fails without saying which of the
        # node's ports is taken.
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
            with self.assertRaisesRegex(OSError, f'127.0.0.1:{port}'):
                with serve_application('127.0.0.1', port, None, None):
                    self.fail('the port is in use')

    def test_any_bytes_are_refused_or_answered(self):
        # Guards against input that crashes or hangs the server, or that ends
        # up in another connection.
        server = self.open()
        pieces = [create_post(b'fuzz'), LINE, LENGTH, CHUNKED, b'\r\n']
        pieces += [b'GET /readyz HTTP/1.0\r\n', b'x-ticket: \xff\xfe~\r\n']
        pieces += [b'Expect: 100-continue\r\n', b'0\r\n\r\n']
        piece = st.sampled_from(pieces) | st.binary(max_size=40)
        numbers = itertools.count()

        @settings(max_examples=200, deadline=None)
        @given(st.lists(piece, max_size=8))
        def check(sent):
            for answer in server.ask(b''.join(sent), end=True):
                document = answer.document
                if answer.status not in (100, 200):
                    self.assertEqual(document['ran'], 'no')
                self.assertNotIn('own', document.get('echo', ''))
            self.check_own_answer(server, b'own-%d' % next(numbers))

        check()
        self.assertEqual(server.lifecycle.requests_in_progress, 0)
        self.assertEqual(server.metrics.total('caller_internal_errors'), 0)
