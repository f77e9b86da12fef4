"""Responses that are not the request's own, not whole or not readable.

Each test names the failure of docs/design/server-signals.md, R7, that it
guards against: 1 (a second copy), 4 (malformed bytes) or 5 (truncation).
"""

import threading
from unittest import mock

from hawthornfold.gateway import connections
from hawthornfold.gateway.pools import ConnectionLimits
from hawthornfold.gateway.pools import ConnectionUser
from hawthornfold.gateway.pools import ServerPool
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests.test_exchange import ExchangeTestCase
from hawthornfold.gathering import OutcomeKind
from hawthornfold.metrics import create_metrics


def create_copy(request, **headers):
    """Return the response to an earlier request, without its id if None."""
    return support.create_answer(request, b'of another'.ljust(16), **headers)


class SecondCopyTest(ExchangeTestCase):
    """Failure 1: the next caller gets a response that isn't its own."""

    def send_after_copy(self, create, method='GET'):
        """Return the outcome of a request that a late copy crosses.

        The server answers the first request, and sends `create(request)` for
        it when it has read the second, to which it sends nothing.
        """
        received = []

        def script(connection, request, number):
            received.append(request)
            if number == 0:
                connection.sendall(
                    support.create_answer(request, **self.first_fields)
                )
            else:
                connection.sendall(create(received[0]))
            return True

        connection = self.open(script)
        self.assertIsNot(self.send('r1').kind, OutcomeKind.LOST)
        if not connection.can_carry_request(True):
            return None
        self.is_idempotent = method != 'POST'
        return self.send('r2', method)

    def exchange(self, request, deadline_ms):
        return super().exchange(
            request._replace(is_idempotent=self.is_idempotent), deadline_ms
        )

    is_idempotent = True

    first_fields = {}

    def test_copy_that_crosses_the_next_request_is_refused(self):
        for method in ('GET', 'POST', 'HEAD'):
            for fields in (
                {},
                {'X_Request_Id': None},
                {'status': 500},
                {'status': 500, 'X_Request_Id': None},
            ):
                with self.subTest(method=method, fields=fields):
                    outcome = self.send_after_copy(
                        lambda r, fields=fields: create_copy(r, **fields),
                        method,
                    )
                    self.assertIs(outcome.kind, OutcomeKind.LOST)
                    self.assertFalse(self.connection.is_reusable)

    def test_copy_of_a_refusal_does_not_say_that_the_next_request_was(self):
        # A non-idempotent request would be sent to a second server while the
        # first one executes it.
        self.first_fields = {'status': 503, 'X_Not_Executed': '1'}
        for fields in ({}, {'X_Request_Id': None}, {'status': 421}):
            with self.subTest(fields=fields):
                fields = {**self.first_fields, **fields}
                outcome = self.send_after_copy(
                    lambda r, fields=fields: create_copy(r, **fields), 'POST'
                )
                self.assertIs(outcome.kind, OutcomeKind.LOST)

    def test_connection_of_responses_without_id_is_not_reused(self):
        # Nothing tells a late copy of such a response from the next one.
        self.first_fields = {'X_Request_Id': None}
        self.assertIsNone(
            self.send_after_copy(lambda r: create_copy(r, X_Request_Id=None))
        )

    def test_refusal_without_id_counts_on_a_new_connection(self):
        # The layer of a server that refuses connections may not know the id.
        for fields in (
            {'status': 421},
            {'status': 503, 'X_Not_Executed': '1'},
        ):
            with self.subTest(fields=fields):
                self.open(
                    lambda connection, request, number, fields=fields: (
                        connection.sendall(
                            create_copy(request, X_Request_Id=None, **fields)
                        )
                    )
                )
                self.assertFalse(self.send().kind.may_have_run)

    def test_copy_in_the_same_read_or_while_idle_ends_the_connection(self):
        release = threading.Event()
        for is_idle in (False, True):
            with self.subTest(is_idle=is_idle):
                release.clear()

                def script(connection, request, number, is_idle=is_idle):
                    answer = support.create_answer(request)
                    connection.sendall(answer if is_idle else 2 * answer)
                    release.wait(support.HANG_S)
                    connection.sendall(create_copy(request, X_Request_Id=None))
                    return True

                connection = self.open(script)
                self.assertIs(self.send().kind, OutcomeKind.ANSWERED)
                self.assertEqual(connection.is_reusable, is_idle)
                release.set()
                support.wait_until(lambda: not self.connection.is_reusable)
                self.assertEqual(len(self.server.requests), 1)

    def test_copy_in_the_same_read_does_not_change_the_outcome(self):
        # A failure reached the caller as a success (review/7); a complete
        # answer counted as a refusal, so that a non-idempotent request ran at
        # a second server (review/6).
        for status, copied, kind in (
            (500, 200, OutcomeKind.FAILED),
            (200, 421, OutcomeKind.ANSWERED),
            (200, 500, OutcomeKind.ANSWERED),
            (421, 200, OutcomeKind.WRONG_SERVER),
        ):
            with self.subTest(status=status, copied=copied):
                self.open(
                    lambda connection, request, number, s=status, c=copied: (
                        connection.sendall(
                            support.create_answer(request, status=s)
                            + create_copy(request, status=c)
                        )
                    )
                )
                outcome = self.send()
                self.assertIs(outcome.kind, kind)
                if outcome.response is not None:
                    self.assertEqual(outcome.response.status, status)

    def test_copy_between_the_check_and_the_write_is_refused(self):
        # The copy arrives when the idle connection has been checked.
        proceed, is_sent = threading.Event(), threading.Event()

        def script(connection, request, number):
            if number == 0:
                connection.sendall(support.create_answer(request))
                proceed.wait(support.HANG_S)
                connection.sendall(create_copy(request, X_Request_Id=None))
                is_sent.set()
            return True

        connection = self.open(script)
        self.assertIs(self.send('r1').kind, OutcomeKind.ANSWERED)
        self.assertTrue(connection.can_carry_request(True))
        # Blocks the event loop, which would close the connection.
        proceed.set()
        self.assertTrue(is_sent.wait(support.HANG_S))
        self.assertIs(self.send('r2').kind, OutcomeKind.LOST)


