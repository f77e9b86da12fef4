"""Nodes that start while the store, or a reader, is behind.

Guards against failure 3 of docs/design/server-signals.md, R7: after a restart
a server that had left, or a key that had been withdrawn, is in use again.
"""

import result

from hawthornfold.directory import ReadFailure
from hawthornfold.directory import StoreChanges
from hawthornfold.directory import StoreNews
from hawthornfold.directory.configuration_codec import encode_configuration
from hawthornfold.directory.read_intervals import LONG_POLL_MS
from hawthornfold.directory.reader_messages import VOUCH_GRACE_MS
from hawthornfold.directory.tests.test_watcher import REMOVED
from hawthornfold.directory.tests.test_watcher import WRITTEN
from hawthornfold.directory.tests.test_watcher import WatcherTestCase
from hawthornfold.directory.tests.test_watcher import configuration

STALE = result.Ok(StoreChanges(10, (WRITTEN,), configuration(3)))
FAILED = result.Err(ReadFailure('down'))


class StaleStartTest(WatcherTestCase):
    def test_rules_of_a_stale_read_do_not_come_into_force(self):
        # The store fails between the read, which may be stale, and that of
        # the changes since.
        self.watch(STALE, FAILED, FAILED)
        self.assertEqual(self.versions, [])
        self.store.replies.append(
            result.Ok(StoreChanges(12, (REMOVED,), configuration(4)))
        )
        self.watcher.read_once()
        self.assertEqual(self.versions, [4])

    def test_rules_of_a_stale_read_come_into_force_if_nothing_changed(self):
        self.watch(STALE, FAILED, result.Ok(StoreChanges(10)))
        self.assertEqual(self.versions, [3])

    def test_update_that_cannot_be_decoded_confirms_nothing(self):
        # A change against another version than the node's.
        self.watch(STALE)
        change = StoreNews(10, 12, (REMOVED,), configuration=None)
        broken = change._replace(
            configuration=self.create_broken_configuration()
        )
        self.watcher.apply_update(broken)
        self.assertFalse(self.watcher.is_loaded)
        self.assertEqual(self.versions, [])
        self.watcher.apply_update(change)
        self.assertEqual(self.versions, [3])
        self.assertEqual(self.directory.records, {})

    def create_broken_configuration(self):
        published = encode_configuration(configuration(4), True)
        return published._replace(rules=b'\xff')


class PausedReaderTest(WatcherTestCase):
    def test_reader_that_was_paused_passes_on_nothing_old(self):
        # A node that starts would take a server that has left since from the
        # reader, and count as ready.
        self.watch(STALE, result.Ok(StoreChanges(10)))
        self.assertIsNotNone(self.watcher.create_heartbeat())
        self.assertIsNotNone(self.watcher.create_snapshot())
        self.clock.sleep_ms(LONG_POLL_MS + VOUCH_GRACE_MS + 1.0)
        self.assertIsNone(self.watcher.create_heartbeat())
        self.assertIsNone(self.watcher.create_snapshot())
        self.store.replies.append(result.Ok(StoreChanges(11)))
        self.watcher.read_once()
        self.assertEqual(self.watcher.create_snapshot().revision, 11)
