"""The queue of updates that travel on probes and their answers."""

import collections

# An update about a live member takes about 65 bytes, one about a lost
# member half of that: the budget bounds a message to about 800 bytes.
BUDGET = 24
LIVE_COST = 2
LOST_COST = 1


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

    def take(self, cost_of, budget=BUDGET):
        """Return names to send and count one transmission of each.

        Parameters
        ----------
        cost_of : callable
            Returns the cost of sending the record of a name.
        budget : int
            Upper bound of the total cost.

        Examples
        --------
        >>> queue = GossipQueue()
        >>> queue.add('a', 1)
        >>> queue.add('b', 2)
        >>> queue.take(lambda name: LIVE_COST)
        ['b', 'a']
        >>> queue.take(lambda name: LIVE_COST)
        ['b']
        >>> queue.take(lambda name: LIVE_COST)
        []
        """
        names = []
        kept = []
        while self._order:
            name = self._order[0]
            budget -= cost_of(name)
            if budget < 0:
                break
            self._order.popleft()
            names.append(name)
            self._remaining[name] -= 1
            if self._remaining[name] > 0:
                kept.append(name)
            else:
                del self._remaining[name]
        self._order.extend(kept)
        return names
