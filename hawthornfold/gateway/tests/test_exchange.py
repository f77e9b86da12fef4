import contextlib
import socket
import threading
import time
import types
import unittest
from unittest import mock

import eventlet
from eventlet import hubs

from hawthornfold.clock import create_system_clock
from hawthornfold.gateway import connections
from hawthornfold.gateway import exchange as exchanges
from hawthornfold.gateway.connection_reuse import NON_IDEMPOTENT_IDLE_MS
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.tests import support
from hawthornfold.gathering import OutcomeKind

BODY = b'0123456789abcdef' * 4


class ExchangeTestCase(unittest.TestCase):
    def open(self, script=support.answer_correctly):
        self.server = support.ScriptedServer(script)
        self.addCleanup(self.server.close)
        self.assertIsNone(self.connect())
        return self.connection

    def connect(self, timeout_ms=1000.0):
        """Open a connection to the server; return the error, if any."""
        self.clock = create_system_clock()
        self.idle_ends = []
        names = self.names = HeaderNames()
        self.connection = connections.ServerConnection(
            self.server.address,
            names,
            exchanges.ResponseClassifier(names),
            self.clock,
            support.create_bounds(),
            self.idle_ends.append,
        )
        self.addCleanup(self.connection.close)
        (error,) = support.wait_for_callback(
            lambda on_open: self.connection.open(timeout_ms, on_open)
        )
        return error

    def exchange(self, request, deadline_ms):
        return support.wait_for_callback(
            lambda on_end: self.connection.start_exchange(
                request, 'i-1', deadline_ms, on_end
            )
        )

    def send(self, request_id='r1', method='GET', body=b'', **headers):
        """Send one request; return the outcome of its exchange."""
        fields = (('Host', 'a.example'), ('X-Request-Id', request_id))
        fields += tuple((k.replace('_', '-'), v) for k, v in headers.items())
        request = exchanges.create_outgoing_request(
            method, '/a/b?c=%20d', fields, body, request_id, HeaderNames()
        )
        outcome, self.waiting_count = self.exchange(
            request, self.clock.now_ms() + 1500.0
        )
        return outcome


class RequestTest(ExchangeTestCase):
    def test_request_is_passed_on_unchanged(self):
        # Guards against changes to method, target, body or headers.
        self.open()
        outcome = self.send(method='POST', body=b'abc', X_Other='1')
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        (received,) = self.server.requests
        self.assertEqual(received[:2], ('POST', '/a/b?c=%20d'))
        self.assertEqual(received.body, b'abc')
        deadline = int(received.headers.pop('x-deadline-ms'))
        self.assertTrue(1000 < deadline <= 1500, deadline)
        self.assertEqual(
            received.headers,
            {
                'host': 'a.example',
                'x-request-id': 'r1',
                'x-other': '1',
                'x-target-server': 'i-1',
                'content-length': '3',
            },
        )

    def test_deadline_of_the_caller_is_replaced(self):
        # Guards against servers that work for longer than the caller waits.
        self.open()
        self.send(X_Deadline_Ms='90000', X_Target_Server='i-9')
        headers = self.server.requests[0].headers
        self.assertLessEqual(int(headers['x-deadline-ms']), 1500)
        self.assertEqual(headers['x-target-server'], 'i-1')

    def test_request_without_time_left_is_not_sent(self):
        self.open()
        request = exchanges.create_outgoing_request(
            'GET', '/', (), b'', 'r1', HeaderNames()
        )
        outcome, _ = self.exchange(request, self.clock.now_ms())
        self.assertIs(outcome.kind, OutcomeKind.UNREACHABLE)
        self.assertEqual(self.server.requests, [])