class MalformedResponseTest(ExchangeTestCase):
    """Failure 4: a malformed response ends more than its own exchange."""

    DIGITS = '9' * 5_000

    def answer(self, create):
        self.open(
            lambda connection, request, number: (
                connection.sendall(create(request)) or True
            )
        )
        return self.send()

    def test_absurd_numbers_do_not_lose_an_answer(self):
        # An exception in the callback would leave the exchange without an end:
        # the request waits until its deadline, and the pool loses a slot.
        for fields in (
            {'X_Load': f'1,{self.DIGITS},2'},
            {'X_Load': '1,' + '9' * 400 + ',2'},
            {'X_Load': '\xff,\xb2,-1'},
            {'Keep_Alive': f'timeout={self.DIGITS}'},
            {'Keep_Alive': 'timeout=' + '9' * 400},
            {'Keep_Alive': 'timeout=-1, =, timeout=\xff'},
            {'X_Seal': '\xff\x80"\t'},
        ):
            with self.subTest(fields=str(fields)[:40]):
                outcome = self.answer(
                    lambda r, fields=fields: (
                        support.create_answer(r, b'', **fields)
                        .decode()
                        .encode('latin-1')
                    )
                )
                self.assertIs(outcome.kind, OutcomeKind.ANSWERED)
                self.assertLess(self.waiting_count or 0, 1 << 31)

    def test_malformed_responses_end_the_exchange(self):
        for data in (
            b'HTTP/1.1 101 S\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nabc',
            b'HTTP/1.1 99 Continue\r\n\r\n',
            b'HTTP/9.9 200 OK\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n'
            % self.DIGITS.encode(),
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'fffffffffffffffff\r\nabc',
            b'\xff\xfe\x00',
        ):
            with self.subTest(data[:60]):
                outcome = self.answer(lambda r, data=data: data)
                self.assertIs(outcome.kind, OutcomeKind.LOST)
                self.assertFalse(self.connection.is_reusable)

    def test_unexpected_error_ends_the_exchange(self):
        # The classifier stands for any code that a response reaches.
        with mock.patch.object(
            connections.ResponseReader, 'read_fields', side_effect=KeyError
        ):
            outcome = self.answer(support.create_answer)
        self.assertIs(outcome.kind, OutcomeKind.LOST)
        self.assertFalse(self.connection.is_reusable)

    def test_invalid_address_is_unreachable(self):
        # An exception would reach the request that opens the connection, or
        # the loop that probes servers; a name would block the event loop while
        # it is looked up.
        self.open()
        for address in (
            'name.invalid:80',
            'a\0b:80',
            '999.1.1.1:80',
            '127.0.0.1:99999999',
            '127.0.0.1:x',
            '127.0.0.1',
            '',
        ):
            with self.subTest(address):
                self.server.address = address
                self.assertIsNotNone(self.connect())

    def test_error_of_a_user_does_not_lose_the_slot_of_the_pool(self):
        # Later requests would wait for a connection that never comes back.
        class FailingUser(ConnectionUser):
            def handle_connection(self, connection, reason):
                raise KeyError('unexpected')

        class User(ConnectionUser):
            connection = None

            def handle_connection(self, connection, reason):
                self.connection = connection

        self.open()
        clock, names = self.clock, self.names
        pool = ServerPool(
            self.server.address,
            ConnectionLimits(1, 1),
            lambda address, on_idle_end: connections.ServerConnection(
                address, names, None, clock, on_idle_end
            ),
            create_metrics(),
            lambda elapsed_ms: None,
        )
        self.addCleanup(pool.close)
        pool.acquire(FailingUser())
        user = User()
        pool.acquire(user)
        support.wait_until(lambda: user.connection is not None)


