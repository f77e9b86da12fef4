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
from hawthornfold.directory import create_server_directory
from hawthornfold.directory import create_store_watcher
from hawthornfold.directory.directory import LAPSE_GRACE_MS
from hawthornfold.directory.following import GAP_GRACE_MS
from hawthornfold.directory.following import SILENCE_MS
from hawthornfold.directory.following import SNAPSHOT_MS
from hawthornfold.directory.watcher import FOLLOW_MS
from hawthornfold.directory.watcher import HINT_GRACE_MS
from hawthornfold.directory.watcher import WAIT_MS
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
    """Gives the replies of a list and notes what was asked."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.asked = []

    def read_all(self):
        self.asked.append('all')
        return self.replies.pop(0)

    def wait_for_changes(self, revision, wait_ms):
        self.asked.append(revision)
        return self.replies.pop(0)


class WatcherTestCase(unittest.TestCase):
    def watch(self, *replies):
        self.clock = create_manual_clock(1_000)
        self.store = ScriptedStore(replies)
        self.directory = create_server_directory()
        self.metrics = create_metrics()
        self.events, self.versions, self.news = [], [], []
        self.configurations = []
        self.watcher = create_store_watcher(
            self.store,
            self.directory,
            self.clock,
            self.metrics,
            self.events.extend,
            self.take_configuration,
            self.news.append,
        )
        self.watcher.set_reader(True)
        with logbook.NullHandler().applicationbound():
            return [self.watcher.step() for _ in replies]

    def take_configuration(self, configuration):
        self.configurations.append(configuration)
        self.versions.append(configuration.version)


class FollowingTest(WatcherTestCase):
    def test_changes_are_asked_for_from_the_revision_that_is_known(self):
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))),
            result.Ok(StoreChanges(12, (REMOVED,))),
            result.Ok(StoreChanges(12)),
        )
        self.assertEqual(self.store.asked, ['all', 10, 12])
        self.assertEqual([e.kind for e in self.events], ['added', 'removed'])
        self.assertEqual(self.versions, [3])

    def test_configuration_never_reverts(self):
        # Guards against a reply from a replica that lags.
        self.watch(
            result.Ok(StoreChanges(10, (), configuration(5))),
            result.Ok(StoreChanges(9, (), configuration(4))),
            result.Ok(StoreChanges(11, (), configuration(5))),
        )
        self.assertEqual(self.versions, [5])
        self.assertEqual(self.store.asked, ['all', 10, 10])

    def test_lost_history_is_read_anew_at_once(self):
        # Guards against changes that are missed after a compaction.
        pauses = self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('status 410', is_history_lost=True)),
            result.Ok(StoreChanges(90)),
            result.Ok(StoreChanges(90)),
        )
        self.assertEqual(pauses, [0.0] * 4)
        self.assertEqual(self.store.asked, ['all', 10, 'all', 90])
        self.assertEqual([e.kind for e in self.events], ['added', 'removed'])

    def test_refused_items_are_counted(self):
        # Guards against an item that is swallowed without a trace.
        failure = ItemFailure('servers/x', 'not JSON')
        self.watch(result.Ok(StoreChanges(10, (WRITTEN,), None, (failure,))))
        self.assertEqual(self.metrics.value('store_items_refused'), 1)
        self.assertEqual([e.kind for e in self.events], ['added'])


class NewsTest(WatcherTestCase):
    """A node that gets changes from its readers."""

    def follow(self, first, *later):
        """Read once; later reads get the other replies."""
        self.watch(first)
        self.store.replies.extend(later)
        self.watcher.set_reader(False)

    def step(self):
        with logbook.NullHandler().applicationbound():
            return self.watcher.step()

    def test_what_a_reader_reads_is_what_its_followers_know(self):
        # Guards against fields that are lost on the way between nodes.
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
        _, news = decoder.decode(encoder.encode(self.news[0]))
        self.follow(result.Ok(StoreChanges(10, (WRITTEN,), configuration(3))))
        self.watcher.take(news)
        self.assertEqual(self.watcher.revision, 12)
        self.assertEqual(self.versions, [3, 4])
        found, sent = self.configurations[-1], configuration(4)
        self.assertEqual(found._replace(rules=None), sent._replace(rules=None))
        self.assertEqual(
            [rule.decision for rule in found.rules.rules],
            [rule.decision for rule in sent.rules.rules],
        )
        self.assertEqual([e.kind for e in self.events], ['added', 'added'])

    def test_node_with_readers_does_not_read(self):
        # Guards against reads that grow with the fleet.
        self.follow(result.Ok(StoreChanges(10)))
        self.watcher.take(StoreNews(10, 10))
        self.assertEqual(self.step(), FOLLOW_MS)
        self.assertEqual(self.store.asked, ['all'])

    def test_silent_readers_are_replaced_by_own_reads(self):
        # Guards against a node that knows nothing new after its readers died.
        self.follow(
            result.Ok(StoreChanges(10)),
            result.Ok(StoreChanges(11, (WRITTEN,))),
        )
        self.watcher.take(StoreNews(10, 10))
        self.clock.advance(SILENCE_MS)
        self.step()
        self.assertEqual(self.store.asked, ['all', 10])

    def test_node_that_has_just_started_waits_for_its_readers(self):
        # Guards against reads of each change by each node while all start.
        self.follow(result.Ok(StoreChanges(10)), result.Ok(StoreChanges(11)))
        self.assertEqual(self.step(), FOLLOW_MS)
        self.clock.advance(SILENCE_MS)
        self.step()
        self.assertEqual(self.store.asked, ['all', 10])

    def test_missed_news_is_read(self):
        # Guards against a change that is lost with one message.
        self.follow(
            result.Ok(StoreChanges(10)),
            result.Ok(StoreChanges(14, (WRITTEN,))),
        )
        self.watcher.take(StoreNews(12, 14, (REMOVED,)))
        self.assertEqual(self.step(), FOLLOW_MS)
        self.clock.advance(GAP_GRACE_MS)
        self.step()
        self.assertEqual(self.store.asked, ['all', 10])
        self.assertEqual(self.watcher.revision, 14)

    def test_overlapping_news_does_not_go_back(self):
        # Guards against an older record that replaces a newer one when two
        # readers have grouped the changes in different ways.
        leaving = RECORD._replace(is_draining=True)
        self.follow(result.Ok(StoreChanges(10)))
        ready = ServerChange('s1', RECORD, 11)
        draining = ServerChange('s1', leaving, 12)
        self.watcher.take(StoreNews(10, 12, (ready, draining)))
        gone = ServerChange('s2', None, 13)
        self.watcher.take(StoreNews(10, 13, (ready, gone)))
        self.assertEqual([e.kind for e in self.events], ['added', 'draining'])
        self.assertEqual(self.watcher.revision, 13)

    def test_outage_of_the_reader_protects_lapsed_records(self):
        # Guards against live servers that are dropped on the store's return.
        self.follow(result.Ok(StoreChanges(10, (WRITTEN,))))
        removal = ServerChange('s1', None, 11)
        self.watcher.take(StoreNews(10, 11, (removal,), None, 50.0))
        self.assertEqual([e.kind for e in self.events], ['added'])

    def test_reader_without_the_store_is_silent(self):
        # Guards against followers of a node that is cut off from the store.
        self.watch(result.Ok(StoreChanges(10)))
        self.assertEqual(self.watcher.create_beat(), StoreNews(10, 10))
        self.watch(
            result.Ok(StoreChanges(10)), result.Err(ReadFailure('refused'))
        )
        self.assertIsNone(self.watcher.create_beat())

    def test_node_that_the_store_refuses_gets_everything_from_a_reader(self):
        # Guards against a node with an old configuration, which cannot serve
        # callers or the queries of others, while its neighbours are served.
        self.watch(
            result.Ok(StoreChanges(20, (WRITTEN,), configuration(4))),
        )
        snapshot = self.watcher.create_snapshot()
        self.follow(result.Err(ReadFailure('status 503')))
        self.assertFalse(self.watcher.wants_snapshot())
        self.watcher.take(StoreNews(20, 20))
        self.assertTrue(self.watcher.wants_snapshot())
        self.assertFalse(self.watcher.wants_snapshot())
        self.watcher.take_snapshot(snapshot)
        self.assertEqual(self.watcher.revision, 20)
        self.assertEqual(self.versions, [4])
        self.assertEqual([e.kind for e in self.events], ['added'])
        self.assertTrue(self.watcher.is_loaded)
        self.clock.advance(SNAPSHOT_MS)
        self.assertFalse(self.watcher.wants_snapshot())

    def test_older_snapshot_changes_nothing(self):
        # Guards against beliefs that go back.
        self.watch(result.Ok(StoreChanges(10)))
        snapshot = self.watcher.create_snapshot()
        self.follow(result.Ok(StoreChanges(20, (WRITTEN,), configuration(4))))
        self.watcher.take_snapshot(snapshot)
        self.assertEqual(self.watcher.revision, 20)
        self.assertEqual([e.kind for e in self.events], ['added'])

    def test_snapshot_lacks_servers_whose_removal_waits(self):
        # Guards against servers that a node is never told are gone.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('refused')),
            result.Ok(StoreChanges(20, (REMOVED,))),
        )
        self.assertEqual(self.watcher.create_snapshot().servers, ())

    def test_beat_tells_of_revisions_that_the_reader_has_not_read(self):
        # Guards against a reader whose watch is stuck.
        self.watch(result.Ok(StoreChanges(10)))
        self.watcher.hint(15)
        self.assertEqual(self.watcher.create_beat().revision, 15)


class BlockedStore(PublishedStore):
    """Gives one reply to each kind of read, then never answers a wait."""

    def __init__(self, revision):
        self.revision = revision
        self.waits = []

    def read_all(self):
        return result.Ok(StoreChanges(self.revision))

    def wait_for_changes(self, revision, wait_ms):
        self.waits.append((revision, wait_ms))
        eventlet.sleep(3_600)


class HintTest(unittest.TestCase):
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

    def test_wait_that_missed_a_revision_is_given_up(self):
        # Guards against a watch whose connection died without a sign.
        self.start()
        self.clock.advance(HINT_GRACE_MS + 1)
        self.watcher.hint(11)
        for _ in range(5):
            eventlet.sleep(0)
        self.assertEqual([wait[0] for wait in self.store.waits], [10, 10])

    def test_known_revisions_and_fresh_waits_are_left_alone(self):
        # Guards against reads that are repeated for each change.
        self.start()
        self.watcher.hint(11)
        self.clock.advance(HINT_GRACE_MS + 1)
        self.watcher.hint(10)
        for _ in range(5):
            eventlet.sleep(0)
        self.assertEqual(len(self.store.waits), 1)

    def test_larger_fleets_wait_longer(self):
        # Guards against reads that grow with the fleet.
        self.start(count=20)
        self.assertEqual(self.store.waits[0][1], 2 * WAIT_MS)


class OutageTest(WatcherTestCase):
    def test_beliefs_outlive_an_outage(self):
        # Guards against records that lapsed while the store was away.
        self.watch(
            result.Ok(StoreChanges(10, (WRITTEN,))),
            result.Err(ReadFailure('refused')),
            result.Ok(StoreChanges(20, (REMOVED,))),
        )
        now_ms = self.clock.now_ms()
        self.assertEqual(len(self.directory.servers_of('portal', now_ms)), 1)
        self.directory.expire(now_ms + LAPSE_GRACE_MS)
        late_ms = now_ms + LAPSE_GRACE_MS + 2_000.0
        self.assertEqual(self.directory.servers_of('portal', late_ms), [])

    def test_failed_reads_are_paced(self):
        # Guards against a node that floods a store in trouble.
        pauses = self.watch(
            result.Err(ReadFailure('refused')),
            result.Ok(StoreChanges(10)),
            result.Err(ReadFailure('silent')),
        )
        self.assertEqual(
            [pause > 0.0 for pause in pauses], [True, False, True]
        )

    def test_age_grows_while_the_store_is_away(self):
        # Guards against stale beliefs that look fresh.
        self.watch(
            result.Ok(StoreChanges(10)), result.Err(ReadFailure('silent'))
        )
        self.clock.advance(700)
        self.assertEqual(self.watcher.age_ms(self.clock.now_ms()), 700.0)