class ResponseTest(ExchangeTestCase):
    def answer(self, create, keeps_open=True):
        """Return the outcome for a server that sends ``create(request)``."""

        def script(connection, request, number):
            connection.sendall(create(request))
            return keeps_open

        self.open(script)
        return self.send()

    def assert_lost(self, outcome):
        self.assertIs(outcome.kind, OutcomeKind.LOST)
        self.assertFalse(self.connection.is_reusable)

    def test_complete_answer_is_accepted(self):
        outcome = self.answer(
            lambda r: support.create_answer(r, BODY, X_Load='3,1,8')
        )
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        self.assertEqual(outcome.response.body, BODY)
        self.assertEqual(outcome.response.seal, 'seal-i-1')
        self.assertEqual(self.waiting_count, 1)
        self.assertTrue(self.connection.is_reusable)

    def test_answer_without_length_ends_with_the_connection(self):
        outcome = self.answer(
            lambda r: support.create_answer(r, BODY, Content_Length=None),
            keeps_open=False,
        )
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        self.assertEqual(outcome.response.body, BODY)
        self.assertFalse(self.connection.is_reusable)

    def test_answer_without_length_that_is_reset_is_incomplete(self):
        # Guards against a truncated answer that is accepted as complete.
        def script(connection, request, number):
            connection.sendall(
                support.create_answer(request, BODY, Content_Length=None)
            )
            time.sleep(0.05)
            support.reset(connection)
            return False

        self.open(script)
        self.assert_lost(self.send())

    def test_answer_that_ends_early_is_incomplete(self):
        self.assert_lost(
            self.answer(
                lambda r: support.create_answer(r, BODY)[:-5], keeps_open=False
            )
        )

    def test_chunked_answer_is_decoded(self):
        def create(request):
            head = support.create_answer(
                request, b'', Content_Length=None, Transfer_Encoding='chunked'
            )
            return head + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'

        outcome = self.answer(create)
        self.assertEqual(outcome.response.body, b'abcde')
        passed_on = exchanges.strip_connection_headers(
            outcome.response.headers
        )
        names = {name.lower() for name, _ in passed_on}
        self.assertNotIn('transfer-encoding', names)

    def test_chunked_answer_without_its_end_is_incomplete(self):
        def create(request):
            head = support.create_answer(
                request, b'', Content_Length=None, Transfer_Encoding='chunked'
            )
            return head + b'3\r\nabc\r\n'

        self.assert_lost(self.answer(create, keeps_open=False))

    def test_interim_answer_is_skipped(self):
        outcome = self.answer(
            lambda r: (
                b'HTTP/1.1 102 Processing\r\n\r\n'
                + support.create_answer(r, BODY)
            )
        )
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        self.assertEqual(outcome.response.body, BODY)

    def test_answer_to_head_request_has_no_body(self):
        def script(connection, request, number):
            connection.sendall(support.create_answer(request, BODY)[:-64])
            return True

        self.open(script)
        outcome = self.send(method='HEAD')
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        self.assertEqual(outcome.response.body, b'')

    def test_bytes_after_an_answer_prevent_reuse(self):
        # Guards against a second answer in the same packet, which would be
        # read as the answer to the next request.
        outcome = self.answer(
            lambda r: support.create_answer(r, BODY) + b'HTTP/1.1 200 OK\r\n'
        )
        self.assertEqual(outcome.response.body, BODY)
        self.assertFalse(self.connection.is_reusable)

    def test_answer_with_two_lengths_is_refused(self):
        # Guards against a body whose end is ambiguous.
        self.assert_lost(
            self.answer(
                lambda r: support.create_answer(
                    r, BODY, Transfer_Encoding='chunked'
                )
            )
        )

    def test_bytes_that_are_not_http_are_refused(self):
        self.assert_lost(self.answer(lambda r: b'\x00\xff garbage\r\n\r\n'))

    def test_answer_to_another_request_is_refused(self):
        # Guards against a late answer that is taken as the next request's.
        self.assert_lost(
            self.answer(
                lambda r: support.create_answer(r, X_Request_Id='other')
            )
        )

    def test_encoded_body_is_refused(self):
        self.assert_lost(
            self.answer(
                lambda r: support.create_answer(r, Content_Encoding='gzip')
            )
        )

    def test_success_without_seal_is_refused(self):
        self.assert_lost(
            self.answer(lambda r: support.create_answer(r, X_Seal=None))
        )

    def test_failure_of_the_server_may_have_run(self):
        outcome = self.answer(
            lambda r: support.create_answer(r, b'no', status=500)
        )
        self.assertIs(outcome.kind, OutcomeKind.FAILED)
        self.assertTrue(outcome.kind.may_have_run)

    def test_only_the_marker_proves_that_a_request_was_not_executed(self):
        # Guards against a second execution after a 503 without the marker.
        outcome = self.answer(
            lambda r: support.create_answer(r, status=503, X_Not_Executed='1')
        )
        self.assertIs(outcome.kind, OutcomeKind.NOT_EXECUTED)
        self.assertTrue(self.connection.is_reusable)
        outcome = self.answer(lambda r: support.create_answer(r, status=503))
        self.assertIs(outcome.kind, OutcomeKind.FAILED)

    def test_wrong_server_did_not_execute_the_request(self):
        outcome = self.answer(lambda r: support.create_answer(r, status=421))
        self.assertIs(outcome.kind, OutcomeKind.WRONG_SERVER)
        self.assertFalse(outcome.kind.may_have_run)


