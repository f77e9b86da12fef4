"""Keeps servers that began to leave usable while their service has no other.

A leaving server still serves for some time.
"""

import typing

from hawthornfold.directory.records import ServerRecord

# If a service has no other server, a leaving server is used for this long
# after it announced that it leaves, since it still serves for some time. Nodes
# may receive the announcement late, so this stays well below any drain time.
LAST_RESORT_MS = 1_000.0


class _Leaving(typing.NamedTuple):
    record: ServerRecord
    since_ms: float


class LastResortServers:
    """The servers that began to leave a short time ago, by server id."""

    def __init__(self):
        self._leaving = {}

    def list_servers(self, service, evacuated, now_ms):
        """Return the servers of a service that may still be used.

        Parameters
        ----------
        service : str
            Name of the service.
        evacuated : container of str
            The data centres whose servers are not used.
        now_ms : float
            Current time.

        Returns
        -------
        tuple of ServerRecord
            Those that began to leave less than `LAST_RESORT_MS` ago.
        """
        return tuple(
            leaving.record
            for leaving in self._leaving.values()
            if leaving.record.service == service
            and now_ms - leaving.since_ms < LAST_RESORT_MS
            and leaving.record.data_centre not in evacuated
        )

    def add(self, record, since_ms):
        """Record since when a server leaves."""
        self._leaving[record.server_id] = _Leaving(record, since_ms)

    def discard(self, server_id):
        """Forget a server, because it does not leave any more."""
        self._leaving.pop(server_id, None)

    def expire(self, now_ms):
        """Forget the servers that may not be used any more."""
        for server_id, leaving in list(self._leaving.items()):
            if now_ms - leaving.since_ms >= LAST_RESORT_MS:
                del self._leaving[server_id]


def create_last_resort_servers():
    """Create an empty set of leaving servers.

    Examples
    --------
    >>> servers = create_last_resort_servers()
    >>> servers.add(ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2), 0)
    >>> [x.server_id for x in servers.list_servers('portal', (), 999.0)]
    ['s1']
    >>> servers.list_servers('portal', (), LAST_RESORT_MS)
    ()
    """
    return LastResortServers()