class TruncationTest(ExchangeTestCase):
    """Failure 5: a truncated response passes as complete."""

    def assert_truncated_is_lost(self, create):
        """Check every kind of end after each prefix of a response."""
        whole = []

        def script(connection, request, number):
            whole.append(create(request))
            connection.sendall(whole[-1][: self.length])
            if self.is_reset:
                # Lets the node read the bytes first, which a reset discards.
                connection.settimeout(0.01)
                try:
                    connection.recv(1)
                except TimeoutError:
                    support.reset(connection)
            return False

        self.open(script)
        size = len(create(mock.Mock(headers={'x-request-id': 'r1'})))
        for is_reset in (False, True):
            self.is_reset = is_reset
            for length in range(0, size, 7):
                self.length = length
                with self.subTest(is_reset=is_reset, length=length):
                    self.connect()
                    self.assertIs(self.send().kind, OutcomeKind.LOST)

    def test_truncated_response_with_length_is_lost(self):
        self.assert_truncated_is_lost(
            lambda r: support.create_answer(r, X_Seal='s')
        )

    def test_truncated_chunked_response_is_lost(self):
        self.assert_truncated_is_lost(
            lambda r: (
                support.create_answer(
                    r,
                    b'',
                    X_Seal='s',
                    Content_Length=None,
                    Transfer_Encoding='chunked',
                )
                + b'10\r\n0123456789abcdef\r\n10\r\n0123456789abcdef\r\n'
                + b'0\r\n\r\n'
            )
        )

    def test_end_after_an_interim_response_is_lost(self):
        # The interim head has no length, so that it could pass as a response
        # that ends with the connection.
        self.assert_truncated_is_lost(
            lambda r: (
                b'HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n'
                + support.create_answer(r, X_Seal='s')
            )
        )

    def test_reset_in_a_body_without_length_is_lost(self):
        read = threading.Event()

        def script(connection, request, number):
            connection.sendall(
                support.create_answer(
                    request, b'0123456789', Content_Length=None
                )
            )
            read.wait(support.HANG_S)
            support.reset(connection)
            return False

        original = connections.ResponseReader.feed

        def feed(reader, data):
            original(reader, data)
            read.set()

        with mock.patch.object(connections.ResponseReader, 'feed', feed):
            self.open(script)
            self.assertIs(self.send().kind, OutcomeKind.LOST)