class ReuseTest(ExchangeTestCase):
    def test_late_surplus_bytes_prevent_reuse(self):
        # Guards against a surplus answer that is read as the next request's.
        def script(connection, request, number):
            answer = support.create_answer(request)
            connection.sendall(answer)
            time.sleep(0.02)
            connection.sendall(answer)
            return True

        connection = self.open(script)
        self.assertIs(self.send().kind, OutcomeKind.ANSWERED)
        time.sleep(0.1)
        self.assertFalse(connection.can_carry_request(True))

    def test_closed_connection_is_not_reused(self):
        def script(connection, request, number):
            connection.sendall(support.create_answer(request))
            return False

        connection = self.open(script)
        self.send()
        time.sleep(0.1)
        self.assertFalse(connection.can_carry_request(True))

    def test_close_header_prevents_reuse(self):
        def script(connection, request, number):
            connection.sendall(
                support.create_answer(request, Connection='close')
            )
            return True

        connection = self.open(script)
        self.assertIs(self.send().kind, OutcomeKind.ANSWERED)
        self.assertFalse(connection.is_reusable)

    def test_non_idempotent_request_needs_a_recently_used_connection(self):
        # Guards against a reset of a stale connection, which leaves it unknown
        # whether the request was executed.
        connection = self.open()
        self.send()
        self.assertTrue(connection.can_carry_request(False))
        time.sleep(NON_IDEMPOTENT_IDLE_MS / 1000.0 + 0.05)
        self.assertFalse(connection.can_carry_request(False))
        self.assertTrue(connection.can_carry_request(True))

    def test_connection_is_not_reused_shortly_before_the_server_closes_it(
        self,
    ):
        # Guards against requests that cross the close of the connection by
        # the server.
        def script(connection, request, number):
            connection.sendall(
                support.create_answer(request, Keep_Alive='timeout=1, max=9')
            )
            return True

        connection = self.open(script)
        self.send()
        self.assertTrue(connection.can_carry_request(True))
        time.sleep(NON_IDEMPOTENT_IDLE_MS / 1000.0 + 0.05)
        self.assertFalse(connection.can_carry_request(True))

    def test_idle_connection_that_the_server_closes_is_reported(self):
        # Guards against pools that count a closed connection as open.
        def script(connection, request, number):
            connection.sendall(support.create_answer(request))
            return False

        connection = self.open(script)
        self.send()
        support.wait_until(lambda: self.idle_ends)
        self.assertEqual(self.idle_ends, [connection])
        self.assertFalse(connection.is_reusable)

    def test_connection_with_an_unsent_body_is_not_reused(self):
        # Guards against a request that the server reads as the rest of the
        # previous one's body.
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.server = types.SimpleNamespace(
            address=f'127.0.0.1:{listener.getsockname()[1]}'
        )
        threading.Thread(
            target=answer_before_the_body, args=(listener,), daemon=True
        ).start()
        self.connect()
        outcome = self.send(method='POST', body=bytes(16 << 20))
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        self.assertFalse(self.connection.is_reusable)

    def test_long_request_is_sent_in_full(self):
        # Guards against requests that are cut when the kernel's buffer is
        # full.
        self.open()
        body = bytes(range(256)) * 16_384
        outcome = self.send(method='POST', body=body)
        self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
        self.assertEqual(self.server.requests[0].body, body)


