"""Defers removals of servers that are received around an outage.

A removed record normally means that the server leaves. After an outage of the
store, however, records of live servers may have expired, and those servers
write them again soon after the store returns.
"""

import math
import typing

# Removals are deferred until this long after an outage. Servers write expired
# records again within 2 s of the store's return.
REMOVAL_GRACE_MS = 2_300.0
# Number of outages in a row that defer the same removal. A live server can
# write its record again after each of them.
MAX_OUTAGES = 3
# Two outages are at least so far apart, as a failed read is repeated after 400
# ms. Messages of readers about the same outage differ by less.
MIN_OUTAGE_INTERVAL_MS = 300.0


class _PendingRemoval(typing.NamedTuple):
    received_ms: float
    due_ms: float
    # Number of the latest outage when the removal was received.
    outage_number: int


class DeferredRemovals:
    """The deferred removals, by server id."""

    def __init__(self):
        self._pending = {}
        self._deferred_until_ms = 0.0
        self._outage_number = 0
        # When the latest outage that has a number was recorded.
        self._counted_ms = -math.inf
        self._is_available = True

    @property
    def server_ids(self):
        """The ids of the servers whose removal is deferred."""
        return tuple(self._pending)

    def covers(self, server_id):
        """Return whether the removal of a server is deferred."""
        return server_id in self._pending

    def defers(self, now_ms):
        """Return whether a removal that is received now is deferred."""
        return now_ms < self._deferred_until_ms

    def received_ms(self, server_id, default_ms):
        """Return when a removal was received; a default if not deferred."""
        removal = self._pending.get(server_id)
        return default_ms if removal is None else removal.received_ms

    def list_due(self, now_ms):
        """Return the ids of the servers whose removal is due."""
        return [
            server_id
            for server_id, removal in self._pending.items()
            if removal.due_ms <= now_ms
        ]

    def record_outage(self, now_ms):
        """Record that the store did not answer until now; defer removals."""
        until_ms = now_ms + REMOVAL_GRACE_MS
        if until_ms <= self._deferred_until_ms:
            return
        if (
            self._is_available
            and now_ms >= self._counted_ms + MIN_OUTAGE_INTERVAL_MS
        ):
            self._is_available = False
            self._counted_ms = now_ms
            self._outage_number += 1
        self._deferred_until_ms = until_ms
        self._pending = {
            server_id: removal._replace(due_ms=until_ms)
            if self._outage_number - removal.outage_number < MAX_OUTAGES
            else removal
            for server_id, removal in self._pending.items()
        }

    def record_return(self):
        """Record that the store answers; a later outage is another one."""
        self._is_available = True

    def add(self, server_id, now_ms):
        """Defer a removal; a repeated one keeps its time."""
        self._pending.setdefault(
            server_id,
            _PendingRemoval(
                now_ms, self._deferred_until_ms, self._outage_number
            ),
        )

    def discard(self, server_id):
        """Forget a removal that is carried out, or no longer applies."""
        self._pending.pop(server_id, None)


def create_deferred_removals():
    """Create an empty set of removals that defers none yet.

    Examples
    --------
    >>> removals = create_deferred_removals()
    >>> removals.record_outage(1_000.0)
    >>> removals.defers(1_001.0)
    True
    >>> removals.add('s1', 1_001.0)
    >>> removals.list_due(1_000.0 + REMOVAL_GRACE_MS)
    ['s1']
    """
    return DeferredRemovals()
