"""Tracks which parts of a query other nodes are still gathering."""


class GroupAttempts:
    """The groups of parts that other nodes gather, by attempt number.

    A part is open until it is answered, until the node reports that it will
    not run, or until its group has ended. A group of which no part is open is
    no longer running.
    """

    def __init__(self):
        self._open_parts = {}

    @property
    def is_any_running(self):
        """Whether a part of any group is open."""
        return bool(self._open_parts)

    def open_parts(self, attempt):
        """Return the indexes of the open parts of a group, in order."""
        return sorted(self._open_parts.get(attempt, ()))

    def start(self, attempt, indexes):
        """Record that a node was sent the parts with these indexes."""
        self._open_parts[attempt] = set(indexes)

    def close_parts(self, attempt, indexes):
        """Record that parts of a group were answered or will not run.

        Raises
        ------
        ValueError
            If a part is not an open part of the group, or is named twice.
            Nothing is recorded.
        """
        open_parts = self._open_parts.get(attempt, set())
        closed = set(indexes)
        if len(closed) < len(indexes) or not closed <= open_parts:
            raise ValueError('the reply is not about open parts of the group')
        open_parts -= closed
        if not open_parts:
            self._open_parts.pop(attempt, None)

    def end(self, attempt):
        """Remove a group and return the indexes of its open parts."""
        indexes = self.open_parts(attempt)
        self._open_parts.pop(attempt, None)
        return indexes
