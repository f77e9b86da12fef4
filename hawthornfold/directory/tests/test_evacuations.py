"""Evacuations of data centres, as state machines without a network."""

import itertools
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import logbook
import msgspec

from hawthornfold.directory import EvacuationChange
from hawthornfold.directory import EvacuationList
from hawthornfold.directory import ServerChange
from hawthornfold.directory import StoreChanges
from hawthornfold.directory import StoreNews
from hawthornfold.directory import StorePosition
from hawthornfold.directory import StoreSnapshot
from hawthornfold.directory import create_server_directory
from hawthornfold.directory.evacuations import LIST_REPEAT_MS
from hawthornfold.directory.evacuations import create_evacuations
from hawthornfold.directory.last_resort import LAST_RESORT_MS
from hawthornfold.directory.reader_tracker import ERA_GRACE_MS
from hawthornfold.directory.reader_tracker import ERA_SPREAD_MS
from hawthornfold.directory.reader_tracker import MISSED_UPDATE_GRACE_MS
from hawthornfold.directory.removals import REMOVAL_GRACE_MS
from hawthornfold.directory.tests import test_restore
from hawthornfold.directory.tests.test_restore import create_record
from hawthornfold.directory.updates import limit_update

NAMES = ('dc-a', 'dc-b', 'dc-c')


def write(name, revision=0):
    return EvacuationChange(name, True, revision)


def delete(name, revision=0):
    return EvacuationChange(name, False, revision)


def place(server_id, data_centre, **fields):
    return create_record(server_id, **fields)._replace(data_centre=data_centre)


class SimulatedStore(test_restore.SimulatedStore):
    """A store that also holds evacuations, with their revisions."""

    def __init__(self):
        super().__init__()
        # The evacuations and the change of each revision.
        self.evacuated = {100: frozenset()}
        self.evacuation_changes = {}

    @property
    def evacuations(self):
        return self.evacuated[self.revision]

    def _commit(self, servers, published, change):
        before = self.evacuations
        super()._commit(servers, published, change)
        self.evacuated[self.revision] = before

    def set_evacuated(self, name, is_evacuated):
        before = self.evacuations
        self._commit(self.servers, None, None)
        self.evacuated[self.revision] = (
            before | {name} if is_evacuated else before - {name}
        )
        self.evacuation_changes[self.revision] = EvacuationChange(
            name, is_evacuated, self.revision
        )

    def restore(self, revision):
        super().restore(revision)
        self.evacuation_changes = {
            later: change
            for later, change in self.evacuation_changes.items()
            if later <= self.revision
        }

    def read_all(self, may_be_stale=False):
        return (
            super()
            .read_all(may_be_stale)
            .map(
                lambda changes: changes._replace(
                    evacuations=tuple(map(write, sorted(self.evacuations)))
                )
            )
        )

    def wait_for_changes(self, revision, wait_ms):
        return (
            super()
            .wait_for_changes(revision, wait_ms)
            .map(
                lambda changes: changes._replace(
                    evacuations=tuple(
                        change
                        for later, change in sorted(
                            self.evacuation_changes.items()
                        )
                        if later > revision
                    )
                )
            )
        )


