"""The queue of updates that travel on probes and their answers."""

import collections

# 12 updates of about 65 bytes bound a message to roughly 900 bytes.
MAX_UPDATES = 12


class GossipQueue:
    """Updates to pass on, freshest first, each a limited number of times."""

    def __init__(self):
        self._remaining = {}
        self._order = collections.deque()

    @property
    def length(self):
        """Number of updates waiting."""
        return len(self._remaining)

    def add(self, name, transmissions):
        """Queue the record of `name`; a newer record restarts its count."""
        if name not in self._remaining:
            self._order.appendleft(name)
        self._remaining[name] = transmissions

    def take(self, limit=MAX_UPDATES):
        """Return up to `limit` names and count one transmission of each.

        Examples
        --------
        >>> queue = GossipQueue()
        >>> queue.add('a', 1)
        >>> queue.add('b', 2)
        >>> queue.take()
        ['b', 'a']
        >>> queue.take()
        ['b']
        >>> queue.take()
        []
        """
        names = []
        kept = []
        while self._order and len(names) < limit:
            name = self._order.popleft()
            names.append(name)
            self._remaining[name] -= 1
            if self._remaining[name] > 0:
                kept.append(name)
            else:
                del self._remaining[name]
        self._order.extend(kept)
        return names
