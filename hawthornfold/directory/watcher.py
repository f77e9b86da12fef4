"""Keeps the server directory and the configuration up to date."""

import math

import eventlet
import greenlet
import logbook

from hawthornfold.directory.directory import REMOVAL_GRACE_MS
from hawthornfold.directory.reader_tracker import SNAPSHOT_QUERY_INTERVAL_MS
from hawthornfold.directory.reader_tracker import create_reader_tracker
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import StoreChanges
from hawthornfold.directory.updates import StoreNews
from hawthornfold.directory.updates import StoreSnapshot
from hawthornfold.directory.updates import decode_configuration
from hawthornfold.directory.updates import encode_configuration

_LOG = logbook.Logger('directory')

# Duration of a long poll. A poll that spans an outage of the store may never
# be answered, and a change must be in force 4 s after the end of an outage. In
# larger fleets longer polls suffice: some node reads the change in time and
# notifies the others, which then poll again.
LONG_POLL_MS = 3_000.0
MAX_LONG_POLL_MS = 12_000.0
# Delay of the next read after one that returned server changes. Changes come
# in groups and each read of the store is counted, so they are read in batches.
BATCH_DELAY_MS = 250.0
MAX_BATCH_DELAY_MS = 750.0
# With more readers than this in the fleet, polls and batch delays grow in
# proportion to the number of readers.
FULL_RATE_READERS = 10
# When another node reports a newer revision, a long poll that started less
# than this long ago is kept: its answer may contain the change.
REVISION_GRACE_MS = 400.0
# Interval between reads after a failure. Refused calls also count as reads.
RETRY_MS = 400.0
# Factor on `RETRY_MS` for a node that is not a reader and whose own read
# failed while it could not rely on its readers.
FOLLOWER_RETRY_FACTOR = 4.0
# Minimum interval between attempts to read everything.
RELOAD_RETRY_MS = 600.0
# Interval at which a node that relies on its readers checks whether it still
# can.
FOLLOWER_CHECK_MS = 100.0
# Interval at which due removals are carried out.
EXPIRY_INTERVAL_MS = 250.0


