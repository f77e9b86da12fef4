"""Keeps a directory and a configuration up to date from a store."""

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

# A wait that outlasts an outage of the store may never end, and a change has
# to be in force 4 s after the end of an outage. In larger fleets some node
# learns of a change in any case and tells others, which then read anew.
LONG_POLL_MS = 3_000.0
MAX_LONG_POLL_MS = 12_000.0
# Changes come in groups, and each read is counted: after some have come, the
# next are left to collect for this long.
BATCH_DELAY_MS = 250.0
MAX_BATCH_DELAY_MS = 750.0
# Up to so many readers in a fleet, they read at the full pace.
FULL_RATE_READERS = 10
# A read that is under way may bring what another node tells of.
REVISION_GRACE_MS = 400.0
# After a failure the store is asked for at this pace; each refused call
# counts as one.
RETRY_MS = 400.0
# A node that has readers, and failed to read by itself while it heard nothing
# of them, tries again this much later.
FOLLOWER_RETRY_FACTOR = 4.0
# A refused bulk read is repeated at most this often.
RELOAD_RETRY_MS = 600.0
# A node that relies on its readers looks at this pace whether it still can.
FOLLOWER_CHECK_MS = 100.0
# Due removals are carried out at least this often.
EXPIRY_INTERVAL_MS = 250.0


class StoreWatcher:
    """Follows a `PublishedStore`.

    Parameters
    ----------
    on_servers : callable
        Called with a list of `DirectoryEvent` after a change of servers.
    on_configuration : callable
        Called with each newer `RoutingConfiguration`.
    on_update : callable
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
        self._read_ms = None
        self._interval_factor = 1.0
        self._read_thread = None
        self._waiting_since_ms = None
        self._reader_tracker = create_reader_tracker(clock.now_ms())
        self._last_outage_ms = None

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
        self._interval_factor = max(1.0, count / FULL_RATE_READERS)

    def set_reader(self, is_reader):
        """Take over whether the node reads the store for others."""
        self._reader_tracker.set_reader(is_reader)

    def create_heartbeat(self):
        """Return a `StoreNews` for followers, or None without the store."""
        if self._revision is None or not self._is_reachable:
            return None
        revision = max(self._revision, self._reader_tracker.known_revision)
        return StoreNews(
            revision, revision, outage_age_ms=self._last_outage_age_ms()
        )

    def apply_update(self, update):
        """Take over what a reader has read."""
        now_ms = self._clock.now_ms()
        self._reader_tracker.record_heartbeat(update.revision, now_ms)
        if self._revision is None:
            return
        if update.outage_age_ms is not None:
            self._directory.record_outage(now_ms - update.outage_age_ms)
        if update.after <= self._revision <= update.revision:
            self._read_ms = now_ms
        if not update.after <= self._revision < update.revision:
            return
        decoded = self._decode_configuration(update.configuration)
        if decoded.is_err():
            return
        self._metrics.count('store_news', outcome='taken')
        changes = StoreChanges(
            update.revision, update.servers, decoded.ok_value
        )
        self._apply(changes, now_ms)

    def should_query_snapshot(self):
        """Return whether to ask a reader for everything, and note it."""
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
        """Return a `StoreSnapshot`, or None when it would be stale."""
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
        """Take over all that a reader knows, if it is newer."""
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
        self._read_ms = now_ms
        events = self._directory.replace_all(snapshot.servers, now_ms)
        changes = StoreChanges(
            snapshot.revision, snapshot.servers, decoded.ok_value
        )
        self._commit_changes(changes, events)

    def _decode_configuration(self, published):
        decoded = decode_configuration(published)
        if decoded.is_err():
            # The node falls behind its readers, and then reads by itself.
            self._metrics.count('store_news', outcome='refused')
            _LOG.warning('event=news_refused detail="{}"', decoded.err_value)
        return decoded

    def handle_revision(self, revision):
        """Take note that the store has reached `revision`.

        A wait that has missed it is given up, since its connection may be
        dead.
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
        """Follow the store for ever; to be spawned as a green thread."""
        while True:
            self._read_thread = eventlet.spawn(self.read_once)
            try:
                delay_ms = self._read_thread.wait()
            except greenlet.GreenletExit:
                # `handle_revision` has given up the wait.
                self._waiting_since_ms = None
                continue
            if delay_ms:
                self._clock.sleep_ms(delay_ms)

    def run_expiry(self):
        """Carry out late removals; to be spawned as a green thread."""
        while True:
            self._clock.sleep_ms(EXPIRY_INTERVAL_MS)
            self._notify_servers(
                self._directory.expire_removals(self._clock.now_ms())
            )

    def read_once(self):
        """Read once.

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
        self._apply(changes, self._clock.now_ms())
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

    def _apply(self, changes, now_ms):
        """Take over changes; some may have come another way."""
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
        self._notify_servers(events)

    def _notify_servers(self, events):
        if not events:
            return
        for event in events:
            self._metrics.count('server_changes', kind=event.kind)
        self._on_servers(events)

    def _record_success(self):
        self._read_ms = self._clock.now_ms()
        self._metrics.count('store_reads', outcome='ok')
        if self._is_reachable is False:
            _LOG.notice('event=store_regained revision={}', self._revision)
            # Records may have lapsed meanwhile.
            self._record_outage(self._read_ms)
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
    """Create a watcher that has not read anything yet."""
    return StoreWatcher(
        store,
        directory,
        clock,
        metrics,
        on_servers,
        on_configuration,
        on_update,
    )
