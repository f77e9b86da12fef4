"""Keeps a directory and a configuration up to date from a store."""

import math

import eventlet
import greenlet
import logbook

from hawthornfold.directory.directory import LAPSE_GRACE_MS
from hawthornfold.directory.following import SNAPSHOT_MS
from hawthornfold.directory.following import create_following
from hawthornfold.directory.news import StoreNews
from hawthornfold.directory.news import StoreSnapshot
from hawthornfold.directory.news import pack_configuration
from hawthornfold.directory.news import unpack_configuration
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import StoreChanges

_LOG = logbook.Logger('directory')

# A wait that outlasts an outage of the store may never end, and a change has
# to be in force 4 s after the end of an outage. In larger fleets some node
# learns of a change in any case and tells others, which then read anew.
WAIT_MS = 3_000.0
MAX_WAIT_MS = 12_000.0
# Changes come in groups, and each read is counted: after some have come, the
# next are left to collect for this long.
COLLECT_MS = 250.0
MAX_COLLECT_MS = 750.0
# Up to so many readers in a fleet, they read at the full pace.
FULL_PACE_READERS = 10
# A read that is under way may bring what another node tells of.
HINT_GRACE_MS = 400.0
# After a failure the store is asked for at this pace; each refused call
# counts as one.
RETRY_MS = 400.0
# A node that has readers, and failed to read by itself while it heard nothing
# of them, tries again this much later.
FOLLOWER_RETRY_FACTOR = 4.0
# A refused bulk read is repeated at most this often.
RELOAD_RETRY_MS = 600.0
# A node that relies on its readers looks at this pace whether it still can.
FOLLOW_MS = 100.0
# Due removals are carried out at least this often.
EXPIRE_MS = 250.0


