"""The store returns from an older copy: revisions go back and repeat."""

import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import logbook
import result

from hawthornfold.clock import create_manual_clock
from hawthornfold.directory import PublishedStore
from hawthornfold.directory import ReadFailure
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import StoreChanges
from hawthornfold.directory import StoreNews
from hawthornfold.directory import StorePosition
from hawthornfold.directory import create_server_directory
from hawthornfold.directory import create_store_watcher
from hawthornfold.directory.corrections import ANSWER_LIMIT_MS
from hawthornfold.directory.corrections import FIND_LIMIT_MS
from hawthornfold.directory.departures import DISTRUST_MS
from hawthornfold.directory.departures import DepartedServer
from hawthornfold.directory.last_resort import LAST_RESORT_MS
from hawthornfold.directory.reader_tracker import ERA_GRACE_MS
from hawthornfold.directory.reader_tracker import ERA_SPREAD_MS
from hawthornfold.directory.reader_tracker import SNAPSHOT_QUERY_INTERVAL_MS
from hawthornfold.directory.removals import REMOVAL_GRACE_MS
from hawthornfold.directory.revisions import MAX_REVISIONS
from hawthornfold.directory.tests.test_watcher import configuration
from hawthornfold.metrics import create_metrics


def create_record(server_id, born_ms=1, is_draining=False):
    return ServerRecord(
        server_id,
        'portal',
        # A port of its own; the ids of these tests have two characters.
        f'127.0.0.1:{int.from_bytes(server_id.encode()[:2])}',
        'dc',
        2,
        is_draining,
        born_ms=born_ms,
    )


class SimulatedStore(PublishedStore):
    """A store that can return from a copy of an earlier revision."""

    def __init__(self):
        self.era = 1
        self.revision = 100
        # The state after each revision, and the changes by revision.
        self.states = {100: ({}, None)}
        self.changes = {}
        self.oldest_revision = 100
        self.is_down = False
        self.reads = 0

    @property
    def servers(self):
        return self.states[self.revision][0]

    @property
    def version(self):
        found = self.states[self.revision][1]
        return None if found is None else found.version

    def write_server(self, record):
        servers = {**self.servers, record.server_id: record}
        self._commit(servers, None, ServerChange(record.server_id, record))

    def remove_server(self, server_id):
        servers = dict(self.servers)
        del servers[server_id]
        self._commit(servers, None, ServerChange(server_id, None))

    def write_configuration(self, published):
        self._commit(self.servers, published, None)

    def _commit(self, servers, published, change):
        before = self.states[self.revision][1]
        self.revision += 1
        self.states[self.revision] = (servers, published or before)
        if change is not None:
            change = change._replace(revision=self.revision)
        self.changes[self.revision] = (change, published)

    def restore(self, revision):
        """Return from a copy of an earlier revision."""
        revision = max(revision, self.oldest_revision)
        self.era += 1
        for later in range(revision + 1, self.revision + 1):
            del self.states[later]
            del self.changes[later]
        self.revision = revision

    def compact(self):
        """Drop the history."""
        self.oldest_revision = self.revision

    def find_revision(self, server_id):
        return max(
            n
            for n, (change, _) in self.changes.items()
            if change is not None and change.server_id == server_id
        )

    def read_all(self, may_be_stale=False):
        self.reads += 1
        if self.is_down:
            return result.Err(ReadFailure('refused'))
        servers, published = self.states[self.revision]
        return result.Ok(
            StoreChanges(
                self.revision,
                tuple(
                    ServerChange(i, r, self.find_revision(i))
                    for i, r in servers.items()
                ),
                published,
                era=self.era,
            )
        )

    def wait_for_changes(self, revision, wait_ms):
        self.reads += 1
        if self.is_down:
            return result.Err(ReadFailure('refused'))
        if not self.oldest_revision <= revision <= self.revision:
            return result.Err(ReadFailure('status 410', True, self.era))
        later = [
            self.changes[n] for n in range(revision + 1, self.revision + 1)
        ]
        written = [
            published for _, published in later if published is not None
        ]
        return result.Ok(
            StoreChanges(
                self.revision,
                tuple(change for change, _ in later if change is not None),
                written[-1] if written else None,
                era=self.era,
            )
        )


