"""Creates the messages by which a reader passes on the store's contents."""

from hawthornfold.directory.update_codec import create_heartbeat
from hawthornfold.directory.update_codec import create_snapshot
from hawthornfold.directory.update_codec import create_update

# Delay until the next long poll; a reader passes on nothing older than both.
VOUCH_GRACE_MS = 2_000.0


class ReaderMessages:
    """Creates a node's messages for followers.

    Parameters
    ----------
    directory : ServerDirectory
        The servers and evacuations.
    view : StoreView
        What the node holds of the store.
    reachability : StoreReachability
        When the node has last read the store.
    intervals : ReadIntervals
        The node's read intervals.
    reader_tracker : ReaderTracker
        The newest position that any node has reported.
    """

    def __init__(
        self, directory, view, reachability, intervals, reader_tracker
    ):
        self._directory = directory
        self._view = view
        self._reachability = reachability
        self._intervals = intervals
        self._reader_tracker = reader_tracker

    def create_heartbeat(self, now_ms):
        """Return a `StoreNews` without changes, or None without the store."""
        own = self._view.position
        if not self._can_vouch_for(own, now_ms):
            return None
        position = max(own, self._reader_tracker.known_position)
        if position.era > own.era:
            # This node has yet to read the new era, and cannot vouch for it.
            return None
        return create_heartbeat(
            position,
            self._reachability.outage_age_ms(now_ms),
            self._directory.evacuations.create_list(now_ms),
        )

    def create_era_heartbeat(self, now_ms):
        """Return a `StoreNews` by which followers learn of a new era.

        They ask for a snapshot then.
        """
        return create_heartbeat(
            self._view.position,
            None,
            self._directory.evacuations.create_list(now_ms),
        )

    def create_update(self, position, changes, held, now_ms):
        """Return a `StoreNews` with changes.

        Parameters
        ----------
        position, changes, held : StorePosition, StoreChanges, object
            As for `update_codec.create_update`.
        now_ms : float
            Current time.
        """
        return create_update(
            position,
            changes,
            held,
            self._reachability.outage_age_ms(now_ms),
            self._directory.evacuations.create_list(now_ms),
        )

    def create_snapshot(self, as_msgpack, needs_evacuations, now_ms):
        """Return a `StoreSnapshot`, or None if it may be stale."""
        position = self._view.position
        if not self._can_vouch_for(position, now_ms):
            return None
        return create_snapshot(
            position,
            self._directory,
            self._view.configuration,
            as_msgpack,
            self._directory.evacuations.create_list(now_ms, needs_evacuations),
            self._view.configuration_era,
        )

    def _can_vouch_for(self, position, now_ms):
        """Return whether this node may pass on what it holds of the store."""
        age_ms = self._reachability.age_ms(now_ms)
        return (
            position is not None
            and self._reachability.is_reachable
            and not self._view.is_provisional
            # Otherwise this node was paused, and has not read the store since.
            and age_ms <= self._intervals.long_poll_ms + VOUCH_GRACE_MS
        )
