"""Tracks whether a node can rely on its readers.

Readers of the store regularly send the revision up to which they have read.
A node reads the store itself if it receives no heartbeat from any of its
readers, or if a revision has been reported whose changes it has not received.
"""

# Interval of the heartbeats of readers that can reach the store.
HEARTBEAT_INTERVAL_MS = 500.0
# Readers count as lost when this much time has passed since their last
# heartbeat: a little over three intervals.
READER_TIMEOUT_MS = 1_600.0
# An announced change may arrive this much later than the announcement, for
# example from the other reader.
MISSED_UPDATE_GRACE_MS = 250.0
# Minimum interval at which a node that cannot read the store queries a reader
# for a snapshot.
SNAPSHOT_QUERY_INTERVAL_MS = 1_000.0


class ReaderTracker:
    """Tracks the heartbeats of a node's readers and the newest revision.

    The start of a node counts as a heartbeat: the node has just read the store
    once and waits `READER_TIMEOUT_MS` for its readers.

    Parameters
    ----------
    started_ms : float
        Time at which the node started.
    """

    def __init__(self, started_ms):
        self._is_reader = False
        self._last_heartbeat_ms = started_ms
        self._known_revision = 0
        # Time since which a newer revision than the node's own is known.
        self._behind_since_ms = None

    @property
    def is_reader(self):
        """Whether the node reads the store for others."""
        return self._is_reader

    @property
    def known_revision(self):
        """The newest revision of the store that any node has reported."""
        return self._known_revision

    def set_reader(self, is_reader):
        """Set whether the node reads the store for others."""
        self._is_reader = is_reader

    def record_heartbeat(self, revision, now_ms):
        """Record that a reader has read up to a revision."""
        self._last_heartbeat_ms = now_ms
        self.record_revision(revision)

    def record_revision(self, revision):
        """Record that the store has reached a revision."""
        self._known_revision = max(self._known_revision, revision)

    def relies_on_readers(self, own_revision, now_ms):
        """Return whether the node need not read the store itself."""
        if self._known_revision <= own_revision:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        return (
            not self._is_reader
            and now_ms - self._last_heartbeat_ms < READER_TIMEOUT_MS
            and (
                self._behind_since_ms is None
                or now_ms - self._behind_since_ms < MISSED_UPDATE_GRACE_MS
            )
        )


def create_reader_tracker(started_ms):
    """Create a tracker for a node that has received no heartbeat.

    Examples
    --------
    >>> tracker = create_reader_tracker(0.0)
    >>> tracker.relies_on_readers(7, READER_TIMEOUT_MS)
    False
    >>> tracker.record_heartbeat(7, READER_TIMEOUT_MS)
    >>> tracker.relies_on_readers(7, READER_TIMEOUT_MS)
    True
    >>> tracker.set_reader(True)
    >>> tracker.relies_on_readers(7, READER_TIMEOUT_MS)
    False
    """
    return ReaderTracker(started_ms)
