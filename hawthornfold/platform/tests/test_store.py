"""Reads of the platform's store over HTTP."""

import socket
import threading
import unittest

import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.store import open_store
from hawthornfold.platform.tests import support

ENTRY = {
    'Backend': 'portal',
    'Address': '127.0.0.1:1',
    'Zone': 'hall-a',
    'Version': 'v1',
    'MaxConcurrency': 2,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 1,
}


class CallList(list):
    """Calls a function when it has a number of entries."""

    def __init__(self, count, on_count):
        super().__init__()
        self._count = count
        self._on_count = on_count

    def append(self, path):
        super().append(path)
        if len(self) == self._count:
            self._on_count()


class EraTest(unittest.TestCase):
    def setUp(self):
        self.stub = support.MetadataStoreStub()
        self.addCleanup(self.stub.close)
        self.store = open_store(
            lambda: self.stub.address, create_system_clock()
        )
        for number in range(8):
            self.stub.put(f'servers/s{number}', ENTRY)
        self.log = self.enterContext(logbook.TestHandler().applicationbound())

    def raise_era(self):
        self.stub.era += 1

    def list_events(self):
        return [
            record.message.split()[0].removeprefix('event=')
            for record in self.log.records
        ]

    def test_era_of_all_answers_is_read(self):
        self.stub.era = 3
        self.assertEqual(self.store.read_all().ok_value.era, 3)
        changes = self.store.wait_for_changes(104, 0.0).ok_value
        self.assertEqual((changes.era, changes.revision), (3, 108))
        self.stub.mode = 'busy'
        self.assertEqual(
            self.store.wait_for_changes(108, 0.0).err_value.era, 3
        )
        self.stub.mode = 'ok'
        failure = self.store.wait_for_changes(200, 0.0).err_value
        self.assertTrue(failure.is_history_lost)
        self.assertEqual(failure.era, 3)

    def test_changes_that_exceed_one_reply_are_read_in_pages(self):
        # Guards against a node that asks for the same changes again and again,
        # and serves by an old version until the history expires.
        value = b'{"Backend": "%s"}' % (b'x' * 900_000)
        for number in range(5):
            self.stub.put(f'servers/large-{number}', value)
        failure = self.store.wait_for_changes(108, 0.0).err_value
        self.assertTrue(failure.is_history_lost)
        changes = self.store.read_all().ok_value
        self.assertEqual(changes.revision, 113)
        self.assertEqual(len(changes.servers), 13)

    def test_first_read_may_be_stale(self):
        # Guards against a fleet that starts and exceeds the store's rate.
        self.store.read_all(may_be_stale=True)
        self.assertTrue(all('AllowStale=1' in x for x in self.stub.queries))
        self.assertEqual(len(self.stub.queries), 4)
        self.stub.queries.clear()
        self.store.read_all()
        self.assertFalse(any('AllowStale' in x for x in self.stub.queries))

    def test_pages_of_two_eras_are_no_complete_read(self):
        # Guards against a list of servers of which one part is from before
        # the restore and one from after it.
        self.stub.calls = CallList(3, self.raise_era)
        failure = self.store.read_all().err_value
        self.assertIn('two eras', failure.detail)
        self.assertEqual(failure.era, 2)
        self.assertEqual(self.store.read_all().ok_value.era, 2)

    def test_missing_era_is_none(self):
        # A store that reports none has never lost a change.
        self.stub.era = None
        self.assertIsNone(self.store.read_all().ok_value.era)
        self.assertEqual(self.list_events(), [])
        self.stub.era = 1
        self.assertEqual(self.store.read_all().ok_value.era, 1)
        self.stub.era = None
        self.assertIsNone(self.store.read_all().ok_value.era)
        self.assertEqual(self.list_events(), ['store_era_missing'])

    def test_invalid_era_is_logged_and_ignored(self):
        # Guards against a crash, and a log line for each answer.
        for text in ('x', '-1', '1.5', '', '9' * 400, '٣'.encode().hex()):
            with self.subTest(text):
                self.stub.era = text
                self.log.records.clear()
                for _ in range(2):
                    self.assertIsNone(self.store.read_all().ok_value.era)
                self.assertEqual(self.list_events(), ['store_era_refused'])


class FailureTest(unittest.TestCase):
    """How calls may end, and what this says about the store."""

    def fail(self, answer, wait_ms):
        """Return the failure of a call; `answer` ends its connection."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(4096)
                answer(connection)

        thread = threading.Thread(target=serve)
        thread.start()
        self.addCleanup(thread.join)
        address = '{}:{}'.format(*listener.getsockname())
        store = open_store(lambda: address, create_system_clock())
        return store.wait_for_changes(1, wait_ms).err_value

    def check(self, answer, wait_ms, is_cut, is_rate_limited=False):
        failure = self.fail(answer, wait_ms)
        found = (failure.is_cut, failure.is_rate_limited)
        self.assertEqual(found, (is_cut, is_rate_limited), failure)

    def test_only_broken_connections_of_waiting_calls_are_cuts(self):
        # Guards against an outage that is taken for a cut, in which records
        # of live servers expire, and the other way round.
        def close(connection):
            connection.shutdown(socket.SHUT_RDWR)

        def close_in_the_body(connection):
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{'
            )

        def stay_silent(connection):
            connection.recv(1)

        def refuse(status):
            return lambda connection: connection.sendall(
                f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'.encode()
            )

        for answer in (close, gateway_support.reset, close_in_the_body):
            for wait_ms in (1_000.0, 0.0):
                with self.subTest(answer.__name__, wait_ms=wait_ms):
                    self.check(answer, wait_ms, is_cut=wait_ms > 0.0)
        self.check(stay_silent, 100.0, is_cut=False)
        self.check(refuse(503), 100.0, is_cut=False)
        self.check(refuse(429), 100.0, is_cut=False, is_rate_limited=True)
        store = open_store(lambda: '127.0.0.1:1', create_system_clock())
        failure = store.wait_for_changes(1, 100.0).err_value
        self.assertFalse(failure.is_cut)
