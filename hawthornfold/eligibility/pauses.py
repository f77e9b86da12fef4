"""Keeps servers that request a pause without requests until it ends.

A server that is full answers 503 with Retry-After: it wants no request of this
node for that time. That is a limit and not a fault of the server.
"""

import typing

from hawthornfold.directory import ServerRecord
from hawthornfold.eligibility.restrictions import SendRestriction
from hawthornfold.eligibility.retry_after import MAX_PAUSE_MS


class _Pause(typing.NamedTuple):
    record: ServerRecord
    until_ms: float


class ServerPauses(SendRestriction):
    """The pauses that servers have requested, by server id.

    A pause belongs to one start of the server. There are at most as many as
    the directory lists servers if pauses are recorded for listed servers only.
    """

    # A full server refuses every node that sends to it.
    concerns_all_nodes = True

    def __init__(self):
        self._pauses = {}

    @property
    def count(self):
        """Number of servers with a pause that has not been taken as ended."""
        return len(self._pauses)

    def refuses(self, record, now_ms):
        """Return whether a server has requested a pause that still lasts."""
        pause = self._pauses.get(record.server_id)
        return (
            pause is not None
            and now_ms < pause.until_ms
            and not pause.record.is_replaced_by(record)
        )

    def free_ms(self, record, now_ms):
        """Return when the pause of a server ends, or None without one."""
        pause = self._pauses.get(record.server_id)
        return None if pause is None else pause.until_ms

    def record_send(self, record, now_ms):
        """Record nothing: a pause does not depend on what is sent."""

    def remove_server(self, server_id):
        """Remove the pause of a server that left or restarted."""
        self._pauses.pop(server_id, None)

    def record_pause(self, record, pause_ms, now_ms):
        """Record that a server requests a pause; the later end is kept.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        pause_ms : float
            Length of the pause from now on; more than `MAX_PAUSE_MS` counts as
            that.
        now_ms : float
            Current time on the node's clock.
        """
        until_ms = now_ms + min(pause_ms, MAX_PAUSE_MS)
        before = self._pauses.get(record.server_id)
        if before is not None and not before.record.is_replaced_by(record):
            until_ms = max(until_ms, before.until_ms)
        self._pauses[record.server_id] = _Pause(record, until_ms)

    def take_ended(self, now_ms):
        """Remove the pauses that have ended.

        Returns
        -------
        list of ServerRecord
            The servers whose pauses they were.
        """
        ended = [
            pause.record
            for pause in self._pauses.values()
            if pause.until_ms <= now_ms
        ]
        for record in ended:
            del self._pauses[record.server_id]
        return ended


def create_server_pauses():
    """Create the pauses of a node's servers.

    Examples
    --------
    >>> pauses = create_server_pauses()
    >>> record = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2)
    >>> pauses.record_pause(record, 1_500.0, 100.0)
    >>> pauses.refuses(record, 1_599.0), pauses.free_ms(record, 100.0)
    (True, 1600.0)
    >>> pauses.refuses(record, 1_600.0)
    False
    """
    return ServerPauses()