class NodeStub:
    """A watcher with its directory and clock."""

    def __init__(self, store, clock, is_reader=True, asked_count=None):
        self.directory = create_server_directory()
        self.versions = []
        self.updates = []
        self.kinds = []
        self.clock = clock
        self.metrics = create_metrics()
        self.watcher = create_store_watcher(
            store,
            self.directory,
            clock,
            self.metrics,
            lambda events: self.kinds.extend(e.kind for e in events),
            lambda found: self.versions.append(found.version),
            self.updates.append,
            lambda: asked_count,
        )
        self.watcher.set_reader(is_reader)

    def read(self, count=1):
        """Read several times, as the loop of the watcher does."""
        for _ in range(count):
            self.clock.advance(self.watcher.read_once())

    @property
    def usable(self):
        """The ids of the servers that may receive requests."""
        now_ms = self.clock.now_ms()
        return {
            record.server_id
            for record in self.directory.available_servers('portal', now_ms)
        }

    def expire(self):
        self.watcher._view.expire(self.clock.now_ms())


class RestoreTestCase(unittest.TestCase):
    def setUp(self):
        self.enterContext(logbook.NullHandler().applicationbound())
        self.store = SimulatedStore()
        self.clock = create_manual_clock(1_000)

    def create_node(self, is_reader=True, asked_count=None):
        return NodeStub(self.store, self.clock, is_reader, asked_count)

    def pass_time(self, node, duration_ms):
        self.clock.advance(duration_ms)
        node.expire()