class StoreWatcher:
    """Follows a `PublishedStore`.

    Parameters
    ----------
    on_servers : callable
        Called with a list of `DirectoryEvent` after a change of servers.
    on_configuration : callable
        Called with each newer `RoutingConfiguration`.
    on_news : callable
        Called with the `StoreNews` of each read that brought a newer
        revision.
    """

    def __init__(
        self,
        store,
        directory,
        clock,
        metrics,
        on_servers,
        on_configuration,
        on_news,
    ):
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._on_servers = on_servers
        self._on_configuration = on_configuration
        self._on_news = on_news
        self._revision = None
        self._configuration = None
        self._asked_ms = -math.inf
        self._is_reachable = None
        self._read_ms = None
        self._pace = 1.0
        self._reading = None
        self._waiting_since_ms = None
        self._following = create_following(clock.now_ms())
        self._outage_ms = None

    @property
    def is_loaded(self):
        """Whether the store was read once."""
        return self._read_ms is not None

    @property
    def revision(self):
        """The store's revision up to which everything is known."""
        return self._revision

    def age_ms(self, now_ms):
        """Return the time since the store last answered, or None."""
        return None if self._read_ms is None else now_ms - self._read_ms

    def set_reader_count(self, count):
        """Read at the pace of a fleet of `count` readers."""
        self._pace = max(1.0, count / FULL_PACE_READERS)

    def set_reader(self, is_reader):
        """Take over whether the node reads the store for others."""
        self._following.set_reader(is_reader)

    def create_beat(self):
        """Return a `StoreNews` for followers, or None without the store."""
        if self._revision is None or not self._is_reachable:
            return None
        revision = max(self._revision, self._following.known_revision)
        return StoreNews(
            revision, revision, outage_age_ms=self._outage_age_ms()
        )

    def take(self, news):
        """Take over what a reader has read."""
        now_ms = self._clock.now_ms()
        self._following.hear(news.revision, now_ms)
        if self._revision is None:
            return
        if news.outage_age_ms is not None:
            self._directory.note_outage(now_ms - news.outage_age_ms)
        if news.after <= self._revision <= news.revision:
            self._read_ms = now_ms
        if not news.after <= self._revision < news.revision:
            return
        unpacked = self._unpack(news.configuration)
        if unpacked.is_err():
            return
        self._metrics.count('store_news', outcome='taken')
        changes = StoreChanges(news.revision, news.servers, unpacked.ok_value)
        self._apply(changes, now_ms)

    def wants_snapshot(self):
        """Return whether to ask a reader for everything, and note it."""
        now_ms = self._clock.now_ms()
        if (
            self._is_reachable is not False
            or self._following.known_revision <= (self._revision or 0)
            or now_ms - self._asked_ms < SNAPSHOT_MS
        ):
            return False
        self._asked_ms = now_ms
        return True

    def create_snapshot(self):
        """Return a `StoreSnapshot`, or None when it would be stale."""
        if self._revision is None or not self._is_reachable:
            return None
        return StoreSnapshot(
            self._revision,
            tuple(
                ServerChange(record.server_id, record)
                for record in self._directory.settled_records
            ),
            pack_configuration(self._configuration),
        )

    def take_snapshot(self, snapshot):
        """Take over all that a reader knows, if it is newer."""
        if snapshot.revision <= (self._revision or 0):
            return
        unpacked = self._unpack(snapshot.configuration)
        if unpacked.is_err():
            return
        now_ms = self._clock.now_ms()
        self._metrics.count('store_snapshots')
        _LOG.notice(
            'event=snapshot_taken revision_before={} revision={} servers={}',
            self._revision,
            snapshot.revision,
            len(snapshot.servers),
        )
        self._read_ms = now_ms
        events = self._directory.replace_all(snapshot.servers, now_ms)
        changes = StoreChanges(
            snapshot.revision, snapshot.servers, unpacked.ok_value
        )
        self._take_over(changes, events)

    def _unpack(self, published):
        unpacked = unpack_configuration(published)
        if unpacked.is_err():
            # The node falls behind its readers, and then reads by itself.
            self._metrics.count('store_news', outcome='refused')
            _LOG.warning('event=news_refused detail="{}"', unpacked.err_value)
        return unpacked

    def hint(self, revision):
        """Take note that the store has reached `revision`.

        A wait that has missed it is given up, since its connection may be
        dead.
        """
        self._following.note(revision)
        if self._revision is None or revision <= self._revision:
            return
        now_ms = self._clock.now_ms()
        if (
            self._waiting_since_ms is not None
            and now_ms - self._waiting_since_ms > HINT_GRACE_MS
        ):
            self._metrics.count('store_waits_given_up')
            self._reading.kill()

    def run(self):
        """Follow the store for ever; to be spawned as a green thread."""
        while True:
            self._reading = eventlet.spawn(self.step)
            try:
                pause_ms = self._reading.wait()
            except greenlet.GreenletExit:
                # `hint` has given up the wait.
                self._waiting_since_ms = None
                continue
            if pause_ms:
                self._clock.sleep_ms(pause_ms)

    def run_expiry(self):
        """Carry out late removals; to be spawned as a green thread."""
        while True:
            self._clock.sleep_ms(EXPIRE_MS)
            self._publish(self._directory.expire(self._clock.now_ms()))

    def step(self):
        """Read once.

        Returns
        -------
        float
            Milliseconds to wait before the next read.
        """
        if self._revision is None:
            return self._reload()
        now_ms = self._clock.now_ms()
        if self._following.relies_on_readers(self._revision, now_ms):
            return FOLLOW_MS
        self._waiting_since_ms = now_ms
        outcome = self._store.wait_for_changes(
            self._revision, min(self._pace * WAIT_MS, MAX_WAIT_MS)
        )
        self._waiting_since_ms = None
        if outcome.is_err():
            factor = 1.0
            if not self._following.is_reader:
                factor = FOLLOWER_RETRY_FACTOR
            return self._fail(outcome.err_value, factor * RETRY_MS)
        changes = outcome.ok_value
        self._succeed()
        after = self._revision
        self._apply(changes, self._clock.now_ms())
        if self._revision > after:
            self._on_news(
                StoreNews(
                    after,
                    changes.revision,
                    changes.servers,
                    pack_configuration(changes.configuration),
                    self._outage_age_ms(),
                )
            )
        if not changes.servers:
            return 0.0
        return min(self._pace * COLLECT_MS, MAX_COLLECT_MS)

    def _reload(self):
        outcome = self._store.read_all()
        if outcome.is_err():
            return self._fail(outcome.err_value, RELOAD_RETRY_MS)
        changes = outcome.ok_value
        self._succeed()
        now_ms = self._clock.now_ms()
        events = self._directory.replace_all(changes.servers, now_ms)
        self._take_over(changes, events)
        return 0.0

    def _apply(self, changes, now_ms):
        """Take over changes; some may have come another way."""
        newer = [
            change
            for change in changes.servers
            if not 0 < change.revision <= self._revision
        ]
        events = self._directory.apply(newer, now_ms)
        self._take_over(changes, events)

    def _outage_age_ms(self):
        if self._outage_ms is None:
            return None
        age_ms = self._clock.now_ms() - self._outage_ms
        return age_ms if age_ms < LAPSE_GRACE_MS else None

    def _take_over(self, changes, events):
        for failure in changes.failures:
            self._metrics.count('store_items_refused')
            _LOG.warning(
                'event=item_refused key={} detail="{}"',
                failure.key,
                failure.detail,
            )
        # A reply from a replica that lags must not take the watch back.
        self._revision = max(self._revision or 0, changes.revision)
        configuration = changes.configuration
        if configuration is not None:
            before = self._configuration
            if before is None or configuration.version > before.version:
                self._configuration = configuration
                self._on_configuration(configuration)
            else:
                self._metrics.count('configurations_ignored')
        self._publish(events)

    def _publish(self, events):
        if not events:
            return
        for event in events:
            self._metrics.count('server_changes', kind=event.kind)
        self._on_servers(events)

    def _succeed(self):
        self._read_ms = self._clock.now_ms()
        self._metrics.count('store_reads', outcome='ok')
        if self._is_reachable is False:
            _LOG.notice('event=store_regained revision={}', self._revision)
            # Records may have lapsed meanwhile.
            self._note_outage(self._read_ms)
        self._is_reachable = True

    def _note_outage(self, now_ms):
        self._outage_ms = now_ms
        self._directory.note_outage(now_ms)

    def _fail(self, failure, pause_ms):
        now_ms = self._clock.now_ms()
        if failure.is_history_lost:
            self._metrics.count('store_reads', outcome='history_lost')
            _LOG.notice('event=store_history_lost revision={}', self._revision)
            self._revision = None
            return 0.0
        self._metrics.count('store_reads', outcome='failed')
        self._note_outage(now_ms)
        if self._is_reachable is not False:
            _LOG.warning(
                'event=store_lost revision={} age_ms={} detail="{}"',
                self._revision,
                self.age_ms(now_ms),
                failure.detail,
            )
        self._is_reachable = False
        return pause_ms


def create_store_watcher(
    store,
    directory,
    clock,
    metrics,
    on_servers,
    on_configuration,
    on_news=lambda news: None,
):
    """Create a watcher that has not read anything yet."""
    return StoreWatcher(
        store,
        directory,
        clock,
        metrics,
        on_servers,
        on_configuration,
        on_news,
    )
