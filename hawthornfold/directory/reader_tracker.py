"""When a node relies on its readers, and when it reads by itself.

Readers say at a steady pace up to which revision they have read. A node that
hears from none of its readers, or of a revision that it was not sent, reads by
itself.
"""

# Readers that can read say so at this pace.
HEARTBEAT_INTERVAL_MS = 500.0
# A reader counts as lost after three beats.
READER_TIMEOUT_MS = 1_600.0
# A change that was announced may arrive later by this much, over the other
# reader for example.
MISSED_UPDATE_GRACE_MS = 250.0
# A node that the store does not serve asks a reader for everything at most
# this often.
SNAPSHOT_QUERY_INTERVAL_MS = 1_000.0


class ReaderTracker:
    """When a node relies on its readers.

    A node that has just started has read the store once, and gives its
    readers as much time as those that it has heard from.
    """

    def __init__(self, started_ms):
        self._is_reader = False
        self._last_heartbeat_ms = started_ms
        self._known_revision = 0
        # Since when a revision is known that the node does not have.
        self._behind_since_ms = None

    @property
    def is_reader(self):
        """Whether the node reads the store for others."""
        return self._is_reader

    @property
    def known_revision(self):
        """The newest revision that any node has told of."""
        return self._known_revision

    def set_reader(self, is_reader):
        """Take over whether this node reads."""
        self._is_reader = is_reader

    def record_heartbeat(self, revision, now_ms):
        """Take over that a reader has read up to a revision."""
        self._last_heartbeat_ms = now_ms
        self.record_revision(revision)

    def record_revision(self, revision):
        """Take over that the store has reached a revision."""
        self._known_revision = max(self._known_revision, revision)

    def relies_on_readers(self, own_revision, now_ms):
        """Return whether the node need not read by itself."""
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
    """Create the state of a node that has heard from no reader.

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