class ReaderTest(RestoreTestCase):
    def test_changes_below_the_old_revision_are_not_missed(self):
        # Guards against the silent loss of changes: after the restore the
        # store reaches the revision of the reader again, so that its next
        # watch returns only what came after that. Fails on bd9a273.
        self.store.write_server(create_record('old'))
        for number in range(20):
            self.store.write_server(create_record(f's{number}'))
        node = self.create_node()
        node.read(2)
        self.assertEqual(node.watcher.position, StorePosition(1, 121))
        self.store.restore(101)
        self.store.remove_server('old')
        for number in range(30):
            self.store.write_server(create_record(f'n{number}'))
        node.read(3)
        self.assertEqual(
            node.watcher.position, StorePosition(2, self.store.revision)
        )
        self.pass_time(node, REMOVAL_GRACE_MS)
        self.assertEqual(node.usable, set(self.store.servers))

    def test_live_server_that_the_copy_lacks_stays_in_use(self):
        # Guards against requests that fail because all servers that started
        # recently are removed at once.
        node = self.create_node()
        self.store.write_server(create_record('s1'))
        self.store.write_server(create_record('s2'))
        node.read(2)
        self.store.restore(101)
        node.read(2)
        self.assertEqual(node.usable, {'s1', 's2'})
        self.store.write_server(create_record('s2'))
        node.read()
        self.pass_time(node, REMOVAL_GRACE_MS)
        self.assertEqual(node.usable, {'s1', 's2'})
        self.assertNotIn('removed', node.kinds)

    def test_server_that_does_not_write_again_is_removed(self):
        # Guards against servers that crashed during the restore and are used
        # for ever.
        node = self.create_node()
        self.store.write_server(create_record('s1'))
        self.store.write_server(create_record('s2'))
        node.read(2)
        self.store.restore(101)
        node.read(2)
        self.pass_time(node, REMOVAL_GRACE_MS)
        self.assertEqual(node.usable, {'s1'})

    def test_server_that_had_left_is_not_used_again(self):
        # Guards against requests to a server that has ended, because the copy
        # still lists it as ready.
        for name, leave in (
            ('removed', lambda: self.store.remove_server('s1')),
            (
                'draining',
                lambda: self.store.write_server(
                    create_record('s1', is_draining=True)
                ),
            ),
        ):
            with self.subTest(name):
                self.setUp()
                node = self.create_node()
                self.store.write_server(create_record('s1'))
                self.store.write_server(create_record('s2'))
                node.read(2)
                leave()
                node.read()
                self.store.restore(102)
                node.read(2)
                self.assertEqual(node.usable, {'s2'})
                # Its record expires in the new era.
                self.store.remove_server('s1')
                node.read()
                self.pass_time(node, DISTRUST_MS)
                self.assertEqual(node.usable, {'s2'})

    def test_server_that_left_before_the_node_started_is_not_used(self):
        # Guards against requests to a server that has left, because no
        # running node has seen that, and the copy lists it as ready.
        self.store.write_server(create_record('s1'))
        self.store.write_server(create_record('s2'))
        self.store.remove_server('s1')
        node = self.create_node()
        node.read(2)
        self.store.restore(102)
        node.read(2)
        self.assertEqual(node.usable, {'s2'})
        # A node that starts later asks this one.
        departed = node.watcher.create_snapshot().departed
        self.assertEqual(departed, (DepartedServer('s1', 1),))
        self.store.write_server(create_record('s1'))
        node.read()
        self.assertEqual(node.usable, {'s1', 's2'})

    def test_departure_is_inferred_from_an_earlier_revision(self):
        # Guards against a copy that has nothing in common with the node,
        # because all servers have written their records again since.
        directory = self.create_node().directory
        known = [ServerChange('s2', create_record('s2'), 102)]
        directory.replace_all(known, 0.0)
        for revision in range(104, 104 + MAX_REVISIONS - 1):
            later = ServerChange('s2', create_record('s2'), revision)
            directory.apply([later], 0.0)
        left = ServerChange('s1', create_record('s1'), 101)
        directory.replace_all([left, *known], 0.0, True)
        self.assertEqual(directory.distrusted_ids, ('s1',))

    def test_server_that_registers_after_the_restore_is_used(self):
        # Guards against a new server that is held back because its revision
        # was one of the lost era's.
        self.store.write_server(create_record('s1'))
        node = self.create_node()
        node.read(2)
        for _ in range(5):
            self.store.write_server(create_record('s1'))
        node.read()
        self.store.restore(101)
        self.store.write_server(create_record('new'))
        node.read(2)
        self.assertEqual(node.usable, {'s1', 'new'})

    def test_server_that_is_alive_after_all_is_used_again(self):
        # Guards against a live server that is excluded for ever, because its
        # record had expired before the restore.
        for name, write in (
            ('written', lambda: self.store.write_server(create_record('s1'))),
            (
                'restarted',
                lambda: self.store.write_server(create_record('s1', 2)),
            ),
            ('listed', lambda: self.pass_time(self.node, DISTRUST_MS)),
        ):
            with self.subTest(name):
                self.setUp()
                self.node = self.create_node()
                self.store.write_server(create_record('s1'))
                self.node.read(2)
                self.store.remove_server('s1')
                self.node.read()
                self.pass_time(self.node, LAST_RESORT_MS)
                self.store.restore(101)
                self.node.read(2)
                self.assertEqual(self.node.usable, set())
                write()
                self.node.read()
                self.assertEqual(self.node.usable, {'s1'})

    def test_record_of_an_earlier_start_does_not_replace_a_later_one(self):
        # Guards against the address of a replaced process.
        node = self.create_node()
        self.store.write_server(create_record('s1', 1))
        node.read()
        self.store.write_server(create_record('s1', 2))
        node.read()
        self.store.restore(101)
        node.read(2)
        self.assertEqual(node.directory.get('s1').born_ms, 2)

    def test_configuration_never_reverts(self):
        # Guards against rules that return to an older version until the
        # operator has written the lost one again.
        node = self.create_node()
        self.store.write_configuration(configuration(5))
        self.store.write_configuration(configuration(8))
        node.read(2)
        self.store.restore(101)
        node.read(2)
        self.assertEqual(node.versions, [8])
        self.store.write_configuration(configuration(7))
        node.read()
        self.store.write_configuration(configuration(8))
        node.read()
        self.store.write_configuration(configuration(9))
        node.read()
        self.assertEqual(node.versions, [8, 9])

    def test_other_rules_under_a_lost_version_come_into_force(self):
        # Guards against rules that the operator has written after the restore
        # and that are taken for those of the lost version.
        node = self.create_node()
        self.store.write_configuration(configuration(5))
        node.read()
        self.store.write_configuration(configuration(8))
        node.read()
        self.store.restore(101)
        node.read(2)
        limits = configuration(8).limits._replace(max_body_bytes=1)
        self.store.write_configuration(
            configuration(8)._replace(limits=limits)
        )
        node.read()
        found = node.watcher._view.configuration
        self.assertEqual(found.limits.max_body_bytes, 1)
        # The same contents again are no change.
        self.store.write_configuration(
            configuration(8)._replace(limits=limits)
        )
        node.read()
        self.assertEqual(node.versions, [8, 8])

    def test_answer_of_an_earlier_era_is_ignored(self):
        # Guards against a late answer that brings back what was lost.
        node = self.create_node()
        self.store.write_server(create_record('s1'))
        node.read()
        self.store.restore(100)
        node.read(2)
        self.store.era = 1
        self.store.write_server(create_record('late'))
        node.read(2)
        self.assertEqual(node.watcher.position.era, 2)
        self.assertNotIn('late', node.usable)
        self.assertEqual(node.metrics.value('store_answers_stale'), 2)

    def test_complete_read_of_an_earlier_era_is_ignored(self):
        # Guards against a late answer to a complete read, which would bring
        # back everything that was lost.
        node = self.create_node()
        self.store.write_server(create_record('s1'))
        node.read()
        self.store.restore(100)
        node.read(2)
        self.store.compact()
        self.store.write_server(create_record('s2'))
        self.store.compact()
        # The watch gets 410, and the complete read an answer of era 1.
        node.watcher.read_once()
        self.store.era = 1
        self.store.write_server(create_record('late'))
        node.read(2)
        self.assertEqual(node.watcher.position.era, 2)
        self.assertNotIn('late', node.usable)

    def test_several_restores_in_a_row(self):
        node = self.create_node()
        for number in range(5):
            self.store.write_server(create_record(f's{number}'))
            node.read()
            self.store.restore(self.store.revision - 1)
            node.read(2)
        self.assertEqual(node.watcher.position.era, 6)
        self.pass_time(node, REMOVAL_GRACE_MS)
        self.pass_time(node, LAST_RESORT_MS)
        self.assertEqual(node.usable, set(self.store.servers))

    def test_store_that_was_away_is_asked_for_its_era_at_once(self):
        # Guards against a long poll that waits for a revision of the lost
        # era.
        node = self.create_node()
        node.read()
        self.store.is_down = True
        node.read()
        self.store.is_down = False
        waits = []
        wait_for_changes = self.store.wait_for_changes

        def record_wait(revision, wait_ms):
            waits.append(wait_ms)
            return wait_for_changes(revision, wait_ms)

        self.store.wait_for_changes = record_wait
        node.read(2)
        self.assertEqual(waits[0], 0.0)
        self.assertGreater(waits[1], 0.0)

    def test_store_without_eras_is_read_as_before(self):
        node = self.create_node()
        self.store.era = None
        self.store.write_server(create_record('s1'))
        node.read(2)
        self.store.write_server(create_record('s2'))
        node.read()
        self.assertEqual(node.watcher.position, StorePosition(0, 102))
        self.assertEqual(node.usable, {'s1', 's2'})

    def test_era_that_is_missing_at_times_changes_nothing(self):
        # Guards against a reload for each answer without the header.
        node = self.create_node()
        node.read()
        self.store.era = None
        self.store.write_server(create_record('s1'))
        node.read()
        self.assertEqual(node.watcher.position, StorePosition(1, 101))
        self.assertEqual(node.usable, {'s1'})


