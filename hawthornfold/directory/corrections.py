"""Lets a node that starts after a restore learn what the copy lacks.

The store may have returned from an older copy. Nodes that have run since then
hold a newer configuration, and know servers that have left although the copy
lists them as ready.
"""

from hawthornfold.directory.positions import UNKNOWN_ERA

# How long a node that starts looks for another one. On a busy machine this
# took 145 and 345 ms, and once more than 400 ms.
FIND_LIMIT_MS = 1_000.0
# How long it waits for an answer once it has asked. The others answer within
# milliseconds, unless all have started as well, after a loss of power.
ANSWER_LIMIT_MS = 200.0
# Interval at which it asks.
CORRECTION_QUERY_INTERVAL_MS = 50.0


class CorrectionWait:
    """Decides whether a node waits for what others know of the store.

    It waits from its first complete read on, if the store reports an era: it
    may have been restored.
    """

    def __init__(self):
        self._until_ms = None
        self._has_asked = False

    def begin(self, era, now_ms):
        """Record the first complete read of a store in an era."""
        if era != UNKNOWN_ERA:
            self._until_ms = now_ms + FIND_LIMIT_MS

    @property
    def is_unanswered(self):
        """Whether an answer is of use; it may come after the wait."""
        return self._until_ms is not None

    def is_waiting(self, now_ms):
        """Return whether the node has to wait."""
        return self._until_ms is not None and now_ms < self._until_ms

    def record_query(self, now_ms):
        """Record that another node is asked."""
        if not self._has_asked:
            self._has_asked = True
            self._until_ms = min(self._until_ms, now_ms + ANSWER_LIMIT_MS)

    def end(self):
        """Record that the node knows what others know."""
        self._until_ms = None


def create_correction_wait():
    """Create the wait of a node that has read nothing yet.

    Examples
    --------
    >>> wait = create_correction_wait()
    >>> wait.begin(UNKNOWN_ERA, 0.0)
    >>> wait.is_waiting(1.0)
    False
    >>> wait.begin(2, 0.0)
    >>> wait.is_waiting(FIND_LIMIT_MS - 1.0)
    True
    >>> wait.record_query(100.0)
    >>> wait.is_waiting(100.0 + ANSWER_LIMIT_MS)
    False
    """
    return CorrectionWait()
