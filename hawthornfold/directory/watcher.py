"""Keeps the server directory and the configuration up to date."""

import math
import random

import eventlet
import greenlet
import logbook

from hawthornfold.directory.directory import REMOVAL_GRACE_MS
from hawthornfold.directory.positions import StorePosition
from hawthornfold.directory.reader_tracker import SNAPSHOT_QUERY_INTERVAL_MS
from hawthornfold.directory.reader_tracker import create_reader_tracker
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import StoreChanges
from hawthornfold.directory.updates import StoreNews
from hawthornfold.directory.updates import StoreSnapshot
from hawthornfold.directory.updates import decode_change
from hawthornfold.directory.updates import decode_configuration
from hawthornfold.directory.updates import encode_change
from hawthornfold.directory.updates import encode_configuration
from hawthornfold.directory.view import StoreView

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
# A reader that learns of a new era from the store reads everything within this
# time, at random.
ERA_RELOAD_SPREAD_MS = 200.0
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
        self._on_update = on_update
        self._view = StoreView(
            directory, metrics, on_servers, on_configuration
        )
        # Whether everything has to be read before the next long poll.
        self._needs_reload = True
        # Whether what was read first may be seconds old. The node does not
        # count as loaded until it has read the changes since then.
        self._may_be_stale = False
        # Whether the era may have changed since the last answer.
        self._is_era_uncertain = False
        self._snapshot_query_ms = -math.inf
        self._is_reachable = None
        self._last_read_ms = None
        self._interval_factor = 1.0
        self._read_thread = None
        self._waiting_since_ms = None
        self._reader_tracker = create_reader_tracker(clock.now_ms())
        self._last_outage_ms = None
        self._rng = random.Random()

    @property
    def is_loaded(self):
        """Whether servers and configuration have been loaded once."""
        return self._last_read_ms is not None and not self._may_be_stale

    @property
    def position(self):
        """The `StorePosition` up to which all changes are applied, or None."""
        return self._view.position

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
        position = self._view.position
        if position is None or not self._is_reachable or self._may_be_stale:
            return None
        position = max(position, self._reader_tracker.known_position)
        if position.era > self._view.position.era:
            # This node has yet to read the new era, and cannot vouch for it.
            return None
        return StoreNews(
            position.revision,
            position.revision,
            outage_age_ms=self._last_outage_age_ms(),
            era=position.era,
        )

    def apply_update(self, update):
        """Apply a `StoreNews` from a reader."""
        now_ms = self._clock.now_ms()
        own = self._view.position
        if own is not None and update.era < own.era:
            # The reader has yet to read the new era, or runs an older release
            # that does not know of eras.
            self._metrics.count('store_news', outcome='stale')
            return
        self._reader_tracker.record_heartbeat(update.position, now_ms)
        if own is None or update.era > own.era:
            return
        if update.outage_age_ms is not None:
            self._directory.record_outage(now_ms - update.outage_age_ms)
        if update.after <= own.revision <= update.revision:
            self._last_read_ms = now_ms
            self._may_be_stale = False
        if not update.after <= own.revision < update.revision:
            return
        decoded = self._decode_update(update)
        if decoded.is_err():
            return
        self._metrics.count('store_news', outcome='taken')
        changes = StoreChanges(
            update.revision,
            update.servers,
            decoded.ok_value,
            era=update.era,
        )
        self._view.apply_changes(changes, now_ms)

    def should_query_snapshot(self):
        """Return whether to query a reader for a snapshot now.

        Records the time of the query if so.
        """
        now_ms = self._clock.now_ms()
        own = self._view.position
        known = self._reader_tracker.known_position
        is_behind = known.revision > 0 if own is None else known > own
        is_cut_off = self._is_reachable is False
        is_older_follower = (
            own is not None
            and known.era > own.era
            and not self._reader_tracker.is_reader
        )
        if (
            not is_behind
            or not (is_cut_off or is_older_follower)
            or now_ms - self._snapshot_query_ms < SNAPSHOT_QUERY_INTERVAL_MS
        ):
            return False
        self._snapshot_query_ms = now_ms
        return True

    def create_snapshot(self, as_msgpack=True):
        """Return a `StoreSnapshot`, or None if it would be stale.

        Parameters
        ----------
        as_msgpack : bool
            As for `encode_configuration`.
        """
        position = self._view.position
        if (
            position is None
            or not self._is_reachable
            or self._needs_reload
            or self._may_be_stale
        ):
            return None
        return StoreSnapshot(
            position.revision,
            tuple(
                ServerChange(record.server_id, record)
                for record in self._directory.listed_records
            ),
            encode_configuration(self._view.configuration, as_msgpack),
            position.era,
        )

    def apply_snapshot(self, snapshot):
        """Apply a `StoreSnapshot` from a reader if it is newer."""
        own = self._view.position
        if own is not None and snapshot.position <= own:
            return
        decoded = self._decode_configuration(snapshot.configuration)
        if decoded.is_err():
            return
        now_ms = self._clock.now_ms()
        self._metrics.count('store_snapshots')
        _LOG.notice(
            'event=snapshot_taken position_before={} position={} servers={}',
            own,
            snapshot.position,
            len(snapshot.servers),
        )
        self._last_read_ms = now_ms
        self._needs_reload = self._may_be_stale = False
        self._view.apply_complete(
            StoreChanges(
                snapshot.revision,
                snapshot.servers,
                decoded.ok_value,
                era=snapshot.era,
            ),
            now_ms,
        )

    def _decode_update(self, update):
        if update.change is None:
            return self._decode_configuration(update.configuration)
        return self._check_decoded(
            decode_change(self._view.configuration, update.change)
        )

    def _decode_configuration(self, published):
        return self._check_decoded(decode_configuration(published))

    def _check_decoded(self, decoded):
        if decoded.is_err():
            # The node falls behind its readers and then reads the store
            # itself.
            self._metrics.count('store_news', outcome='refused')
            _LOG.warning('event=news_refused detail="{}"', decoded.err_value)
        return decoded

    def handle_position(self, position):
        """Record that the store has reached a `StorePosition`.

        Cancels a long poll that should have returned it already: its
        connection may be dead. A long poll of an earlier era is cancelled at
        once, because it waits for a revision that means something else now.
        """
        self._reader_tracker.record_position(position)
        own = self._view.position
        if own is None or position <= own or self._waiting_since_ms is None:
            return
        waited_ms = self._clock.now_ms() - self._waiting_since_ms
        if position.era > own.era:
            self._is_era_uncertain = True
        elif waited_ms <= REVISION_GRACE_MS:
            return
        self._metrics.count('store_waits_given_up')
        self._read_thread.kill()

    def run(self):
        """Read the store in an endless loop; to be spawned."""
        while True:
            self._read_thread = eventlet.spawn(self.read_once)
            try:
                delay_ms = self._read_thread.wait()
            except greenlet.GreenletExit:
                # `handle_position` cancelled the long poll.
                self._waiting_since_ms = None
                continue
            if delay_ms:
                self._clock.sleep_ms(delay_ms)

    def run_expiry(self):
        """Carry out deferred removals in an endless loop; to be spawned."""
        while True:
            self._clock.sleep_ms(EXPIRY_INTERVAL_MS)
            self._view.expire(self._clock.now_ms())

    def read_once(self):
        """Read the store once, unless the node can rely on its readers.

        Returns
        -------
        float
            Milliseconds to wait before the next read.
        """
        now_ms = self._clock.now_ms()
        position = self._view.position
        if position is None:
            return self._reload()
        if not self._may_be_stale and self._reader_tracker.relies_on_readers(
            position, now_ms
        ):
            return FOLLOWER_CHECK_MS
        if self._needs_reload:
            return self._reload()
        return self._wait_for_changes(position)

    def _wait_for_changes(self, position):
        wait_ms = min(self._interval_factor * LONG_POLL_MS, MAX_LONG_POLL_MS)
        if self._is_era_uncertain or self._may_be_stale:
            # The store may have returned from an older copy. An answer tells
            # its era; a long poll might wait until it is at the revision that
            # this node had reached before.
            wait_ms = 0.0
        self._waiting_since_ms = self._clock.now_ms()
        outcome = self._store.wait_for_changes(position.revision, wait_ms)
        self._waiting_since_ms = None
        changes = outcome.unwrap_or_else(lambda failure: failure)
        if self._view.resolve_era(changes.era) != position.era:
            return self._handle_other_era(changes.era)
        if outcome.is_err():
            return self._record_failure(changes, self._retry_delay_ms)
        self._record_success()
        self._is_era_uncertain = self._may_be_stale = False
        held = self._view.configuration
        self._view.apply_changes(changes, self._clock.now_ms())
        after = self._view.position
        if after > position:
            self._on_update(self._create_update(position, changes, held))
        if not changes.servers:
            return 0.0
        return min(self._interval_factor * BATCH_DELAY_MS, MAX_BATCH_DELAY_MS)

    def _create_update(self, position, changes, held):
        """Create the update for followers that are at a position.

        Parameters
        ----------
        held : RoutingConfiguration or None
            The configuration that was in force before the changes.
        """
        published, change = None, None
        if changes.configuration is not None:
            if held is None:
                published = encode_configuration(changes.configuration, True)
            else:
                change = encode_change(held, changes.configuration)
        return StoreNews(
            position.revision,
            changes.revision,
            changes.servers,
            published,
            self._last_outage_age_ms(),
            position.era,
            change,
        )

    @property
    def _retry_delay_ms(self):
        if self._reader_tracker.is_reader:
            return RETRY_MS
        return FOLLOWER_RETRY_FACTOR * RETRY_MS

    def _reload(self):
        own = self._view.position
        # All nodes of a fleet may start at the same time. A read that may be
        # stale costs the store a tenth, and the changes since then one call.
        is_first = own is None
        outcome = self._store.read_all(may_be_stale=is_first)
        changes = outcome.unwrap_or_else(lambda failure: failure)
        era = self._view.resolve_era(changes.era)
        if own is not None and era < own.era:
            return self._handle_other_era(era)
        if outcome.is_err():
            return self._record_failure(changes, RELOAD_RETRY_MS)
        self._record_success()
        now_ms = self._clock.now_ms()
        self._needs_reload = self._is_era_uncertain = False
        self._may_be_stale = is_first
        if own is not None and era > own.era:
            # The followers defer removals, as this node does.
            self._record_outage(now_ms)
        self._view.apply_complete(changes, now_ms)
        if own is not None and era > own.era:
            # Followers ask for a snapshot when they learn of the new era.
            self._on_update(
                StoreNews(changes.revision, changes.revision, era=era)
            )
        return 0.0

    def _handle_other_era(self, era):
        """Handle an answer of another era than the node's own.

        Its contents do not follow on what the node holds.
        """
        position = self._view.position
        if era < position.era:
            self._metrics.count('store_answers_stale')
            _LOG.warning(
                'event=store_answer_stale position={} era={}', position, era
            )
            return self._retry_delay_ms
        _LOG.notice(
            'event=store_era_changed position={} era={}', position, era
        )
        self._needs_reload = True
        self._reader_tracker.record_position(StorePosition(era, 0))
        return ERA_RELOAD_SPREAD_MS * self._rng.random()

    def _last_outage_age_ms(self):
        if self._last_outage_ms is None:
            return None
        age_ms = self._clock.now_ms() - self._last_outage_ms
        return age_ms if age_ms < REMOVAL_GRACE_MS else None

    def _record_success(self):
        self._last_read_ms = self._clock.now_ms()
        self._metrics.count('store_reads', outcome='ok')
        if self._is_reachable is False:
            _LOG.notice(
                'event=store_regained position={}', self._view.position
            )
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
            _LOG.notice(
                'event=store_history_lost position={}', self._view.position
            )
            self._needs_reload = True
            return 0.0
        self._metrics.count('store_reads', outcome='failed')
        self._is_era_uncertain = True
        self._record_outage(now_ms)
        if self._is_reachable is not False:
            _LOG.warning(
                'event=store_lost position={} age_ms={} detail="{}"',
                self._view.position,
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