class FollowerTest(RestoreTestCase):
    def setUp(self):
        super().setUp()
        self.reader = self.create_node()
        self.follower = self.create_node(is_reader=False)
        self.store.write_server(create_record('s1'))
        self.store.write_server(create_record('s2'))
        self.reader.read(2)
        self.follower.read(2)
        self.send_heartbeat()

    def send_heartbeat(self):
        heartbeat = self.reader.watcher.create_heartbeat()
        if heartbeat is not None:
            self.follower.watcher.apply_update(heartbeat)

    def restore(self):
        self.store.restore(101)
        self.reader.read(2)

    def test_follower_asks_its_reader_for_a_snapshot(self):
        # Guards against a fleet that reads everything from the store at the
        # same time.
        self.restore()
        self.send_heartbeat()
        reads = self.store.reads
        self.assertTrue(self.follower.watcher.try_query_snapshot())
        self.follower.read()
        self.assertEqual(self.store.reads, reads)
        snapshot = self.reader.watcher.create_snapshot()
        self.follower.watcher.apply_snapshot(snapshot)
        self.assertEqual(
            self.follower.watcher.position, self.reader.watcher.position
        )
        self.assertEqual(self.follower.usable, {'s1', 's2'})
        self.pass_time(self.follower, REMOVAL_GRACE_MS)
        self.assertEqual(self.follower.usable, {'s1'})

    def test_follower_without_a_snapshot_reads_the_store(self):
        # Guards against a follower that stays in the lost era because a
        # message was lost.
        self.restore()
        self.send_heartbeat()
        self.follower.read()
        self.clock.advance(ERA_GRACE_MS + ERA_SPREAD_MS)
        self.send_heartbeat()
        self.follower.read(2)
        self.assertEqual(self.follower.watcher.position.era, 2)

    def test_followers_read_at_different_times(self):
        # Guards against a load on the store that grows with the fleet.
        self.restore()
        times = set()
        for _ in range(20):
            node = self.create_node(is_reader=False)
            node.read()
            node.watcher._reader_tracker.record_heartbeat(
                StorePosition(9, 1), self.clock.now_ms()
            )
            tracker = node.watcher._reader_tracker
            position = node.watcher.position
            now_ms = self.clock.now_ms()
            tracker.relies_on_readers(position, now_ms)
            times.add(tracker._era_grace_ms)
        self.assertEqual(len(times), 20)
        self.assertGreaterEqual(min(times), ERA_GRACE_MS)

    def test_changes_of_the_lost_era_are_ignored(self):
        # Guards against an old change that is applied after a newer one.
        news = StoreNews(
            102,
            103,
            (ServerChange('late', create_record('late'), 103),),
            era=1,
        )
        self.restore()
        self.send_heartbeat()
        self.follower.watcher.apply_snapshot(
            self.reader.watcher.create_snapshot()
        )
        self.follower.watcher.apply_update(news)
        self.assertNotIn('late', self.follower.usable)
        self.assertEqual(
            self.follower.metrics.value('store_news', outcome='stale'), 1
        )

    def test_changes_of_a_new_era_are_not_applied_to_the_old_state(self):
        # Guards against changes between the copy and the follower's revision
        # that it would never see.
        news = StoreNews(
            100,
            130,
            (ServerChange('new', create_record('new'), 129),),
            era=2,
        )
        self.follower.watcher.apply_update(news)
        self.assertEqual(self.follower.watcher.position, StorePosition(1, 102))
        self.assertTrue(self.follower.watcher.try_query_snapshot())

    def test_configuration_in_relation_to_an_unknown_version_is_not_applied(
        self,
    ):
        # Guards against a follower that counts as current without the
        # configuration that it could not apply.
        self.store.write_configuration(configuration(1))
        self.reader.read()
        self.reader.updates.clear()
        self.store.write_configuration(configuration(2))
        self.reader.read()
        (update,) = self.reader.updates
        self.assertEqual(update.change.base_version, 1)
        self.follower.watcher.apply_update(update._replace(after=102))
        self.assertEqual(self.follower.versions, [])
        self.assertEqual(self.follower.watcher.position, StorePosition(1, 102))

    def test_other_rules_under_a_lost_version_reach_followers(self):
        # Guards against a follower that keeps the rules of the lost version
        # for ever, because its snapshot was of the new era.
        for version in (5, 8):
            self.store.write_configuration(configuration(version))
            self.reader.read()
            self.follower.watcher.apply_update(self.reader.updates.pop())
        self.store.restore(103)
        self.reader.read(2)
        self.send_heartbeat()
        self.assertTrue(self.follower.watcher.try_query_snapshot())
        self.follower.watcher.apply_snapshot(
            self.reader.watcher.create_snapshot()
        )
        limits = configuration(8).limits._replace(max_body_bytes=1)
        self.store.write_configuration(
            configuration(8)._replace(limits=limits)
        )
        self.reader.read()
        self.follower.watcher.apply_update(self.reader.updates.pop())
        for node in (self.reader, self.follower):
            found = node.watcher._view.configuration
            self.assertEqual(found.limits.max_body_bytes, 1)

    def test_follower_holds_back_what_its_reader_does(self):
        # Guards against a follower that has started after a server had left,
        # and trusts a snapshot more than the reader that has sent it.
        self.store.remove_server('s1')
        self.reader.read()
        follower = self.create_node(is_reader=False)
        follower.read(2)
        self.restore()
        snapshot = self.reader.watcher.create_snapshot()
        self.assertEqual(snapshot.departed, (DepartedServer('s1', 1),))
        follower.watcher.apply_snapshot(snapshot)
        self.pass_time(follower, REMOVAL_GRACE_MS)
        self.assertEqual(follower.usable, set())

    def test_departure_of_a_later_start_is_not_forgotten(self):
        # Guards against a server that is used again because another node has
        # seen only the departure of an earlier start.
        directory = self.follower.directory
        now_ms = self.clock.now_ms()
        directory.apply([ServerChange('s1', create_record('s1', 3))], now_ms)
        directory.apply([ServerChange('s1', None)], now_ms)
        directory.hold_back([DepartedServer('s1', 2)], now_ms)
        directory.replace_all(
            [ServerChange('s1', create_record('s1', 3))], now_ms, True
        )
        self.assertEqual(directory.distrusted_ids, ('s1',))

    def test_reader_that_is_behind_an_era_is_not_relied_on(self):
        # Guards against a follower that is told by a reader which cannot
        # reach the store that nothing has changed.
        tracker = self.follower.watcher._reader_tracker
        tracker.record_position(StorePosition(2, 1))
        before_ms = self.clock.now_ms()
        self.clock.advance(SNAPSHOT_QUERY_INTERVAL_MS)
        self.send_heartbeat()
        self.assertEqual(tracker._last_heartbeat_ms, before_ms)

    def test_reader_that_learns_of_an_era_sends_no_heartbeat_of_it(self):
        # Guards against a reader that vouches for an era that it has not
        # read.
        self.reader.watcher.handle_position(StorePosition(2, 5))
        self.assertIsNone(self.reader.watcher.create_heartbeat())

    def test_snapshot_contains_servers_that_the_reader_does_not_trust(self):
        # Guards against followers that never learn of a live server.
        self.store.remove_server('s1')
        self.reader.read()
        self.store.restore(102)
        self.reader.read(2)
        self.assertEqual(self.reader.usable, {'s2'})
        snapshot = self.reader.watcher.create_snapshot()
        self.assertEqual({c.server_id for c in snapshot.servers}, {'s1', 's2'})


