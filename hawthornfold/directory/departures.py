"""Remembers servers that left before the store returned from an older copy.

The copy may list a server as ready that has announced since that it leaves,
or whose record has been removed. The store's list then contradicts what it had
acknowledged, until the server or the expiry of its record corrects it.
"""

import typing

from hawthornfold.directory.revisions import WrittenRevisions

# How long a departure is remembered: longer than the age of a copy.
DEPARTURE_TTL_MS = 60_000.0
# A server that the copy lists as ready although it had left is not used for
# this long. The record of a server that is gone expires earlier, and a server
# that is leaving writes that again.
DISTRUST_MS = 6_000.0


class DepartedServer(typing.NamedTuple):
    """A server that has left although the store lists it as ready.

    Parameters
    ----------
    server_id : str
        Identifies the server.
    born_ms : int
        Its start, as in `ServerRecord`. Later starts have not left.
    """

    server_id: str
    born_ms: int


class _Departure(typing.NamedTuple):
    born_ms: int
    departed_ms: float


class _Distrusted(typing.NamedTuple):
    record: typing.Any
    until_ms: float


class Departures:
    """The departures of servers, and the records that contradict them."""

    def __init__(self):
        self._departures = {}
        self._distrusted = {}
        self._revisions = WrittenRevisions()

    @property
    def distrusted_records(self):
        """The listed records of servers that are not used for now."""
        return [item.record for item in self._distrusted.values()]

    def list_distrusted(self):
        """Return the ids of the servers that are not used, as a set."""
        return set(self._distrusted)

    def list_departed(self):
        """Return the `DepartedServer` of each server that is not used."""
        return tuple(
            DepartedServer(server_id, self._departures[server_id].born_ms)
            for server_id in self._distrusted
        )

    def record_departure(self, server_id, born_ms, now_ms):
        """Record that a start of a server is leaving or was removed.

        A departure of an earlier start does not replace that of a later one.
        """
        self._revisions.discard(server_id)
        before = self._departures.get(server_id)
        if before is not None:
            born_ms = max(born_ms, before.born_ms)
        self._departures[server_id] = _Departure(born_ms, now_ms)

    def record_changes(self, changes):
        """Record at which revisions the records of servers were written."""
        self._revisions.record_changes(changes)

    def infer_departures(self, changes, known_ids, now_ms):
        """Record servers that have left, but not while this node listed them.

        All revisions up to the last common one of the copy and this node
        belong to the changes that the node has seen. A server that the copy
        lists at one of them, and that the node does not know, has left since.

        Parameters
        ----------
        changes : iterable of ServerChange
            The first complete list after a restore.
        known_ids : container of str
            The ids of the servers that the node listed before.
        now_ms : float
            Current time.
        """
        last_common = self._revisions.find_last_common(changes)
        for change in changes:
            if (
                change.record is not None
                and 0 < change.revision < last_common
                and change.server_id not in known_ids
            ):
                self.record_departure(
                    change.server_id, change.record.born_ms, now_ms
                )
        self._revisions.clear()

    def forget(self, server_id):
        """Forget a departure, because the server wrote its record again."""
        self._departures.pop(server_id, None)
        self._distrusted.pop(server_id, None)

    def lacks_start(self, record, now_ms):
        """Return whether a record lacks the start that its server gave.

        Another writer has left it. A start that is earlier than that of the
        departure may be the server's: its clock may have been set back.
        """
        departure = self._departures.get(record.server_id)
        return (
            departure is not None
            and record.born_ms == 0 < departure.born_ms
            and now_ms - departure.departed_ms <= DEPARTURE_TTL_MS
        )

    def drop_listing(self, server_id):
        """Drop a distrusted record that the store no longer lists."""
        self._distrusted.pop(server_id, None)

    def distrusts(self, record, now_ms):
        """Hold back a record from a copy if its server had left.

        Parameters
        ----------
        record : ServerRecord
            A record of the first complete read after a restore.
        now_ms : float
            Current time.

        Returns
        -------
        bool
            Whether the record is held back. A record of a later start of the
            server, or one that says that it leaves, is not.
        """
        departure = self._departures.get(record.server_id)
        if (
            departure is None
            or record.is_draining
            or record.born_ms > departure.born_ms
            or now_ms - departure.departed_ms > DEPARTURE_TTL_MS
        ):
            return False
        self._distrusted[record.server_id] = _Distrusted(
            record, now_ms + DISTRUST_MS
        )
        return True

    def take_trusted(self, now_ms):
        """Return the records that are used from now on, and forget the rest.

        Returns
        -------
        list of ServerRecord
        """
        due = [
            item.record
            for item in self._distrusted.values()
            if item.until_ms <= now_ms
        ]
        for record in due:
            self.forget(record.server_id)
        for server_id, departure in list(self._departures.items()):
            if now_ms - departure.departed_ms > DEPARTURE_TTL_MS:
                del self._departures[server_id]
        return due
