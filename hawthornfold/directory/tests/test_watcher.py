import unittest

import eventlet
import logbook
import result

from hawthornfold.clock import create_manual_clock
from hawthornfold.directory import CallerLimits
from hawthornfold.directory import ItemFailure
from hawthornfold.directory import PublishedStore
from hawthornfold.directory import ReadFailure
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory import StoreChanges
from hawthornfold.directory import StoreNews
from hawthornfold.directory import StorePosition
from hawthornfold.directory import create_server_directory
from hawthornfold.directory import create_store_watcher
from hawthornfold.directory.reachability import MAX_CUT_MS
from hawthornfold.directory.read_intervals import LONG_POLL_MS
from hawthornfold.directory.reader_tracker import MISSED_UPDATE_GRACE_MS
from hawthornfold.directory.reader_tracker import READER_TIMEOUT_MS
from hawthornfold.directory.reader_tracker import SNAPSHOT_QUERY_INTERVAL_MS
from hawthornfold.directory.removals import MAX_OUTAGES
from hawthornfold.directory.removals import REMOVAL_GRACE_MS
from hawthornfold.directory.watcher import FOLLOWER_CHECK_MS
from hawthornfold.directory.watcher import REVISION_GRACE_MS
from hawthornfold.metrics import create_metrics
from hawthornfold.peers import codec
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

RECORD = ServerRecord('s1', 'portal', '127.0.0.1:80', 'dc-a', 2)
WRITTEN = ServerChange('s1', RECORD)
REMOVED = ServerChange('s1', None)


RULE = Rule(
    'search',
    When(path='/a/*', headers={'host': 'a.example'}),
    Then(gather=Gather(('shard-1', 'shard-2'), 20), idempotent=True),
)


def configuration(version):
    document = RulesDocument((RULE,))
    return RoutingConfiguration(
        version,
        compile_document(document, version),
        {'shard-1': ServiceRecord('shard-1', '/health', 26)},
        CallerLimits(8_192, 65_536, 5_000.0, 30_000.0),
        document,
    )


