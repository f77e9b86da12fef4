import types
import unittest

import eventlet

from hawthornfold.clock import create_system_clock
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import StoreSnapshot
from hawthornfold.gateway.snapshot_sender import SnapshotSender
from hawthornfold.gateway.tests import support


class SnapshotSenderTest(unittest.TestCase):
    def setUp(self):
        self.clock = create_system_clock()
        self.sent = []
        record = ServerRecord('s1', 'portal', 'ip:1', 'dc', 2)
        servers = (ServerChange('s1', record),) * 100
        self.snapshot = StoreSnapshot(7, servers, None, 2)
        fleet = types.SimpleNamespace(
            send=lambda name, address, body: self.sent.append(
                (name, self.clock.now_ms())
            )
        )
        self.sender = SnapshotSender(
            fleet, lambda accepts_msgpack: self.snapshot, self.clock, 10.0
        )
        thread = eventlet.spawn(self.sender.run)
        self.addCleanup(thread.kill)

    def request(self, *names):
        for name in names:
            self.sender.request(types.SimpleNamespace(name=name, address=name))

    def test_snapshots_leave_room_on_the_link(self):
        # Guards against a reader whose link is occupied for seconds when all
        # followers ask after a restore of the store.
        self.request('a', 'b', 'c')
        support.wait_until(lambda: len(self.sent) == 3)
        self.assertEqual([name for name, _ in self.sent], ['a', 'b', 'c'])
        # 13 KB take 10.4 ms of the link, and 20.8 ms of its half.
        elapsed_ms = self.sent[2][1] - self.sent[0][1]
        self.assertGreaterEqual(elapsed_ms, 40.0)

    def test_node_that_asks_twice_gets_one(self):
        # Guards against a queue that grows while nodes repeat their query.
        self.request('a', 'b', 'b', 'a')
        support.wait_until(lambda: len(self.sent) >= 2)
        eventlet.sleep(0.1)
        self.assertEqual(len(self.sent), 2)

    def test_reader_without_a_snapshot_sends_none(self):
        self.snapshot, kept = None, self.snapshot
        self.request('a')
        eventlet.sleep(0.05)
        self.assertEqual(self.sent, [])
        self.snapshot = kept
        self.request('b')
        support.wait_until(lambda: self.sent)