class NodeStub(test_restore.NodeStub):
    @property
    def evacuated(self):
        return self.directory.evacuations.in_force


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.evacuations = create_evacuations(
            REMOVAL_GRACE_MS, self.events.extend
        )

    def read(self, names, revision, era=1, now_ms=0.0):
        self.evacuations.apply_read(
            tuple(map(write, names)), StorePosition(era, revision), now_ms
        )

    def change(self, *changes, revision, era=1):
        self.evacuations.apply_changes(
            changes, StorePosition(era, revision), 0.0
        )

    def assert_in_force(self, *names):
        self.assertEqual(self.evacuations.in_force, frozenset(names))

    def test_several_apply_at_the_same_time_until_deleted(self):
        self.read(['dc-a'], 5)
        self.change(write('dc-b', 6), revision=6)
        self.assert_in_force('dc-a', 'dc-b')
        self.change(delete('dc-a', 7), revision=7)
        self.assert_in_force('dc-b')
        self.assertEqual(
            [(e.data_centre, e.before, e.after) for e in self.events],
            [
                ('dc-a', 'none', 'evacuated'),
                ('dc-b', 'none', 'evacuated'),
                ('dc-a', 'evacuated', 'none'),
            ],
        )

    def test_older_revision_never_undoes_a_newer_one(self):
        # Guards against a late message or a read of a lagging replica that
        # uses an evacuated data centre again.
        self.read([], 5)
        self.change(write('dc-a', 9), revision=9)
        for undo in (
            lambda: self.change(delete('dc-a', 8), revision=8),
            # The position is newer, but the change is not.
            lambda: self.change(delete('dc-a', 8), revision=12),
            lambda: self.change(delete('dc-a', 99), revision=99, era=0),
            lambda: self.read([], 8),
            lambda: self.evacuations.apply_list(EvacuationList(8, 1), 0.0),
            lambda: self.evacuations.apply_list(EvacuationList(99, 0), 0.0),
            lambda: self.evacuations.apply_list(None, 0.0),
        ):
            undo()
            self.assert_in_force('dc-a')
        self.change(delete('dc-a', 13), revision=13)
        self.assert_in_force()
        self.evacuations.apply_list(EvacuationList(12, 1, ('dc-a',)), 0.0)
        self.read(['dc-a'], 12)
        self.assert_in_force()

    def test_complete_read_replaces_them(self):
        # Guards against an evacuation that stays for ever because its
        # deletion is not in the history of the store any more.
        self.read(['dc-a', 'dc-b'], 5)
        self.read(['dc-b', 'dc-c'], 9)
        self.assert_in_force('dc-b', 'dc-c')

    def test_evacuation_that_the_copy_lacks_is_held(self):
        # Guards against requests to an evacuated data centre until the
        # operator has written the lost key again.
        self.read(['dc-a', 'dc-b'], 20)
        self.read(['dc-b'], 11, era=2, now_ms=1_000.0)
        self.evacuations.expire(1_000.0 + REMOVAL_GRACE_MS - 1.0)
        self.assert_in_force('dc-a', 'dc-b')
        self.assertEqual(self.events[-1].after, 'held')
        self.evacuations.expire(1_000.0 + REMOVAL_GRACE_MS)
        self.assert_in_force('dc-b')

    def test_evacuation_that_is_written_again_stays(self):
        # Guards against the end of a hold that ends an evacuation which was
        # written again.
        self.read(['dc-a'], 20)
        self.read([], 11, era=2)
        self.change(write('dc-a', 12), revision=12, era=2)
        self.evacuations.expire(REMOVAL_GRACE_MS + 1.0)
        self.assert_in_force('dc-a')

    def test_evacuation_that_the_copy_still_holds_applies_until_deleted(self):
        # The copy may contradict the operator, but nothing tells so: not to
        # send requests is the safe side.
        self.read(['dc-a'], 20)
        self.change(delete('dc-a', 21), revision=21)
        self.read(['dc-a'], 20, era=2)
        self.evacuations.expire(1e9)
        self.assert_in_force('dc-a')
        self.change(delete('dc-a', 21), revision=21, era=2)
        self.assert_in_force()

    def test_hold_ends_when_the_operator_deletes_the_key(self):
        self.read(['dc-a'], 20)
        self.read([], 11, era=2)
        self.change(write('dc-a', 12), delete('dc-a', 13), revision=13, era=2)
        self.assert_in_force()

    def test_second_restore_extends_the_hold(self):
        self.read(['dc-a'], 20)
        self.read([], 11, era=2, now_ms=0.0)
        self.read([], 10, era=3, now_ms=2_000.0)
        self.evacuations.expire(REMOVAL_GRACE_MS)
        self.assert_in_force('dc-a')
        self.evacuations.expire(2_000.0 + REMOVAL_GRACE_MS)
        self.assert_in_force()

    def test_nothing_ends_with_time_alone(self):
        # Guards against a node that is cut off from the store and uses an
        # evacuated data centre again.
        self.read(['dc-a'], 20)
        self.evacuations.expire(1e12)
        self.assert_in_force('dc-a')

    def test_list_is_sent_only_while_it_says_something(self):
        # Guards against messages that nodes of an older release refuse
        # although there is no evacuation, and against an end of an evacuation
        # that is never sent.
        self.assertIsNone(self.evacuations.create_list(0.0))
        self.read([], 5)
        self.assertIsNone(self.evacuations.create_list(0.0))
        self.assertEqual(
            self.evacuations.create_list(0.0, True), EvacuationList(5, 1)
        )
        self.change(write('dc-a', 6), revision=6)
        found = EvacuationList(6, 1, ('dc-a',))
        self.assertEqual(self.evacuations.create_list(1e12), found)
        self.change(delete('dc-a', 7), revision=7)
        self.assertEqual(
            self.evacuations.create_list(LIST_REPEAT_MS), EvacuationList(7, 1)
        )
        self.assertIsNone(self.evacuations.create_list(LIST_REPEAT_MS + 1.0))


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = create_server_directory()
        self.directory.apply(
            [
                ServerChange(f's{number}', place(f's{number}', name))
                for number, name in enumerate(NAMES)
            ],
            0.0,
        )
        self.revision = itertools.count(1)

    def evacuate(self, *names):
        position = StorePosition(1, next(self.revision))
        self.directory.evacuations.apply_read(
            tuple(map(write, names)), position, 0.0
        )

    def list_available(self, now_ms=0.0):
        return [
            record.server_id
            for record in self.directory.available_servers('portal', now_ms)
        ]

    def test_servers_of_evacuated_data_centres_are_not_available(self):
        self.evacuate('dc-a', 'dc-c')
        self.assertEqual(self.list_available(), ['s1'])
        self.assertFalse(
            self.directory.is_available(self.directory.get('s0'), 0.0)
        )
        self.evacuate()
        self.assertEqual(self.list_available(), ['s0', 's1', 's2'])

    def test_version_rises_with_each_change_only(self):
        # Guards against a placement or division that relies on the servers of
        # before, and against costs per query.
        version = self.directory.version
        before = self.directory.available_servers('portal', 0.0)
        self.evacuate()
        self.assertEqual(self.directory.version, version)
        self.evacuate('dc-a')
        self.assertGreater(self.directory.version, version)
        found = self.directory.available_servers('portal', 0.0)
        self.assertIsNot(found, before)
        self.assertIs(self.directory.available_servers('portal', 9.0), found)

    def test_server_that_is_added_later_is_not_available(self):
        self.evacuate('dc-a')
        self.directory.apply([ServerChange('s9', place('s9', 'dc-a'))], 0.0)
        self.assertNotIn('s9', self.list_available())

    def test_last_resort_has_no_server_of_an_evacuated_data_centre(self):
        # Guards against requests to a leaving server in an evacuated data
        # centre because the service has no other.
        self.directory.apply(
            [
                ServerChange(
                    f's{number}',
                    place(f's{number}', name, is_draining=True),
                )
                for number, name in enumerate(NAMES)
            ],
            0.0,
        )
        self.evacuate('dc-a', 'dc-b')
        self.assertEqual(self.list_available(LAST_RESORT_MS - 1.0), ['s2'])
        self.evacuate(*NAMES)
        self.assertEqual(self.list_available(LAST_RESORT_MS - 1.0), [])


class WatcherTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(logbook.NullHandler().applicationbound())
        self.store = SimulatedStore()
        self.clock = test_restore.create_manual_clock(1_000)
        for number, name in enumerate(NAMES):
            self.store.write_server(place(f's{number}', name))
        self.reader = NodeStub(self.store, self.clock)
        self.follower = NodeStub(self.store, self.clock, is_reader=False)
        for node in (self.reader, self.follower):
            node.read(2)
        self.follower.watcher.apply_update(
            self.reader.watcher.create_heartbeat()
        )

    def send_updates(self):
        for update in self.reader.updates:
            update = limit_update(update, 1, 1e9)
            self.follower.watcher.apply_update(update)
        self.reader.updates.clear()

    def evacuate(self, name, is_evacuated=True):
        self.store.set_evacuated(name, is_evacuated)
        self.reader.read()

    def test_reader_and_follower_learn_of_start_and_end(self):
        reads = self.store.reads
        for is_evacuated in (True, False):
            self.evacuate('dc-a', is_evacuated)
            self.send_updates()
            for node in (self.reader, self.follower):
                self.assertEqual('dc-a' in node.evacuated, is_evacuated)
                self.assertEqual('s0' not in node.usable, is_evacuated)
        self.assertEqual(self.store.reads, reads + 2)

    def test_node_without_the_store_keeps_them(self):
        # Guards against an evacuation that ends because the store is down.
        self.evacuate('dc-a')
        self.send_updates()
        self.store.is_down = True
        for node in (self.reader, self.follower):
            node.read(20)
            self.clock.advance(600_000)
            node.expire()
            self.assertEqual(node.usable, {'s1', 's2'})

    def test_node_that_starts_reads_them(self):
        self.evacuate('dc-a')
        node = NodeStub(self.store, self.clock)
        node.read()
        self.assertEqual(node.usable, {'s1', 's2'})

    def test_heartbeat_tells_a_follower_that_missed_the_news(self):
        # Guards against a lost message after which a follower sends requests
        # to an evacuated data centre until it has read the store itself.
        self.evacuate('dc-a')
        self.reader.updates.clear()
        reads = self.store.reads
        self.follower.watcher.apply_update(
            self.reader.watcher.create_heartbeat()
        )
        self.assertEqual(self.follower.evacuated, {'dc-a'})
        self.assertEqual(self.store.reads, reads)

    def test_news_without_changes_of_evacuations_change_none(self):
        # A reader of an older release sends these.
        self.evacuate('dc-a')
        self.send_updates()
        change = ServerChange('s9', place('s9', 'dc-b'), 105)
        self.follower.watcher.apply_update(
            StoreNews(104, 105, (change,), era=1)
        )
        self.assertEqual(self.follower.usable, {'s1', 's2', 's9'})
        self.assertEqual(self.follower.evacuated, {'dc-a'})

    def test_news_that_are_too_large_still_list_evacuations(self):
        # Guards against an evacuation that waits for thousands of followers
        # to read the store because servers changed at the same time.
        for number in range(90):
            self.store.write_server(place(f'n{number}', 'dc-b'))
        self.evacuate('dc-a')
        (update,) = self.reader.updates
        limited = limit_update(update, 20, 7.0)
        self.assertEqual(limited.servers, ())
        self.follower.watcher.apply_update(limited)
        self.assertEqual(self.follower.evacuated, {'dc-a'})

    def test_end_that_was_missed_is_read_or_in_a_snapshot(self):
        # Guards against an evacuation that a follower keeps for ever because
        # it missed the end, and a message without evacuations moves its
        # position past it.
        self.evacuate('dc-a')
        self.send_updates()
        self.evacuate('dc-a', False)
        self.reader.updates.clear()
        silent = self.reader.watcher.create_snapshot()._replace(
            evacuations=None
        )
        self.follower.watcher.apply_snapshot(silent)
        self.assertLess(self.follower.watcher.position, silent.position)
        self.assertTrue(self.follower.watcher.has_evacuations)
        self.clock.advance(LIST_REPEAT_MS + 1.0)
        # A reader passes on only what it has confirmed recently.
        self.reader.read(1)
        self.follower.watcher.apply_snapshot(
            self.reader.watcher.create_snapshot(needs_evacuations=True)
        )
        self.assertEqual(self.follower.evacuated, frozenset())
        self.assertEqual(
            self.follower.watcher.position, self.reader.watcher.position
        )

    def test_restore_is_survived_by_reader_and_follower(self):
        # Guards against requests to an evacuated data centre after the store
        # returned from a copy without the key.
        self.evacuate('dc-a')
        self.send_updates()
        self.store.restore(self.store.revision - 1)
        self.reader.read(2)
        self.send_updates()
        self.assertTrue(self.follower.watcher.try_query_snapshot())
        self.follower.watcher.apply_snapshot(
            self.reader.watcher.create_snapshot(
                True, self.follower.watcher.has_evacuations
            )
        )
        self.assertEqual(self.follower.watcher.position.era, 2)
        for node in (self.reader, self.follower):
            self.assertEqual(node.usable, {'s1', 's2'})
        self.clock.advance(REMOVAL_GRACE_MS)
        for node in (self.reader, self.follower):
            node.expire()
            self.assertEqual(node.usable, {'s0', 's1', 's2'})

    def test_messages_survive_the_wire_and_are_as_before_without_any(self):
        # Guards against nodes of an older release that refuse messages.
        self.assertIsNone(self.reader.watcher.create_heartbeat().evacuations)
        self.assertIsNone(self.reader.watcher.create_snapshot().evacuations)
        self.evacuate('dc-a')
        for body, kind in (
            (self.reader.updates[0], StoreNews),
            (self.reader.watcher.create_heartbeat(), StoreNews),
            (self.reader.watcher.create_snapshot(), StoreSnapshot),
        ):
            sent = msgspec.msgpack.encode(body)
            found = msgspec.msgpack.decode(sent, type=kind)
            self.assertEqual(
                found.evacuations, EvacuationList(104, 1, ('dc-a',))
            )

    def test_changes_without_evacuations_change_none(self):
        # A store without evacuations, and snapshots of an older release.
        self.evacuate('dc-a')
        view = self.reader.watcher._view
        view.apply_changes(StoreChanges(105, era=1), 0.0)
        view.apply_complete(StoreChanges(106, era=1), 0.0)
        self.assertEqual(self.reader.evacuated, {'dc-a'})


