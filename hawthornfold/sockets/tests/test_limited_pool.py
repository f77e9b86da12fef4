import itertools
import time
import unittest

import urllib3

from hawthornfold.backends.connection import open_connection
from hawthornfold.clock import create_manual_clock
from hawthornfold.gateway.tests.support import HANG_S
from hawthornfold.gateway.tests.support import ScriptedServer
from hawthornfold.platform.tests.test_endless_store import ENDLESS
from hawthornfold.platform.tests.test_endless_store import TRICKLE_INTERVAL_MS
from hawthornfold.platform.tests.test_endless_store import RawServer
from hawthornfold.sockets import ReplyLimits
from hawthornfold.sockets import create_limited_pool

TIMEOUT_S = 0.4
# Only shows that the reads end; a trickle would take hours.
LIMIT_S = 4.0
TRICKLES = ('header value', 'interim responses', 'trailers', 'small chunks')


def create_trickle(name):
    start, unit = ENDLESS[name]
    return itertools.chain(
        [start], (bytes([byte]) for byte in itertools.cycle(unit))
    )


class TimeTest(unittest.TestCase):
    """Guards against reads that last as long as a byte arrives in time."""

    def check(self, read):
        for name in TRICKLES:
            with self.subTest(name):
                server = RawServer(
                    lambda n=name: create_trickle(n), TRICKLE_INTERVAL_MS
                )
                self.addCleanup(server.close)
                started = time.monotonic()
                read(server.address)
                self.assertLess(time.monotonic() - started, LIMIT_S)

    def test_reply_ends_at_the_read_timeout(self):
        pool = create_limited_pool(ReplyLimits(None, 1 << 20), retries=False)

        def read(address):
            with self.assertRaises(urllib3.exceptions.HTTPError):
                pool.request('GET', f'http://{address}/', timeout=TIMEOUT_S)

        self.check(read)

    def test_exchange_with_a_backend_ends_at_its_timeout(self):
        def read(address):
            connection = open_connection(address, 0.0)
            outcome = connection._exchange('GET', '/', b'', TIMEOUT_S * 1000)
            self.assertTrue(outcome.is_err())
            self.assertFalse(connection.is_reusable)

        self.check(read)


class SizeTest(unittest.TestCase):
    def test_reply_of_the_limit_is_read_and_a_longer_one_is_not(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        for limit, size in itertools.product((50_000,), (49_900, 50_000)):
            reply = head % size + bytes(size)
            server = RawServer(lambda r=reply: [r])
            self.addCleanup(server.close)
            pool = create_limited_pool(
                ReplyLimits(1_000.0, limit),
                create_manual_clock(),
                retries=False,
            )
            url = f'http://{server.address}/'
            if len(reply) <= limit:
                self.assertEqual(len(pool.request('GET', url).data), size)
            else:
                with self.assertRaises(urllib3.exceptions.HTTPError):
                    pool.request('GET', url)


class TruncatedHeadTest(unittest.TestCase):
    """Guards against replies that end within their head.

    They must not count as complete, with the status that they begin with and
    an empty body.
    """

    def start(self, reply):
        """Start a server that sends a reply and closes the connection."""
        server = ScriptedServer(
            lambda connection, request, number: connection.sendall(reply)
        )
        self.addCleanup(server.close)
        return server.address

    def test_reply_of_a_pool(self):
        head = b'HTTP/1.1 410 Gone\r\nStore-Era: 12\r\n\r\n'
        pool = create_limited_pool(ReplyLimits(1e3, 1 << 20), retries=False)
        for size in range(len(head)):
            with self.subTest(size):
                address = self.start(head[:size])
                with self.assertRaises(urllib3.exceptions.HTTPError):
                    pool.request(
                        'GET',
                        f'http://{address}/',
                        timeout=HANG_S,
                    )
        reply = pool.request(
            'GET', f'http://{self.start(head)}/', timeout=HANG_S
        )
        self.assertEqual((reply.status, reply.data), (410, b''))

    def test_exchange_with_a_backend(self):
        head = b'HTTP/1.1 503 Busy\r\nX-Other: 12\r\n\r\n'
        for size in range(len(head)):
            with self.subTest(size):
                connection = open_connection(self.start(head[:size]), 0.0)
                outcome = connection._exchange('GET', '/', b'', 1e3 * HANG_S)
                self.assertTrue(outcome.is_err())
                self.assertFalse(connection.is_reusable)
