"""Collects the parts of a request that this node has no link for."""

import math

# Number of nodes that are asked for a part, and number of those that have no
# link to its servers either. Nodes that decline cost one hop each.
MAX_FAILOVERS = 4
MAX_UNSERVED = 2
# Parts that lack a server within this time are given to one node together:
# connections to several servers are refused one after the other.
COLLECT_MS = 1.0
# A service to which no node that was asked has a link is not asked for this
# long: about as long as a server takes to restart.
UNSERVED_BACKOFF_MS = 1_000.0


class UnservedServices:
    """The services to which several nodes lack a link at the same time.

    Their servers are out of service; other nodes are not asked again for some
    time.
    """

    def __init__(self):
        self._until_ms = {}

    def record(self, service, now_ms):
        """Record that no node that was asked has a link to a service."""
        self._until_ms[service] = now_ms + UNSERVED_BACKOFF_MS

    def contains(self, service, now_ms):
        """Return whether other nodes are not to be asked for a service."""
        until_ms = self._until_ms.get(service)
        if until_ms is None:
            return False
        if now_ms >= until_ms:
            del self._until_ms[service]
            return False
        return True


class FailoverParts:
    """The parts that wait to be given to another node.

    Parameters
    ----------
    unserved : UnservedServices or None
        Known to the node; None if other nodes may not be asked.
    """

    def __init__(self, unserved):
        self._unserved = unserved
        self._waiting = []
        self._due_ms = math.inf

    @property
    def due_ms(self):
        """When the waiting parts are to be sent; infinity without any."""
        return self._due_ms

    @property
    def is_any_waiting(self):
        """Whether a part waits to be given to another node."""
        return bool(self._waiting)

    def allows(self, part, now_ms):
        """Return whether a further node may be asked for a part."""
        return (
            self._unserved is not None
            and part.failover_count < MAX_FAILOVERS
            and part.unserved_count < MAX_UNSERVED
            and not self._unserved.contains(part.service, now_ms)
        )

    def record_unserved(self, part, now_ms):
        """Record that a part is given up, and not for its own limits."""
        if self._unserved is not None and part.unserved_count >= MAX_UNSERVED:
            self._unserved.record(part.service, now_ms)

    def add(self, index, part, now_ms):
        """Have a part be given to another node."""
        part.failover_count += 1
        part.is_held = True
        self._waiting.append(index)
        self._due_ms = min(self._due_ms, now_ms + COLLECT_MS)

    def take(self):
        """Return the indexes of the waiting parts, which wait no longer."""
        waiting, self._waiting = self._waiting, []
        self._due_ms = math.inf
        return tuple(waiting)
