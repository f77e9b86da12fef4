"""Keeps the server directory and the configuration up to date."""

import random

import eventlet
import greenlet
import logbook

from hawthornfold.directory.corrections import CORRECTION_QUERY_INTERVAL_MS
from hawthornfold.directory.corrections import create_correction_wait
from hawthornfold.directory.positions import StorePosition
from hawthornfold.directory.reachability import StoreReachability
from hawthornfold.directory.read_intervals import ReadIntervals
from hawthornfold.directory.reader_messages import ReaderMessages
from hawthornfold.directory.reader_tracker import create_reader_tracker
from hawthornfold.directory.update_codec import UpdateDecoder
from hawthornfold.directory.view import StoreView

_LOG = logbook.Logger('directory')

# When another node reports a newer revision, a long poll that started less
# than this long ago is kept: its answer may contain the change.
REVISION_GRACE_MS = 400.0
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
    query_others : callable
        Called repeatedly while the node waits for a snapshot of another one.
        Asks for it; returns the number of nodes that it has asked, or None if
        there are no others.
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
        query_others,
    ):
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._on_update = on_update
        self._query_others = query_others
        self._view = StoreView(
            directory, metrics, on_servers, on_configuration
        )
        self._correction_wait = create_correction_wait()
        # Whether everything has to be read before the next long poll.
        self._needs_reload = True
        # Whether the era may have changed since the last answer.
        self._is_era_uncertain = False
        self._intervals = ReadIntervals()
        self._read_thread = None
        self._waiting_since_ms = None
        self._reader_tracker = create_reader_tracker(clock.now_ms())
        self._reachability = StoreReachability(directory, metrics)
        self._messages = ReaderMessages(
            directory,
            self._view,
            self._reachability,
            self._intervals,
            self._reader_tracker,
        )
        self._decoder = UpdateDecoder(metrics)
        self._rng = random.Random()

    @property
    def is_loaded(self):
        """Whether servers and configuration have been loaded once."""
        return self._reachability.has_data and not self._view.is_provisional

    @property
    def position(self):
        """The `StorePosition` up to which all changes are applied, or None."""
        return self._view.position

    @property
    def has_evacuations(self):
        """Whether a data centre is evacuated."""
        return bool(self._directory.evacuations.in_force)

    def age_ms(self, now_ms):
        """Return the time since the data was last current, or None.

        A read of the store or an update from a reader confirms that the data
        is current.
        """
        return self._reachability.age_ms(now_ms)

    def set_reader_count(self, count):
        """Set the read intervals for a fleet with `count` readers."""
        self._intervals.set_reader_count(count)

    def set_reader(self, is_reader):
        """Set whether the node reads the store for others."""
        self._reader_tracker.set_reader(is_reader)

    def create_heartbeat(self):
        """Return a `StoreNews` without changes, or None without the store."""
        return self._messages.create_heartbeat(self._clock.now_ms())

    def apply_update(self, update):
        """Apply a `StoreNews` from a reader."""
        now_ms = self._clock.now_ms()
        self._directory.evacuations.apply_list(update.evacuations, now_ms)
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
            # The reader reaches the store again.
            self._directory.record_return()
        if not update.after <= own.revision <= update.revision:
            return
        if own.revision < update.revision:
            decoded = self._decoder.decode_update(
                update, self._view.configuration
            )
            if decoded.is_err():
                return
            self._metrics.count('store_news', outcome='taken')
            self._view.apply_changes(decoded.ok_value, now_ms)
        self._reachability.confirm(now_ms)
        self._view.confirm()

    def try_query_snapshot(self):
        """Record a query of a reader for a snapshot, if one is due now.

        Returns
        -------
        bool
            Whether it is due.
        """
        return self._reader_tracker.try_query_snapshot(
            self._view.position,
            self._reachability.is_reachable is False,
            self._clock.now_ms(),
        )

    def create_snapshot(self, as_msgpack=True, needs_evacuations=False):
        """Answer the fields of a `SnapshotQuery`; None if it is stale."""
        if self._needs_reload:
            return None
        return self._messages.create_snapshot(
            as_msgpack, needs_evacuations, self._clock.now_ms()
        )

    def apply_snapshot(self, snapshot):
        """Apply a `StoreSnapshot` from a reader if it is newer."""
        now_ms = self._clock.now_ms()
        own = self._view.position
        evacuations = self._directory.evacuations
        evacuations.apply_list(snapshot.evacuations, now_ms)
        is_newer = own is None or snapshot.position > own
        is_correction = self._correction_wait.is_unanswered
        if not is_newer and not is_correction:
            return
        decoded = self._decoder.decode_snapshot(snapshot)
        if decoded.is_err():
            return
        # Evacuations may have ended before a snapshot that names none.
        if is_newer and not (
            snapshot.evacuations is None and evacuations.in_force
        ):
            self._take_snapshot(snapshot, decoded.ok_value, own, now_ms)
        if is_correction:
            self._apply_corrections(snapshot, decoded.ok_value, now_ms)

    def _take_snapshot(self, snapshot, changes, own, now_ms):
        self._metrics.count('store_snapshots')
        _LOG.notice(
            'event=snapshot_taken position_before={} position={} servers={}',
            own,
            snapshot.position,
            len(snapshot.servers),
        )
        self._reachability.confirm(now_ms)
        self._needs_reload = False
        self._view.apply_complete(changes, now_ms)
        # What the sender does not trust is not trusted here.
        self._view.hold_back(snapshot.departed, now_ms)

    def _apply_corrections(self, snapshot, changes, now_ms):
        departed = ()
        # A sender of an earlier era does not know yet what the copy lists.
        if snapshot.era >= self._view.position.era:
            departed = snapshot.departed
            self._correction_wait.end()
        self._view.apply_corrections(changes, departed, now_ms)

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
        if self._correction_wait.is_waiting(now_ms):
            self._query_corrections(now_ms)
        if self._correction_wait.is_waiting(now_ms):
            return CORRECTION_QUERY_INTERVAL_MS
        if (
            not self._view.is_provisional
            and self._reader_tracker.relies_on_readers(position, now_ms)
        ):
            return FOLLOWER_CHECK_MS
        if self._needs_reload:
            return self._reload()
        return self._wait_for_changes(position)

    def _query_corrections(self, now_ms):
        asked_count = self._query_others()
        if asked_count is None:
            self._correction_wait.end()
        elif asked_count:
            self._correction_wait.record_query(now_ms)

    def _wait_for_changes(self, position):
        wait_ms = self._intervals.long_poll_ms
        if self._is_era_uncertain or self._view.is_provisional:
            # The store may have returned from an older copy. An answer tells
            # its era; a long poll might wait until it is at the revision that
            # this node had reached before.
            wait_ms = 0.0
        started_ms = self._waiting_since_ms = self._clock.now_ms()
        outcome = self._store.wait_for_changes(position.revision, wait_ms)
        self._waiting_since_ms = None
        changes = outcome.unwrap_or_else(lambda failure: failure)
        if self._view.resolve_era(changes.era) != position.era:
            return self._handle_other_era(changes.era)
        if outcome.is_err():
            if changes.is_cut:
                return self._record_cut(started_ms)
            return self._record_failure(changes, self._retry_delay_ms)
        now_ms = self._clock.now_ms()
        self._reachability.record_success(position, now_ms)
        self._is_era_uncertain = False
        held = self._view.configuration
        self._view.apply_changes(changes, now_ms)
        if self._view.position > position:
            self._on_update(
                self._messages.create_update(position, changes, held, now_ms)
            )
        return self._intervals.batch_delay_ms if changes.servers else 0.0

    @property
    def _retry_delay_ms(self):
        return self._intervals.retry_delay_ms(self._reader_tracker.is_reader)

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
        now_ms = self._clock.now_ms()
        self._reachability.record_success(own, now_ms)
        self._needs_reload = self._is_era_uncertain = False
        if own is not None and era > own.era:
            # The followers defer removals, as this node does.
            self._reachability.record_outage(now_ms)
        self._view.apply_complete(changes, now_ms, is_first)
        if is_first:
            self._correction_wait.begin(era, now_ms)
        if own is not None and era > own.era:
            self._on_update(self._messages.create_era_heartbeat(now_ms))
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

    def _record_cut(self, started_ms):
        """Handle the cut of a long poll that started at a time.

        The next read returns at once. It tells whether the store is available,
        and its era. Calls that are cut early are not repeated faster than
        failed ones.
        """
        now_ms = self._clock.now_ms()
        self._is_era_uncertain = True
        self._reachability.record_cut(now_ms)
        return max(0.0, started_ms + self._retry_delay_ms - now_ms)

    def _record_failure(self, failure, delay_ms):
        position = self._view.position
        if failure.is_history_lost:
            self._metrics.count('store_reads', outcome='history_lost')
            _LOG.notice(
                'event=store_history_lost position={} detail="{}"',
                position,
                failure.detail,
            )
            self._needs_reload = True
            return 0.0
        self._is_era_uncertain = True
        self._reachability.record_failure(
            position,
            failure.detail,
            not failure.is_rate_limited,
            self._clock.now_ms(),
        )
        return delay_ms


def create_store_watcher(
    store,
    directory,
    clock,
    metrics,
    on_servers,
    on_configuration,
    on_update=lambda update: None,
    query_others=lambda: None,
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
        query_others,
    )