class ScriptedStore(PublishedStore):
    """Returns scripted replies and records the requests."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.requests = []
        self.stale = []
        self.waits = []

    def read_all(self, may_be_stale=False):
        self.requests.append('all')
        self.stale.append(may_be_stale)
        return self.replies.pop(0)

    def wait_for_changes(self, revision, wait_ms):
        self.requests.append(revision)
        self.waits.append(wait_ms)
        return self.replies.pop(0)


class WatcherTestCase(unittest.TestCase):
    def watch(self, *replies):
        self.clock = create_manual_clock(1_000)
        self.store = ScriptedStore(replies)
        self.directory = create_server_directory()
        self.metrics = create_metrics()
        self.events, self.versions, self.updates = [], [], []
        self.configurations = []
        self.watcher = create_store_watcher(
            self.store,
            self.directory,
            self.clock,
            self.metrics,
            self.events.extend,
            self.record_configuration,
            self.updates.append,
        )
        self.watcher.set_reader(True)
        with logbook.NullHandler().applicationbound():
            return [self.watcher.read_once() for _ in replies]

    def record_configuration(self, configuration):
        self.configurations.append(configuration)
        self.versions.append(configuration.version)


class FirstReadTest(WatcherTestCase):
    """The first read may be seconds old."""

    def test_node_is_not_loaded_before_it_has_read_the_changes_since(self):
        # Guards against a node that serves with servers and rules that were
        # withdrawn before it started.
        self.watch(result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))))
        self.assertFalse(self.watcher.is_loaded)
        self.assertIsNone(self.watcher.create_heartbeat())
        self.assertIsNone(self.watcher.create_snapshot())
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))),
            result.Ok(StoreChanges(12, (REMOVED,), configuration(4))),
        )
        self.assertTrue(self.watcher.is_loaded)
        self.assertEqual(self.versions, [4])
        self.assertEqual(self.store.stale, [True])
        self.assertEqual(self.store.waits, [0.0])

    def test_update_of_a_reader_replaces_the_second_read(self):
        self.watch(result.Ok(StoreChanges(10)))
        self.watcher.apply_update(StoreNews(9, 12, (WRITTEN,)))
        self.assertTrue(self.watcher.is_loaded)

    def test_later_complete_reads_are_current(self):
        # Guards against changes that are lost again after the history was
        # lost.
        self.watch(
            result.Ok(StoreChanges(10)),
            result.Err(ReadFailure('status 410', is_history_lost=True)),
            result.Ok(StoreChanges(90)),
        )
        self.assertEqual(self.store.stale, [True, False])
        self.assertTrue(self.watcher.is_loaded)


class StoreReadingTest(WatcherTestCase):
    def test_reads_request_changes_after_the_own_revision(self):
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))),
            result.Ok(StoreChanges(12, (REMOVED,))),
            result.Ok(StoreChanges(12)),
        )
        self.assertEqual(self.store.requests, ['all', 10, 12])
        self.assertEqual([e.kind for e in self.events], ['added', 'removed'])
        self.assertEqual(self.versions, [3])

    def test_configuration_never_reverts(self):
        # Guards against a reply from a lagging replica of the store.
        self.watch(
            result.Ok(StoreChanges(10, (), configuration(5))),
            result.Ok(StoreChanges(9, (), configuration(4))),
            result.Ok(StoreChanges(11, (), configuration(5))),
        )
        self.assertEqual(self.versions, [5])
        self.assertEqual(self.store.requests, ['all', 10, 10])

    def test_lost_history_causes_an_immediate_full_read(self):
        # Guards against changes lost when the store has compacted its history.
        delays = self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('status 410', is_history_lost=True)),
            result.Ok(StoreChanges(90)),
            result.Ok(StoreChanges(90)),
        )
        self.assertEqual(delays, [0.0] * 4)
        self.assertEqual(self.store.requests, ['all', 10, 'all', 90])
        self.assertEqual([e.kind for e in self.events], ['added', 'removed'])

    def test_refused_items_are_counted(self):
        # Guards against an invalid item that is ignored silently.
        failure = ItemFailure('servers/x', 'not JSON')
        self.watch(result.Ok(StoreChanges(10, (WRITTEN,), None, (failure,))))
        self.assertEqual(self.metrics.value('store_items_refused'), 1)
        self.assertEqual([e.kind for e in self.events], ['added'])


class FollowerTest(WatcherTestCase):
    """A node that receives updates from its readers."""

    def follow(self, first, *later):
        """Read `first` as a reader; queue `later` and become a follower.

        The node has read the changes since then, of which there were none.
        """
        if first.is_ok():
            first = (first, result.Ok(StoreChanges(first.ok_value.revision)))
        else:
            first = (first,)
        self.watch(*first)
        self.store.replies.extend(later)
        self.watcher.set_reader(False)

    def read_once(self):
        with logbook.NullHandler().applicationbound():
            return self.watcher.read_once()

    def test_followers_receive_everything_that_a_reader_reads(self):
        # Guards against fields lost in the messages between nodes.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))),
            result.Ok(
                StoreChanges(
                    12,
                    (ServerChange('s2', RECORD._replace(server_id='s2'), 11),),
                    configuration(4),
                )
            ),
        )
        sender = codec.Sender('reader', 1, '127.0.0.1:1')
        encoder = codec.FrameEncoder('gateway', sender)
        decoder = codec.FrameDecoder('gateway')
        decoder.register(StoreNews)
        _, update = decoder.decode(encoder.encode(self.updates[0]))
        self.follow(result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))))
        self.watcher.apply_update(update)
        self.assertEqual(self.watcher.position.revision, 12)
        self.assertEqual(self.versions, [3, 4])
        found, sent = self.configurations[-1], configuration(4)
        self.assertEqual(found._replace(rules=None), sent._replace(rules=None))
        self.assertEqual(
            [rule.decision for rule in found.rules.rules],
            [rule.decision for rule in sent.rules.rules],
        )
        self.assertEqual([e.kind for e in self.events], ['added', 'added'])

    def test_node_with_readers_does_not_read(self):
        # Guards against a number of reads that grows with the fleet.
        self.follow(result.Ok(StoreChanges(10)))
        self.watcher.apply_update(StoreNews(10, 10))
        self.assertEqual(self.read_once(), FOLLOWER_CHECK_MS)
        self.assertEqual(self.store.requests, ['all', 10])

    def test_node_reads_itself_when_its_readers_are_lost(self):
        # Guards against a node that gets no changes after its readers
        # crashed.
        self.follow(
            result.Ok(StoreChanges(10)),
            result.Ok(StoreChanges(11, (WRITTEN,))),
        )
        self.watcher.apply_update(StoreNews(10, 10))
        self.clock.advance(READER_TIMEOUT_MS)
        self.read_once()
        self.assertEqual(self.store.requests, ['all', 10, 10])

    def test_node_that_has_just_started_waits_for_its_readers(self):
        # Guards against every node reading every change while a fleet starts.
        self.follow(result.Ok(StoreChanges(10)), result.Ok(StoreChanges(11)))
        self.assertEqual(self.read_once(), FOLLOWER_CHECK_MS)
        self.clock.advance(READER_TIMEOUT_MS)
        self.read_once()
        self.assertEqual(self.store.requests, ['all', 10, 10])

    def test_missed_update_is_read_from_the_store(self):
        # Guards against a change lost because one message was lost.
        self.follow(
            result.Ok(StoreChanges(10)),
            result.Ok(StoreChanges(14, (WRITTEN,))),
        )
        self.watcher.apply_update(StoreNews(12, 14, (REMOVED,)))
        self.assertEqual(self.read_once(), FOLLOWER_CHECK_MS)
        self.clock.advance(MISSED_UPDATE_GRACE_MS)
        self.read_once()
        self.assertEqual(self.store.requests, ['all', 10, 10])
        self.assertEqual(self.watcher.position.revision, 14)

    def test_overlapping_updates_do_not_revert_records(self):
        # Guards against an older record replacing a newer one when two
        # readers group the changes differently.
        leaving = RECORD._replace(is_draining=True)
        self.follow(result.Ok(StoreChanges(10)))
        ready = ServerChange('s1', RECORD, 11)
        draining = ServerChange('s1', leaving, 12)
        self.watcher.apply_update(StoreNews(10, 12, (ready, draining)))
        gone = ServerChange('s2', None, 13)
        self.watcher.apply_update(StoreNews(10, 13, (ready, gone)))
        self.assertEqual([e.kind for e in self.events], ['added', 'draining'])
        self.assertEqual(self.watcher.position.revision, 13)

    def test_outage_seen_by_the_reader_defers_removals(self):
        # Guards against removal of live servers whose records expired during
        # the outage.
        self.follow(result.Ok(StoreChanges(10, (WRITTEN,))))
        removal = ServerChange('s1', None, 11)
        with logbook.TestHandler().applicationbound() as log:
            self.watcher.apply_update(
                StoreNews(10, 11, (removal,), None, 50.0)
            )
        self.assertEqual([e.kind for e in self.events], ['added'])
        # Guards against a belief that changes without a log line.
        (line,) = [r.message for r in log.records if 'deferred' in r.message]
        self.assertIn('count=1 servers=s1', line)

    def test_reader_without_the_store_sends_no_heartbeat(self):
        # Guards against followers that rely on a reader that cannot reach the
        # store.
        current = (result.Ok(StoreChanges(10)), result.Ok(StoreChanges(10)))
        self.watch(*current)
        self.assertEqual(self.watcher.create_heartbeat(), StoreNews(10, 10))
        self.watch(*current, result.Err(ReadFailure('refused')))
        self.assertIsNone(self.watcher.create_heartbeat())

    def test_node_that_the_store_refuses_gets_a_snapshot_from_a_reader(self):
        # Guards against a node that keeps an old configuration, and so cannot
        # serve callers or delegated queries, while the store answers other
        # nodes.
        self.watch(
            result.Ok(StoreChanges(20, (WRITTEN,), configuration(4))),
            result.Ok(StoreChanges(20)),
        )
        snapshot = self.watcher.create_snapshot()
        self.follow(result.Err(ReadFailure('status 503')))
        self.assertFalse(self.watcher.try_query_snapshot())
        self.watcher.apply_update(StoreNews(20, 20))
        self.assertTrue(self.watcher.try_query_snapshot())
        self.assertFalse(self.watcher.try_query_snapshot())
        self.watcher.apply_snapshot(snapshot)
        self.assertEqual(self.watcher.position.revision, 20)
        self.assertEqual(self.versions, [4])
        self.assertEqual([e.kind for e in self.events], ['added'])
        self.assertTrue(self.watcher.is_loaded)
        self.clock.advance(SNAPSHOT_QUERY_INTERVAL_MS)
        self.assertFalse(self.watcher.try_query_snapshot())

    def test_older_snapshot_changes_nothing(self):
        # Guards against servers and configuration that revert.
        self.watch(result.Ok(StoreChanges(10)), result.Ok(StoreChanges(10)))
        snapshot = self.watcher.create_snapshot()
        self.follow(result.Ok(StoreChanges(20, (WRITTEN,), configuration(4))))
        self.watcher.apply_snapshot(snapshot)
        self.assertEqual(self.watcher.position.revision, 20)
        self.assertEqual([e.kind for e in self.events], ['added'])

    def test_snapshot_omits_servers_whose_removal_is_deferred(self):
        # Guards against servers that a node keeps forever because it never
        # receives their removal.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('refused')),
            result.Ok(StoreChanges(20, (REMOVED,))),
        )
        self.assertEqual(self.watcher.create_snapshot().servers, ())

    def test_heartbeat_contains_revisions_that_the_reader_has_not_read(self):
        # Guards against followers that miss a change because their reader's
        # long poll hangs.
        self.watch(result.Ok(StoreChanges(10)), result.Ok(StoreChanges(10)))
        self.watcher.handle_position(StorePosition(0, 15))
        self.assertEqual(self.watcher.create_heartbeat().revision, 15)


class BlockedStore(PublishedStore):
    """Answers `read_all` at once and never answers a long poll."""

    def __init__(self, revision):
        self.revision = revision
        self.waits = []

    def read_all(self, may_be_stale=False):
        return result.Ok(StoreChanges(self.revision))

    def wait_for_changes(self, revision, wait_ms):
        if not wait_ms:
            return result.Ok(StoreChanges(self.revision))
        self.waits.append((revision, wait_ms))
        return eventlet.sleep(3_600)


class RevisionReportTest(unittest.TestCase):
    def start(self, count=1):
        self.store = BlockedStore(10)
        self.clock = create_manual_clock(1_000)
        self.watcher = create_store_watcher(
            self.store,
            create_server_directory(),
            self.clock,
            create_metrics(),
            list,
            list,
        )
        self.watcher.set_reader(True)
        self.watcher.set_reader_count(count)
        thread = eventlet.spawn(self.watcher.run)
        self.addCleanup(thread.kill)
        while not self.store.waits:
            eventlet.sleep(0)

    def test_long_poll_that_missed_a_revision_is_cancelled(self):
        # Guards against a long poll whose connection was lost without a
        # reset.
        self.start()
        self.clock.advance(REVISION_GRACE_MS + 1)
        self.watcher.handle_position(StorePosition(0, 11))
        for _ in range(5):
            eventlet.sleep(0)
        self.assertEqual([wait[0] for wait in self.store.waits], [10, 10])

    def test_applied_revisions_and_recent_long_polls_cancel_nothing(self):
        # Guards against reads repeated for each change.
        self.start()
        self.watcher.handle_position(StorePosition(0, 11))
        self.clock.advance(REVISION_GRACE_MS + 1)
        self.watcher.handle_position(StorePosition(0, 10))
        for _ in range(5):
            eventlet.sleep(0)
        self.assertEqual(len(self.store.waits), 1)

    def test_larger_fleets_use_longer_polls(self):
        # Guards against a number of reads that grows with the fleet.
        self.start(count=20)
        self.assertEqual(self.store.waits[0][1], 2 * LONG_POLL_MS)


class OutageTest(WatcherTestCase):
    def test_servers_are_kept_after_an_outage(self):
        # Guards against removal of servers whose records expired while the
        # store was unavailable.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('refused')),
            result.Ok(StoreChanges(20, (REMOVED,))),
        )
        now_ms = self.clock.now_ms()
        self.assertEqual(
            len(self.directory.available_servers('portal', now_ms)), 1
        )
        self.directory.expire_removals(now_ms + REMOVAL_GRACE_MS)
        late_ms = now_ms + REMOVAL_GRACE_MS + 2_000.0
        self.assertEqual(
            self.directory.available_servers('portal', late_ms), ()
        )

    def count_available(self):
        """Return the number of servers, without those of the last resort."""
        self.directory.expire_removals(self.clock.now_ms())
        return len(self.directory.records)

    def test_cut_or_refused_calls_do_not_defer_removals(self):
        # Guards against requests to a server for as long as the store cuts
        # each long poll, or refuses calls above its rate.
        for failure in (
            ReadFailure('reset', is_cut=True),
            ReadFailure('status 429', is_rate_limited=True),
        ):
            with self.subTest(failure):
                self.watch(
                    result.Ok(StoreChanges(10, (WRITTEN,))),
                    result.Err(failure),
                    result.Ok(StoreChanges(20, (REMOVED,))),
                )
                self.assertEqual(self.count_available(), 0)

    def test_cut_before_a_long_silence_defers_removals(self):
        # Guards against removal of servers whose records expired in an outage
        # that began with the cut of a long poll.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('reset', is_cut=True)),
        )
        self.store.replies.append(result.Ok(StoreChanges(20, (REMOVED,))))
        self.clock.advance(MAX_CUT_MS + 1.0)
        self.watcher.read_once()
        self.assertEqual(self.count_available(), 1)
        self.clock.advance(REMOVAL_GRACE_MS)
        self.assertEqual(self.count_available(), 0)

    def test_long_polls_that_are_cut_at_once_are_repeated_with_a_delay(self):
        # Guards against a node that uses up the rate of the store.
        cut = result.Err(ReadFailure('reset', is_cut=True))
        delays = self.watch(result.Ok(StoreChanges(10)), cut, cut)
        self.assertEqual([x > 0.0 for x in delays], [False, True, True])
        self.assertEqual(self.store.waits, [0.0, 0.0])

    def test_repeated_outages_do_not_defer_a_removal_for_ever(self):
        # Guards against requests to a server that has left, for as long as
        # the store fails again and again, here every 1.4 s.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('status 503')),
            result.Ok(StoreChanges(20, (REMOVED,))),
        )
        outages = 1
        while self.count_available():
            self.clock.advance(1_000.0)
            self.store.replies += [
                result.Err(ReadFailure('status 503')),
                result.Ok(StoreChanges(20)),
            ]
            outages += 1
            self.watcher.read_once()
            self.clock.advance(400.0)
            self.watcher.read_once()
            self.assertLessEqual(outages, MAX_OUTAGES + 2)
        self.assertGreater(outages, MAX_OUTAGES)

    def test_removal_is_deferred_until_a_long_outage_has_ended(self):
        # Guards against removal of live servers in an outage that begins soon
        # after another one, however often its reads fail.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('status 503')),
            result.Ok(StoreChanges(20, (REMOVED,))),
        )
        for _ in range(20):
            self.store.replies.append(result.Err(ReadFailure('refused')))
            self.clock.advance(400.0)
            self.watcher.read_once()
            self.assertEqual(self.count_available(), 1)

    def test_outages_that_readers_report_do_not_defer_a_removal_for_ever(self):
        # As above, at a node that relies on its readers. At the shorter
        # interval several readers report outages of their own.
        for interval_ms in (1_400.0, 200.0):
            with self.subTest(interval_ms):
                self.watch(result.Ok(StoreChanges(10, (WRITTEN,))))
                self.directory.record_outage(self.clock.now_ms())
                self.directory.record_return()
                self.directory.apply([REMOVED], self.clock.now_ms())
                started_ms = self.clock.now_ms()
                while self.count_available():
                    self.clock.advance(interval_ms)
                    self.watcher.apply_update(
                        StoreNews(10, 10, outage_age_ms=100.0)
                    )
                    self.assertLess(
                        self.clock.now_ms() - started_ms,
                        (MAX_OUTAGES + 2) * REMOVAL_GRACE_MS,
                    )

    def test_messages_about_one_outage_count_once(self):
        # Guards against removal of live servers at a node that relies on its
        # readers, because each of their messages counts as an outage.
        self.watch(result.Ok(StoreChanges(10, (WRITTEN,))))
        news = StoreNews(10, 10, outage_age_ms=0.0)
        self.watcher.apply_update(news)
        self.directory.apply([REMOVED], self.clock.now_ms())
        for age_ms in range(100, 1_000, 100):
            self.clock.advance(100.0)
            # The message took up to 9 ms longer than the first one.
            age_ms -= age_ms / 100.0
            self.watcher.apply_update(news._replace(outage_age_ms=age_ms))
        self.clock.advance(1_000.0)
        self.watcher.apply_update(news)
        self.clock.advance(REMOVAL_GRACE_MS - 1.0)
        self.assertEqual(self.count_available(), 1)
        self.clock.advance(1.0)
        self.assertEqual(self.count_available(), 0)

    def test_failed_reads_are_followed_by_a_delay(self):
        # Guards against a node that overloads a failing store with retries.
        delays = self.watch(
            result.Err(ReadFailure('refused')),
            result.Ok(StoreChanges(10)),
            result.Err(ReadFailure('silent')),
        )
        self.assertEqual(
            [delay > 0.0 for delay in delays], [True, False, True]
        )

    def test_age_grows_while_the_store_is_unavailable(self):
        # Guards against stale data that is reported as current.
        self.watch(
            result.Ok(StoreChanges(10)), result.Err(ReadFailure('silent'))
        )
        self.clock.advance(700)
        self.assertEqual(self.watcher.age_ms(self.clock.now_ms()), 700.0)
