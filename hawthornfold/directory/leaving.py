"""Remembers servers whose responses announced that they leave.

A server that leaves says so in all its responses. The store may say later, or
never, that it leaves: while the store is unreachable, or returned from an
older copy, it still lists the server as ready. An announcement therefore
stands until the store lists a later start of the server.
"""

import typing

# An announcement is kept for this long after the directory has last held a
# record of the server's start. Later than that, no copy that the store may
# return from lists the start: copies are seconds to a minute old.
UNLISTED_TTL_MS = 600_000.0
# Without the time of its start, a restarted server can't be told from the one
# that left. That one has ended by then: servers leave within 6 s (`DrainMs`).
UNKNOWN_START_TTL_MS = 60_000.0
# Maximum number of announcements of servers that the directory does not hold,
# about 1 MB. A node would have to see 4,096 servers leave within
# `UNLISTED_TTL_MS`; the oldest announcements are dropped then.
MAX_UNLISTED = 4_096


class _Announcement(typing.NamedTuple):
    born_ms: int
    address: str
    since_ms: float
    # When the directory last held a record of the server's start.
    listed_ms: float


class LeavingServers:
    """The announcements of servers that they leave, by server id."""

    def __init__(self):
        self._announcements = {}

    @property
    def count(self):
        """Number of announcements that are kept."""
        return len(self._announcements)

    def covers(self, record):
        """Return whether the server of a record has announced that it leaves.

        Parameters
        ----------
        record : ServerRecord
            Any record. One of a later start of the server is not covered, nor
            is one at another address if the start is not known.
        """
        announcement = self._announcements.get(record.server_id)
        if announcement is None:
            return False
        if record.born_ms == announcement.born_ms == 0:
            return record.address == announcement.address
        return record.born_ms <= announcement.born_ms

    def has_ended(self, record):
        """Return whether a later start than that of a record announced it.

        The process of the record has ended before.
        """
        announcement = self._announcements.get(record.server_id)
        return (
            announcement is not None and record.born_ms < announcement.born_ms
        )

    def since_ms(self, server_id):
        """Return when a server first announced that it leaves."""
        return self._announcements[server_id].since_ms

    def record(self, record, now_ms):
        """Record that a response of a server announced that it leaves.

        Repeated announcements of one start change nothing.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        now_ms : float
            Current time.
        """
        if not self.covers(record):
            self._announcements[record.server_id] = _Announcement(
                record.born_ms, record.address, now_ms, now_ms
            )

    def expire(self, records, now_ms):
        """Drop the announcements that no listed record can contradict.

        Parameters
        ----------
        records : dict of str to ServerRecord
            The records that the directory holds.
        now_ms : float
            Current time.
        """
        unlisted = []
        for server_id, announcement in list(self._announcements.items()):
            record = records.get(server_id)
            is_listed = (
                record is not None
                # A record without the time of its start may be of a later one.
                and record.born_ms > 0
                and self.covers(record)
            )
            if announcement.born_ms == 0:
                is_kept = now_ms - announcement.since_ms < UNKNOWN_START_TTL_MS
            else:
                is_kept = (
                    is_listed
                    or now_ms - announcement.listed_ms < UNLISTED_TTL_MS
                )
            if not is_kept:
                del self._announcements[server_id]
            elif is_listed:
                self._announcements[server_id] = announcement._replace(
                    listed_ms=now_ms
                )
            else:
                unlisted.append((announcement.listed_ms, server_id))
        unlisted.sort()
        for _, server_id in unlisted[: max(0, len(unlisted) - MAX_UNLISTED)]:
            del self._announcements[server_id]


def create_leaving_servers():
    """Create an empty set of announcements.

    Examples
    --------
    >>> from hawthornfold.directory.records import ServerRecord
    >>> leaving = create_leaving_servers()
    >>> record = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2)
    >>> leaving.record(record._replace(born_ms=5), 0.0)
    >>> leaving.covers(record._replace(born_ms=5))
    True
    >>> leaving.covers(record._replace(born_ms=6))
    False
    """
    return LeavingServers()