class EvacuationMachine(stateful.RuleBasedStateMachine):
    """A store, two readers and a follower, with restores, loss and delay.

    After quiet time every node has the evacuations of the store. A node that
    knows of an evacuation of the store's era gives it up only for a newer
    position.
    """

    def __init__(self):
        super().__init__()
        self.log_handler = logbook.NullHandler()
        self.log_handler.push_application()
        self.store = SimulatedStore()
        self.clock = test_restore.create_manual_clock(1_000)
        self.readers = [NodeStub(self.store, self.clock) for _ in range(2)]
        self.follower = NodeStub(self.store, self.clock, is_reader=False)
        self.messages = []
        self.positions = {}
        for number, name in enumerate(NAMES):
            self.store.write_server(place(f's{number}', name))

    def teardown(self):
        self.log_handler.pop_application()

    @property
    def nodes(self):
        return [*self.readers, self.follower]

    @stateful.rule(
        name=strategies.sampled_from(NAMES), is_evacuated=strategies.booleans()
    )
    def set_evacuated(self, name, is_evacuated):
        self.store.set_evacuated(name, is_evacuated)

    @stateful.rule()
    def write_server(self):
        self.store.write_server(place('s0', NAMES[0]))

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

    @stateful.rule(data=strategies.data(), is_lost=strategies.booleans())
    def deliver(self, data, is_lost):
        if self.messages:
            index = data.draw(strategies.integers(0, len(self.messages) - 1))
            message, sender = self.messages.pop(index)
            if not is_lost:
                self.handle(message, sender)

    def handle(self, message, sender):
        watcher = self.follower.watcher
        if isinstance(message, StoreSnapshot):
            watcher.apply_snapshot(message)
            return
        watcher.apply_update(message)
        if watcher.try_query_snapshot():
            snapshot = sender.watcher.create_snapshot(
                True, watcher.has_evacuations
            )
            if snapshot is not None:
                self.messages.append((snapshot, sender))

    @stateful.rule(duration_ms=strategies.sampled_from((50, 400, 70_000)))
    def pass_time(self, duration_ms):
        self.clock.advance(duration_ms)
        for node in self.nodes:
            node.expire()

    @stateful.rule()
    def restart_follower(self):
        self.follower = NodeStub(self.store, self.clock, is_reader=False)

    @stateful.invariant()
    def positions_never_go_back(self):
        for node in self.nodes:
            position = node.directory.evacuations.position
            before = self.positions.get(id(node), (None, position))[1]
            self.positions[id(node)] = (node, position)
            if before is not None:
                assert position >= before, (before, position)

    @stateful.invariant()
    def no_server_of_an_evacuated_data_centre_is_usable(self):
        for node in self.nodes:
            listed = node.directory.evacuations.create_list(0.0, True)
            if listed is None:
                continue
            if listed.position == StorePosition(
                self.store.era, self.store.revision
            ):
                assert node.evacuated >= self.store.evacuations
            for server_id in node.usable:
                record = node.directory.get(server_id)
                assert record.data_centre not in node.evacuated

    @stateful.rule()
    def every_node_holds_what_the_store_holds_after_quiet_time(self):
        self.store.is_down = False
        self.messages.clear()
        step_ms = max(MISSED_UPDATE_GRACE_MS, 0.1 * ERA_GRACE_MS)
        rounds = 2 * int((ERA_GRACE_MS + ERA_SPREAD_MS) / step_ms) + 20
        for _ in range(rounds):
            for number in (0, 1):
                self.read(number)
                self.send_heartbeat(number)
            while self.messages:
                self.handle(*self.messages.pop(0))
            self.follow()
            self.pass_time(step_ms)
        for node in self.nodes:
            assert node.evacuated == self.store.evacuations, (
                node.evacuated,
                self.store.evacuations,
                node.watcher.position,
            )


class EvacuationMachineTest(EvacuationMachine.TestCase):
    settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