class StartTest(RestoreTestCase):
    """A node that starts after the store has returned from an older copy."""

    def setUp(self):
        super().setUp()
        for server_id in ('s1', 's2'):
            self.store.write_server(create_record(server_id))
        self.store.write_configuration(configuration(5))
        self.other = self.create_node()
        self.other.read(2)
        self.store.remove_server('s1')
        self.store.write_configuration(configuration(8))
        self.other.read()
        self.pass_time(self.other, LAST_RESORT_MS)

    def start(self, asked_count=2):
        """Return a node that waits for the others."""
        node = self.create_node(asked_count=asked_count)
        node.read(3)
        self.assertEqual(node.versions, [])
        self.assertFalse(node.watcher.is_loaded)
        return node

    def test_what_the_copy_lacks_is_learnt_before_the_node_serves(self):
        # Guards against requests that are decided by rules that had been
        # replaced, and requests to servers that have left.
        self.store.restore(103)
        self.other.read(2)
        node = self.start()
        node.watcher.apply_snapshot(self.other.watcher.create_snapshot())
        node.read()
        self.assertTrue(node.watcher.is_loaded)
        self.assertEqual(node.versions, [8])
        self.assertEqual(node.usable, {'s2'})
        # It knows as much as the other one, for those that start later.
        self.assertEqual(
            node.watcher.create_snapshot(),
            self.other.watcher.create_snapshot(),
        )
        # A live server that is still listed is used again.
        self.pass_time(node, DISTRUST_MS)
        self.assertEqual(node.usable, {'s1', 's2'})

    def test_snapshot_of_a_later_position_does_not_bring_servers_back(self):
        # Guards against a server that is used since a newer snapshot lists
        # it, as the copy does.
        self.store.restore(103)
        self.other.read(2)
        node = self.start()
        self.store.write_server(create_record('s3'))
        self.other.read()
        node.watcher.apply_snapshot(self.other.watcher.create_snapshot())
        node.read()
        self.assertEqual(node.versions, [8])
        self.assertEqual(node.usable, {'s2', 's3'})

    def test_rules_written_under_the_lost_version_come_into_force(self):
        # Guards against a configuration that is taken for a new one.
        self.store.restore(103)
        self.other.read(2)
        node = self.start()
        node.watcher.apply_snapshot(self.other.watcher.create_snapshot())
        limits = configuration(8).limits._replace(max_body_bytes=1)
        self.store.write_configuration(
            configuration(8)._replace(limits=limits)
        )
        node.read(2)
        found = node.watcher._view.configuration
        self.assertEqual(found.limits.max_body_bytes, 1)

    def test_node_that_has_not_read_the_new_era_knows_the_rules(self):
        # Guards against an answer that is ignored because it is too early,
        # and against one that ends the wait too early.
        before = self.other.watcher.create_snapshot()
        self.store.restore(103)
        node = self.start()
        node.watcher.apply_snapshot(before)
        node.read()
        self.assertFalse(node.watcher.is_loaded)
        self.other.read(2)
        node.watcher.apply_snapshot(self.other.watcher.create_snapshot())
        node.read()
        self.assertEqual(node.versions, [8])
        self.assertEqual(node.usable, {'s2'})

    def test_node_without_an_answer_serves_by_the_copy(self):
        # Guards against a fleet that has lost power and waits for ever.
        self.store.restore(103)
        for asked_count, limit_ms in (
            (2, ANSWER_LIMIT_MS),
            (0, FIND_LIMIT_MS),
        ):
            with self.subTest(asked_count):
                node = self.start(asked_count)
                self.clock.advance(limit_ms)
                node.read()
                self.assertTrue(node.watcher.is_loaded)
                self.assertEqual(node.versions, [5])

    def test_answer_after_the_wait_is_used(self):
        # Guards against a node that serves by the copy until the operator
        # writes again, because an answer was late.
        self.store.restore(103)
        self.other.read(2)
        node = self.start()
        self.clock.advance(ANSWER_LIMIT_MS)
        node.read()
        self.assertEqual(node.versions, [5])
        node.watcher.apply_snapshot(self.other.watcher.create_snapshot())
        self.assertEqual(node.versions, [5, 8])
        self.assertEqual(node.usable, {'s2'})

    def test_nodes_that_wait_vouch_for_nothing(self):
        # Guards against nodes that start together and end each other's wait.
        self.store.restore(103)
        self.assertIsNone(self.start().watcher.create_snapshot())

    def test_node_without_others_does_not_wait(self):
        # Guards against a fleet of one that starts late.
        self.store.restore(103)
        node = self.create_node()
        node.read(2)
        self.assertEqual(node.versions, [5])

    def test_store_without_eras_causes_no_wait(self):
        self.store.era = None
        node = self.create_node(asked_count=2)
        node.read(2)
        self.assertEqual(node.versions, [8])

    def test_node_does_not_read_the_store_while_it_waits(self):
        # Guards against a load on the store that grows with the nodes that
        # start.
        self.store.restore(103)
        node = self.start()
        reads = self.store.reads
        while not node.watcher.is_loaded:
            self.assertEqual(self.store.reads, reads)
            node.read()
        self.assertEqual(self.store.reads, reads + 1)