class BrokenConnectionTest(ExchangeTestCase):
    """A server resets connections while it receives a request."""

    def setUp(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.server = types.SimpleNamespace(
            address='{}:{}'.format(*listener.getsockname())
        )

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = listener.accept()
                    connection.recv(10)
                    support.reset(connection)

        threading.Thread(target=serve, daemon=True).start()

    def test_event_loop_sees_no_error(self):
        # Guards against a callback of the closed connection, whose error has
        # the loop drop the next connection with the same descriptor.
        hub = hubs.get_hub()
        with mock.patch.object(hub, 'squelch_exception') as squelch:
            for _ in range(20):
                self.assertIsNone(self.connect())
                outcome = self.send(method='POST', body=bytes(32 << 20))
                self.assertIs(outcome.kind, OutcomeKind.LOST)
                self.assertTrue(outcome.is_interrupted)
                eventlet.sleep(0)
        squelch.assert_not_called()
        self.assertEqual(self.idle_ends, [])


class OpenTest(ExchangeTestCase):
    def open_to(self, address, timeout_ms):
        self.server = types.SimpleNamespace(address=address)
        return self.connect(timeout_ms)

    def test_refused_connection_is_an_error(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
        error = self.open_to(f'127.0.0.1:{port}', 1000.0)
        self.assertIn('ConnectionRefusedError', error)
        self.assertFalse(self.connection.is_reusable)

    def test_opening_is_limited_in_time(self):
        # Guards against requests that wait for a host without power.
        listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.addCleanup(listener.close)
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(address)
        error = self.open_to(f'127.0.0.1:{address[1]}', 50.0)
        self.assertIn('timed out', error)

    def test_connection_over_the_limit_of_the_server_does_not_open(self):
        # Guards against requests that count as possibly executed, and use up
        # the repeat budget, because the server resets connections beyond its
        # limit. After a loss of power of all nodes, servers still hold the
        # connections of before.
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def reset_all():
            while True:
                try:
                    support.reset(listener.accept()[0])
                except OSError:
                    return

        threading.Thread(target=reset_all, daemon=True).start()
        self.assertGreaterEqual(connections.SETTLE_MS, 2.0)
        # Only the reset ends the opening, however late the thread above is.
        with mock.patch.object(
            connections, 'SETTLE_MS', 1_000.0 * support.HANG_S
        ):
            for _ in range(10):
                error = self.open_to(
                    f'127.0.0.1:{listener.getsockname()[1]}',
                    1_000.0 * support.HANG_S,
                )
                self.assertIn('reset', error)
                self.assertFalse(self.connection.is_reusable)

    def test_aborted_exchange_ends_at_once(self):
        # Guards against cancelled requests that occupy a connection.
        def script(connection, request, number):
            time.sleep(support.HANG_S)
            return False

        connection = self.open(script)
        eventlet.spawn_after(0.05, connection.abort)
        outcome = self.send()
        self.assertIs(outcome.kind, OutcomeKind.LOST)
        self.assertFalse(connection.is_reusable)


def answer_before_the_body(listener):
    """Answer a request after its head and read nothing more."""
    connection, _ = listener.accept()
    with connection:
        head = b''
        while b'\r\n\r\n' not in head:
            head += connection.recv(1)
        headers = {'x-request-id': 'r1'}
        request = support.Received('POST', '/', headers, b'')
        connection.sendall(support.create_answer(request))
        time.sleep(support.HANG_S)
