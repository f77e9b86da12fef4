"""Remembers the revisions at which the records of servers were written.

After the store returned from an older copy its revisions are given out again.
A record that the copy lists at a revision at which this node has seen it
written shows that the copy contains all changes up to that revision.
"""

import collections

# Number of revisions that are remembered of a server. Servers write their
# records every two seconds, and a copy is some seconds old.
MAX_REVISIONS = 8


class WrittenRevisions:
    """The last revisions of the records of servers, in one era."""

    def __init__(self):
        self._revisions = {}

    def record_changes(self, changes):
        """Record at which revisions records were written.

        Parameters
        ----------
        changes : iterable of ServerChange
            Changes and complete lists of the era in force.
        """
        for change in changes:
            if change.record is None:
                self.discard(change.server_id)
            elif change.revision:
                known = self._revisions.setdefault(
                    change.server_id, collections.deque(maxlen=MAX_REVISIONS)
                )
                if change.revision not in known:
                    known.append(change.revision)

    def discard(self, server_id):
        """Forget the revisions of a server."""
        self._revisions.pop(server_id, None)

    def clear(self):
        """Forget all revisions, because a new era has begun."""
        self._revisions.clear()

    def find_last_common(self, changes):
        """Return the last revision that a copy has in common with this node.

        Parameters
        ----------
        changes : iterable of ServerChange
            The first complete list after a restore.

        Returns
        -------
        int
            0 if none is known.
        """
        return max(
            (
                change.revision
                for change in changes
                if change.revision in self._revisions.get(change.server_id, ())
            ),
            default=0,
        )
