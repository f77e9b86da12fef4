"""Replies of the store that never end."""

import contextlib
import itertools
import json
import socket
import threading
import time
import tracemalloc
import unittest
from unittest import mock

from hawthornfold.clock import create_system_clock
from hawthornfold.platform import store as stores

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'no HTTP': (b'', b'\x00rubbish'),
    'header lines': (HEAD, b'a: b\r\n'),
    'header value': (HEAD + b'a: ', b'b'),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'interim header lines': (b'HTTP/1.1 100 C\r\n', b'a: b\r\n'),
    'chunk extension': (CHUNKED + b'1;', b'a'),
    'chunk size line': (CHUNKED, b'0'),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n'),
    'small chunks': (CHUNKED, b'1\r\nx\r\n'),
    'body with a length': (
        HEAD + b'Content-Length: 99999999\r\n\r\n',
        b'x',
    ),
    'body without a length': (HEAD + b'\r\n', b'x'),
}
# More than any bound.
SENT_BYTES = 24 << 20
TRICKLE_INTERVAL_MS = 10.0
# A read ends within this time; a bound on what is shown, not on speed.
RECOVERY_MS = 4_000.0


class RawServer:
    """Sends the pieces of ``create_pieces()`` to each request."""

    def __init__(self, create_pieces, interval_ms=0.0):
        self._create_pieces = create_pieces
        self._interval_ms = interval_ms
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.cut_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            while connection.recv(65_536):
                try:
                    for piece in self._create_pieces():
                        connection.sendall(piece)
                        time.sleep(self._interval_ms / 1000.0)
                except OSError:
                    self.cut_count += 1
                    raise

    def close(self):
        self._listener.close()


class EndlessStoreTest(unittest.TestCase):
    def read(self, create_pieces, interval_ms=0.0):
        """Return the failure of one read, and how long it took."""
        server = RawServer(create_pieces, interval_ms)
        self.addCleanup(server.close)
        clock = create_system_clock()
        store = stores.open_store(lambda: server.address, clock)
        started_ms = clock.now_ms()
        outcome = store.wait_for_changes(1, 0.0)
        self.assertTrue(outcome.is_err())
        return server, clock.now_ms() - started_ms

    def test_endless_replies_are_failed_reads(self):
        # Guards against a watcher that reads one reply forever, and against
        # a reply that takes the memory of the node.
        for name, (start, unit) in ENDLESS.items():
            with self.subTest(name):
                piece = unit * (65_536 // len(unit))
                pieces = [start, *[piece] * (SENT_BYTES // len(piece))]
                tracemalloc.start()
                try:
                    server, _ = self.read(lambda p=pieces: p)
                    peak = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
                self.assertLess(peak, 3 * stores.MAX_REPLY_BYTES)
                end = time.monotonic() + 20.0
                while not server.cut_count and time.monotonic() < end:
                    time.sleep(0.01)
                self.assertEqual(server.cut_count, 1)

    def test_replies_that_trickle_end_within_seconds(self):
        # Guards against a reader that is occupied as long as a byte arrives
        # within each read timeout.
        for name in ('header value', 'interim responses', 'trailers'):
            with self.subTest(name):
                start, unit = ENDLESS[name]
                _, elapsed_ms = self.read(
                    lambda s=start, u=unit: itertools.chain(
                        [s], (bytes([b]) for b in itertools.cycle(u))
                    ),
                    TRICKLE_INTERVAL_MS,
                )
                self.assertLess(elapsed_ms, RECOVERY_MS)

    def test_changes_that_exceed_the_time_for_a_reply_are_read_in_pages(self):
        # Guards against a node on a slow link that asks for the same changes
        # again and again, and serves by an old version meanwhile.
        limits = stores.ReplyLimits(transfer_ms=200.0, total_bytes=5 << 20)
        self.enterContext(mock.patch.object(stores, '_LIMITS', limits))
        head = HEAD + b'Content-Length: 3000000\r\n\r\n'
        for pieces, is_history_lost in (
            ([head, *[b' ' * 100_000] * 30], True),
            # Without a head it is an outage.
            ([head[:9], *head[9:].split(b'e')], False),
        ):
            server = RawServer(lambda p=pieces: p, interval_ms=100.0)
            self.addCleanup(server.close)
            store = stores.open_store(
                lambda s=server: s.address, create_system_clock()
            )
            failure = store.wait_for_changes(1, 0.0).err_value
            self.assertEqual(failure.is_history_lost, is_history_lost)

    def test_endless_pages_are_a_failed_read(self):
        # Guards against a list of servers that grows until the node is
        # killed, from a store that always has more pages.
        item = {'Key': 'servers/x', 'Value': '', 'Revision': 1}
        page = json.dumps(
            {'items': [item] * 10_000, 'CurrentRev': 1, 'HasMore': True}
        ).encode()
        reply = HEAD + b'Content-Length: %d\r\n\r\n%b' % (len(page), page)
        served = []
        server = RawServer(lambda: served.append(1) or [reply])
        self.addCleanup(server.close)
        store = stores.open_store(
            lambda: server.address, create_system_clock()
        )
        failure = store.read_all().err_value
        self.assertIn('too many pages', failure.detail)
        limit = stores.MAX_PREFIX_BYTES // len(page)
        self.assertLessEqual(len(served), limit + 1)

    def test_connection_is_reused_after_complete_replies(self):
        # Guards against a limit that closes sound connections, or that still
        # applies to the next reply.
        body = b'{"events": [], "CurrentRev": 7}'
        reply = HEAD + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        served = []
        server = RawServer(lambda: served.append(1) or [reply])
        self.addCleanup(server.close)
        store = stores.open_store(
            lambda: server.address, create_system_clock()
        )
        for _ in range(50):
            self.assertEqual(
                store.wait_for_changes(1, 0.0).ok_value.revision, 7
            )
        pool = store._pool.connection_from_url(f'http://{server.address}')
        self.assertEqual(pool.num_connections, 1)
        self.assertEqual(len(served), 50)
