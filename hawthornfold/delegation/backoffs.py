"""Tracks which nodes get no offers for some time."""

import typing

# A node that declined gets no offer for the first time, which doubles with
# each further decline up to the second: a node that has lost its servers
# declines for seconds, one with an older configuration for a moment.
DECLINED_BACKOFF_MS = 200.0
MAX_DECLINED_BACKOFF_MS = 3_200.0
# A node that did not reply, or that has lost its servers, gets no offer for
# this long.
SILENT_BACKOFF_MS = 2_000.0
# A decline counts as a further one until this long after the backoff.
MEMORY_MS = 3_200.0


class _Backoff(typing.NamedTuple):
    until_ms: float
    declined_ms: float
    is_isolated: bool


class NodeBackoffs:
    """The nodes that have declined or did not reply lately."""

    def __init__(self):
        self._backoffs = {}

    def list_names(self, now_ms):
        """Return the names of the nodes that get no offers now."""
        names = []
        for name, backoff in tuple(self._backoffs.items()):
            if now_ms < backoff.until_ms:
                names.append(name)
            elif now_ms - backoff.until_ms > MEMORY_MS:
                del self._backoffs[name]
        return names

    def list_isolated(self, now_ms):
        """Return the names of those that have lost their servers."""
        return [
            name
            for name in self.list_names(now_ms)
            if self._backoffs[name].is_isolated
        ]

    def record_success(self, name):
        """Record that a node has accepted."""
        self._backoffs.pop(name, None)

    def record_decline(self, name, now_ms):
        """Record that a node declined."""
        known = self._backoffs.get(name)
        declined_ms = DECLINED_BACKOFF_MS
        if known is not None and known.declined_ms:
            declined_ms = min(2.0 * known.declined_ms, MAX_DECLINED_BACKOFF_MS)
        self._backoffs[name] = _Backoff(
            now_ms + declined_ms, declined_ms, False
        )

    def record_silence(self, name, now_ms):
        """Record that a node did not reply."""
        self._backoffs[name] = _Backoff(now_ms + SILENT_BACKOFF_MS, 0.0, False)

    def record_isolated(self, name, now_ms):
        """Record that a node has lost its links to all servers."""
        self._backoffs[name] = _Backoff(now_ms + SILENT_BACKOFF_MS, 0.0, True)


def create_node_backoffs():
    """Create a record without any node."""
    return NodeBackoffs()