class RestoreMachine(stateful.RuleBasedStateMachine):
    """A store, two readers and a follower, with restores, loss and delay."""

    def __init__(self):
        super().__init__()
        self.log_handler = logbook.NullHandler()
        self.log_handler.push_application()
        self.store = SimulatedStore()
        self.clock = create_manual_clock(1_000)
        self.readers = [NodeStub(self.store, self.clock) for _ in range(2)]
        self.follower = NodeStub(self.store, self.clock, is_reader=False)
        # Messages that have not arrived yet, in any order.
        self.messages = []
        self.positions = {}
        self.next_server = 0

    def teardown(self):
        self.log_handler.pop_application()

    @property
    def nodes(self):
        return [*self.readers, self.follower]

    @stateful.rule()
    def write_server(self):
        self.next_server += 1
        self.store.write_server(create_record(f's{self.next_server % 6}'))

    @stateful.rule(data=strategies.data())
    def remove_server(self, data):
        if self.store.servers:
            names = sorted(self.store.servers)
            self.store.remove_server(data.draw(strategies.sampled_from(names)))

    @stateful.rule()
    def write_configuration(self):
        self.store.write_configuration(
            configuration((self.store.version or 0) + 1)
        )

    @stateful.rule(lost=strategies.integers(1, 6))
    def restore(self, lost):
        self.store.restore(self.store.revision - lost)

    @stateful.rule()
    def compact(self):
        self.store.compact()

    @stateful.rule(is_down=strategies.booleans())
    def set_store_down(self, is_down):
        self.store.is_down = is_down

    @stateful.rule(number=strategies.integers(0, 1))
    def read(self, number):
        node = self.readers[number]
        self.clock.advance(node.watcher.read_once())
        self.messages += [(x, node) for x in node.updates]
        node.updates.clear()

    @stateful.rule()
    def follow(self):
        self.clock.advance(self.follower.watcher.read_once())

    @stateful.rule(number=strategies.integers(0, 1))
    def send_heartbeat(self, number):
        node = self.readers[number]
        heartbeat = node.watcher.create_heartbeat()
        if heartbeat is not None:
            self.messages.append((heartbeat, node))

    @stateful.rule(number=strategies.integers(0, 1))
    def report_position(self, number):
        node, other = self.readers[number], self.readers[1 - number]
        if node.watcher.position is not None:
            other.watcher.handle_position(node.watcher.position)

    @stateful.rule(data=strategies.data(), is_lost=strategies.booleans())
    def deliver(self, data, is_lost):
        if not self.messages:
            return
        index = data.draw(strategies.integers(0, len(self.messages) - 1))
        message, sender = self.messages.pop(index)
        if is_lost:
            return
        if isinstance(message, StoreNews):
            self.follower.watcher.apply_update(message)
            if self.follower.watcher.try_query_snapshot():
                snapshot = sender.watcher.create_snapshot()
                if snapshot is not None:
                    self.messages.append((snapshot, sender))
        else:
            self.follower.watcher.apply_snapshot(message)

    @stateful.rule(duration_ms=strategies.sampled_from((50, 400, 3_000)))
    def pass_time(self, duration_ms):
        self.clock.advance(duration_ms)
        for node in self.nodes:
            node.expire()

    @stateful.rule()
    def restart_follower(self):
        self.follower = NodeStub(
            self.store, self.clock, is_reader=False, asked_count=2
        )

    @stateful.rule(number=strategies.integers(0, 1))
    def answer_query(self, number):
        snapshot = self.readers[number].watcher.create_snapshot()
        if snapshot is not None:
            self.messages.append((snapshot, self.readers[number]))

    @stateful.invariant()
    def positions_never_go_back(self):
        for node in self.nodes:
            position = node.watcher.position
            before = self.positions.get(id(node), (None, position))[1]
            self.positions[id(node)] = (node, position)
            if before is not None:
                assert position >= before, (before, position)

    @stateful.invariant()
    def versions_never_go_back(self):
        for node in self.nodes:
            assert node.versions == sorted(node.versions), node.versions

    @stateful.rule()
    def every_node_holds_what_the_store_holds_after_quiet_time(self):
        self.store.is_down = False
        self.messages.clear()
        for _ in range(30):
            for number in (0, 1):
                self.read(number)
                self.send_heartbeat(number)
            while self.messages:
                message, sender = self.messages.pop(0)
                self.messages.insert(0, (message, sender))
                self._deliver_first()
            self.follow()
            self.pass_time(300)
        self.pass_time(DISTRUST_MS)
        self.pass_time(DISTRUST_MS)
        for node in self.nodes:
            assert node.usable == set(self.store.servers), (
                node.usable,
                self.store.servers,
            )
            assert node.watcher.position == StorePosition(
                self.store.era, self.store.revision
            )
            if self.store.version is not None:
                # A lost version stays in force until it is written again.
                assert node.versions[-1] >= self.store.version

    def _deliver_first(self):
        message, sender = self.messages.pop(0)
        if isinstance(message, StoreNews):
            self.follower.watcher.apply_update(message)
            if self.follower.watcher.try_query_snapshot():
                snapshot = sender.watcher.create_snapshot()
                if snapshot is not None:
                    self.follower.watcher.apply_snapshot(snapshot)
        else:
            self.follower.watcher.apply_snapshot(message)


class RestoreMachineTest(RestoreMachine.TestCase):
    settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

    def setUp(self):
        super().setUp()
        random.seed(1)