class StoreWatcher:
    """Follows a `PublishedStore`, directly or through its readers.

    Parameters
    ----------
    store : PublishedStore
        The store to read.
    directory : ServerDirectory
        The directory to update.
    clock, metrics : object
        The node's clock and metrics registry.
    on_servers : callable
        Called with a list of `DirectoryEvent` after servers changed.
    on_configuration : callable
        Called with each newer `RoutingConfiguration`.
    on_update : callable
        Called with a `StoreNews` after each read that returned a newer
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
        on_update,
    ):
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._on_servers = on_servers
        self._on_configuration = on_configuration
        self._on_update = on_update
        self._revision = None
        self._configuration = None
        self._snapshot_query_ms = -math.inf
        self._is_reachable = None
        self._last_read_ms = None
        self._interval_factor = 1.0
        self._read_thread = None
        self._waiting_since_ms = None
        self._reader_tracker = create_reader_tracker(clock.now_ms())
        self._last_outage_ms = None

    @property
    def is_loaded(self):
        """Whether servers and configuration have been loaded once."""
        return self._last_read_ms is not None

    @property
    def revision(self):
        """The revision up to which all changes are applied, or None."""
        return self._revision

    def age_ms(self, now_ms):
        """Return the time since the data was last current, or None.

        A read of the store or an update from a reader confirms that the data
        is current.
        """
        return (
            None if self._last_read_ms is None else now_ms - self._last_read_ms
        )

    def set_reader_count(self, count):
        """Set the read intervals for a fleet with `count` readers."""
        self._interval_factor = max(1.0, count / FULL_RATE_READERS)

    def set_reader(self, is_reader):
        """Set whether the node reads the store for others."""
        self._reader_tracker.set_reader(is_reader)

    def create_heartbeat(self):
        """Return a `StoreNews` without changes, or None without the store."""
        if self._revision is None or not self._is_reachable:
            return None
        revision = max(self._revision, self._reader_tracker.known_revision)
        return StoreNews(
            revision, revision, outage_age_ms=self._last_outage_age_ms()
        )

    def apply_update(self, update):
        """Apply a `StoreNews` from a reader."""
        now_ms = self._clock.now_ms()
        self._reader_tracker.record_heartbeat(update.revision, now_ms)
        if self._revision is None:
            return
        if update.outage_age_ms is not None:
            self._directory.record_outage(now_ms - update.outage_age_ms)
        if update.after <= self._revision <= update.revision:
            self._last_read_ms = now_ms
        if not update.after <= self._revision < update.revision:
            return
        decoded = self._decode_configuration(update.configuration)
        if decoded.is_err():
            return
        self._metrics.count('store_news', outcome='taken')
        changes = StoreChanges(
            update.revision, update.servers, decoded.ok_value
        )
        self._apply_changes(changes, now_ms)

    def should_query_snapshot(self):
        """Return whether to query a reader for a snapshot now.

        Records the time of the query if so.
        """
        now_ms = self._clock.now_ms()
        if (
            self._is_reachable is not False
            or self._reader_tracker.known_revision <= (self._revision or 0)
            or now_ms - self._snapshot_query_ms < SNAPSHOT_QUERY_INTERVAL_MS
        ):
            return False
        self._snapshot_query_ms = now_ms
        return True

    def create_snapshot(self):
        """Return a `StoreSnapshot`, or None if it would be stale."""
        if self._revision is None or not self._is_reachable:
            return None
        return StoreSnapshot(
            self._revision,
            tuple(
                ServerChange(record.server_id, record)
                for record in self._directory.confirmed_records
            ),
            encode_configuration(self._configuration),
        )

    def apply_snapshot(self, snapshot):
        """Apply a `StoreSnapshot` from a reader if it is newer."""
        if snapshot.revision <= (self._revision or 0):
            return
        decoded = self._decode_configuration(snapshot.configuration)
        if decoded.is_err():
            return
        now_ms = self._clock.now_ms()
        self._metrics.count('store_snapshots')
        _LOG.notice(
            'event=snapshot_taken revision_before={} revision={} servers={}',
            self._revision,
            snapshot.revision,
            len(snapshot.servers),
        )
        self._last_read_ms = now_ms
        events = self._directory.replace_all(snapshot.servers, now_ms)
        changes = StoreChanges(
            snapshot.revision, snapshot.servers, decoded.ok_value
        )
        self._commit_changes(changes, events)

    def _decode_configuration(self, published):
        decoded = decode_configuration(published)
        if decoded.is_err():
            # The node falls behind its readers and then reads the store
            # itself.
            self._metrics.count('store_news', outcome='refused')
            _LOG.warning('event=news_refused detail="{}"', decoded.err_value)
        return decoded

    def handle_revision(self, revision):
        """Record that the store has reached `revision`.

        Cancels a long poll that should have returned it already: its
        connection may be dead.
        """
        self._reader_tracker.record_revision(revision)
        if self._revision is None or revision <= self._revision:
            return
        now_ms = self._clock.now_ms()
        if (
            self._waiting_since_ms is not None
            and now_ms - self._waiting_since_ms > REVISION_GRACE_MS
        ):
            self._metrics.count('store_waits_given_up')
            self._read_thread.kill()

    def run(self):
        """Read the store in an endless loop; to be spawned."""
        while True:
            self._read_thread = eventlet.spawn(self.read_once)
            try:
                delay_ms = self._read_thread.wait()
            except greenlet.GreenletExit:
                # `handle_revision` cancelled the long poll.
                self._waiting_since_ms = None
                continue
            if delay_ms:
                self._clock.sleep_ms(delay_ms)

    def run_expiry(self):
        """Carry out deferred removals in an endless loop; to be spawned."""
        while True:
            self._clock.sleep_ms(EXPIRY_INTERVAL_MS)
            self._notify_servers(
                self._directory.expire_removals(self._clock.now_ms())
            )

    def read_once(self):
        """Read the store once, unless the node can rely on its readers.

        Returns
        -------
        float
            Milliseconds to wait before the next read.
        """
        if self._revision is None:
            return self._reload()
        now_ms = self._clock.now_ms()
        if self._reader_tracker.relies_on_readers(self._revision, now_ms):
            return FOLLOWER_CHECK_MS
        self._waiting_since_ms = now_ms
        outcome = self._store.wait_for_changes(
            self._revision,
            min(self._interval_factor * LONG_POLL_MS, MAX_LONG_POLL_MS),
        )
        self._waiting_since_ms = None
        if outcome.is_err():
            factor = 1.0
            if not self._reader_tracker.is_reader:
                factor = FOLLOWER_RETRY_FACTOR
            return self._record_failure(outcome.err_value, factor * RETRY_MS)
        changes = outcome.ok_value
        self._record_success()
        after = self._revision
        self._apply_changes(changes, self._clock.now_ms())
        if self._revision > after:
            self._on_update(
                StoreNews(
                    after,
                    changes.revision,
                    changes.servers,
                    encode_configuration(changes.configuration),
                    self._last_outage_age_ms(),
                )
            )
        if not changes.servers:
            return 0.0
        return min(self._interval_factor * BATCH_DELAY_MS, MAX_BATCH_DELAY_MS)

    def _reload(self):
        outcome = self._store.read_all()
        if outcome.is_err():
            return self._record_failure(outcome.err_value, RELOAD_RETRY_MS)
        changes = outcome.ok_value
        self._record_success()
        now_ms = self._clock.now_ms()
        events = self._directory.replace_all(changes.servers, now_ms)
        self._commit_changes(changes, events)
        return 0.0

    def _apply_changes(self, changes, now_ms):
        """Apply changes; skip those already received from another source."""
        newer = [
            change
            for change in changes.servers
            if not 0 < change.revision <= self._revision
        ]
        events = self._directory.apply(newer, now_ms)
        self._commit_changes(changes, events)

    def _last_outage_age_ms(self):
        if self._last_outage_ms is None:
            return None
        age_ms = self._clock.now_ms() - self._last_outage_ms
        return age_ms if age_ms < REMOVAL_GRACE_MS else None

    def _commit_changes(self, changes, events):
        for failure in changes.failures:
            self._metrics.count('store_items_refused')
            _LOG.warning(
                'event=item_refused key={} detail="{}"',
                failure.key,
                failure.detail,
            )
        # A reply from a lagging replica of the store must not move the
        # revision back.
        self._revision = max(self._revision or 0, changes.revision)
        configuration = changes.configuration
        if configuration is not None:
            before = self._configuration
            if before is None or configuration.version > before.version:
                self._configuration = configuration
                self._on_configuration(configuration)
            else:
                self._metrics.count('configurations_ignored')
        self._notify_servers(events)

    def _notify_servers(self, events):
        if not events:
            return
        for event in events:
            self._metrics.count('server_changes', kind=event.kind)
        self._on_servers(events)

    def _record_success(self):
        self._last_read_ms = self._clock.now_ms()
        self._metrics.count('store_reads', outcome='ok')
        if self._is_reachable is False:
            _LOG.notice('event=store_regained revision={}', self._revision)
            # Records may have expired during the outage.
            self._record_outage(self._last_read_ms)
        self._is_reachable = True

    def _record_outage(self, now_ms):
        self._last_outage_ms = now_ms
        self._directory.record_outage(now_ms)

    def _record_failure(self, failure, delay_ms):
        now_ms = self._clock.now_ms()
        if failure.is_history_lost:
            self._metrics.count('store_reads', outcome='history_lost')
            _LOG.notice('event=store_history_lost revision={}', self._revision)
            self._revision = None
            return 0.0
        self._metrics.count('store_reads', outcome='failed')
        self._record_outage(now_ms)
        if self._is_reachable is not False:
            _LOG.warning(
                'event=store_lost revision={} age_ms={} detail="{}"',
                self._revision,
                self.age_ms(now_ms),
                failure.detail,
            )
        self._is_reachable = False
        return delay_ms


def create_store_watcher(
    store,
    directory,
    clock,
    metrics,
    on_servers,
    on_configuration,
    on_update=lambda update: None,
):
    """Create a watcher that has not yet read the store."""
    return StoreWatcher(
        store,
        directory,
        clock,
        metrics,
        on_servers,
        on_configuration,
        on_update,
    )
