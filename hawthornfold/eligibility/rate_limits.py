"""Knows the rate limits that servers name in their responses.

A server in need names how many requests a second it takes from all nodes
together, for as long as its responses say so.
"""

import typing

from hawthornfold.directory import ServerRecord

# A limit that no response has named for this long is forgotten. The first
# response of a server that still has one names it again.
LIFETIME_MS = 60_000.0


class RateLimit(typing.NamedTuple):
    """A rate limit in force.

    Parameters
    ----------
    record : ServerRecord
        The server, at its current start.
    per_s : float
        Requests a second that it takes from all nodes together.
    since_ms : float
        When the node received the first response that named a limit.
    heard_ms : float
        When it received the last one.
    """

    record: ServerRecord
    per_s: float
    since_ms: float
    heard_ms: float


class RateLimitRegister:
    """The rate limits in force, by server id.

    A limit belongs to one start of the server. There are at most as many as
    the directory lists servers if limits are recorded for listed servers only.
    """

    def __init__(self):
        self._limits = {}

    @property
    def count(self):
        """Number of servers with a limit."""
        return len(self._limits)

    def get(self, server_id):
        """Return the `RateLimit` of a server, or None."""
        return self._limits.get(server_id)

    def describe(self):
        """Return the requests a second of each server with a limit."""
        return {
            server_id: limit.per_s for server_id, limit in self._limits.items()
        }

    def record_limit(self, record, per_s, heard_ms):
        """Record that a response names a limit.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        per_s : float
            Requests a second.
        heard_ms : float
            When this node or another one received the response.
        """
        before = self._limits.get(record.server_id)
        since_ms = heard_ms
        if before is not None:
            if record.is_replaced_by(before.record):
                # The response is from before the server's restart.
                return
            if not before.record.is_replaced_by(record):
                since_ms = before.since_ms
        self._limits[record.server_id] = RateLimit(
            record, per_s, since_ms, heard_ms
        )

    def record_absence(self, record, sent_ms):
        """Record that a response names no limit, which ends the limit.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        sent_ms : float
            When the request was sent. The response to a request that was sent
            before the limit was last named may be older than the limit.

        Returns
        -------
        bool
            Whether a limit has ended.
        """
        limit = self._limits.get(record.server_id)
        if (
            limit is None
            or sent_ms < limit.heard_ms
            or record.is_replaced_by(limit.record)
        ):
            return False
        del self._limits[record.server_id]
        return True

    def remove_server(self, server_id):
        """Remove the limit of a server that left or restarted."""
        self._limits.pop(server_id, None)

    def take_expired(self, now_ms):
        """Remove the limits that no response has named for `LIFETIME_MS`.

        Returns
        -------
        list of ServerRecord
            The servers whose limits they were.
        """
        expired = [
            limit.record
            for limit in self._limits.values()
            if now_ms - limit.heard_ms > LIFETIME_MS
        ]
        for record in expired:
            del self._limits[record.server_id]
        return expired


def create_rate_limit_register():
    """Create a register without limits.

    Examples
    --------
    >>> register = create_rate_limit_register()
    >>> record = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2)
    >>> register.record_limit(record, 11.5, 100.0)
    >>> register.get('s1').per_s
    11.5
    >>> register.record_absence(record, 90.0), register.count
    (False, 1)
    >>> register.record_absence(record, 100.0), register.count
    (True, 0)
    """
    return RateLimitRegister()
