"""Tracks whether a node can rely on its readers.

Readers of the store regularly send the position up to which they have read.
A node reads the store itself if it receives no heartbeat from any of its
readers, or if a position has been reported whose changes it has not received.
"""

import math
import random

from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.positions import StorePosition

# Interval of the heartbeats of readers that can reach the store.
HEARTBEAT_INTERVAL_MS = 500.0
# Readers count as lost when this much time has passed since their last
# heartbeat: a little over three intervals.
READER_TIMEOUT_MS = 1_600.0
# An announced change may arrive this much later than the announcement, for
# example from the other reader.
MISSED_UPDATE_GRACE_MS = 250.0
# A node that learns of a new era asks its readers for a snapshot. It reads the
# store itself only after this time, and a random part of the second one, so
# that not all nodes read everything at the same time.
ERA_GRACE_MS = 1_500.0
ERA_SPREAD_MS = 1_500.0
# Minimum interval at which a node that cannot read the store queries a reader
# for a snapshot.
SNAPSHOT_QUERY_INTERVAL_MS = 1_000.0


class ReaderTracker:
    """Tracks the heartbeats of a node's readers and the newest position.

    The start of a node counts as a heartbeat: the node has just read the store
    once and waits `READER_TIMEOUT_MS` for its readers.

    Parameters
    ----------
    started_ms : float
        Time at which the node started.
    rng : random.Random
        Spreads the reads of all nodes after a restore of the store.
    """

    def __init__(self, started_ms, rng):
        self._is_reader = False
        self._rng = rng
        self._last_heartbeat_ms = started_ms
        self._known_position = StorePosition(UNKNOWN_ERA, 0)
        # Time since which a newer position than the node's own is known, and
        # since when a newer era.
        self._behind_since_ms = None
        self._older_since_ms = None
        self._era_grace_ms = 0.0
        self._snapshot_query_ms = -math.inf

    @property
    def is_reader(self):
        """Whether the node reads the store for others."""
        return self._is_reader

    @property
    def known_position(self):
        """The newest `StorePosition` that any node has reported."""
        return self._known_position

    def set_reader(self, is_reader):
        """Set whether the node reads the store for others."""
        self._is_reader = is_reader

    def record_heartbeat(self, position, now_ms):
        """Record that a reader has read up to a position.

        A reader of an earlier era than the newest known one is behind, and
        does not count as a reader until it has read the new era.
        """
        if position.era >= self._known_position.era:
            self._last_heartbeat_ms = now_ms
        self.record_position(position)

    def record_position(self, position):
        """Record that the store has reached a position."""
        self._known_position = max(self._known_position, position)

    def relies_on_readers(self, own_position, now_ms):
        """Return whether the node need not read the store itself."""
        self._update_lag(own_position, now_ms)
        return (
            not self._is_reader
            and now_ms - self._last_heartbeat_ms < READER_TIMEOUT_MS
            and (
                self._behind_since_ms is None
                or now_ms - self._behind_since_ms < MISSED_UPDATE_GRACE_MS
            )
            and (
                self._older_since_ms is None
                or now_ms - self._older_since_ms < self._era_grace_ms
            )
        )

    def try_query_snapshot(self, own_position, is_cut_off, now_ms):
        """Record a query of a reader for a snapshot, if one is due now.

        It is due for a node that is behind and that the store refuses, and for
        a follower of an earlier era.

        Parameters
        ----------
        own_position : StorePosition or None
            What the node has applied.
        is_cut_off : bool
            Whether its last read of the store failed.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        bool
            Whether it is due.
        """
        known = self._known_position
        if own_position is None:
            is_behind, is_older = known.revision > 0, False
        else:
            is_behind = known > own_position
            is_older = known.era > own_position.era and not self._is_reader
        if (
            not is_behind
            or not (is_cut_off or is_older)
            or now_ms - self._snapshot_query_ms < SNAPSHOT_QUERY_INTERVAL_MS
        ):
            return False
        self._snapshot_query_ms = now_ms
        return True

    def _update_lag(self, own_position, now_ms):
        known = self._known_position
        if known.era > own_position.era:
            self._behind_since_ms = None
            if self._older_since_ms is None:
                self._older_since_ms = now_ms
                self._era_grace_ms = (
                    ERA_GRACE_MS + ERA_SPREAD_MS * self._rng.random()
                )
            return
        self._older_since_ms = None
        if known <= own_position:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now_ms


def create_reader_tracker(started_ms, rng=None):
    """Create a tracker for a node that has received no heartbeat.

    Examples
    --------
    >>> tracker = create_reader_tracker(0.0)
    >>> position = StorePosition(1, 7)
    >>> tracker.relies_on_readers(position, READER_TIMEOUT_MS)
    False
    >>> tracker.record_heartbeat(position, READER_TIMEOUT_MS)
    >>> tracker.relies_on_readers(position, READER_TIMEOUT_MS)
    True
    >>> tracker.set_reader(True)
    >>> tracker.relies_on_readers(position, READER_TIMEOUT_MS)
    False
    """
    return ReaderTracker(started_ms, rng or random.Random())
