"""Queue of the updates that probes and their answers carry."""

import collections

# Maximum total cost of the updates in one message. An update about a live
# member takes about 65 bytes and one about a lost member half of that, so
# this limits the updates of a message to about 800 bytes.
MAX_MESSAGE_COST = 24
LIVE_COST = 2
LOST_COST = 1


class GossipQueue:
    """Names whose records are to be sent, each a limited number of times.

    Names that were added last are sent first.
    """

    def __init__(self):
        self._remaining = {}
        self._order = collections.deque()

    @property
    def length(self):
        """Number of queued names."""
        return len(self._remaining)

    def add(self, name, transmissions):
        """Queue the record of `name` for a number of transmissions.

        If the name is queued already, its count starts again.
        """
        if name not in self._remaining:
            self._order.appendleft(name)
        self._remaining[name] = transmissions

    def take_names(self, cost_of, budget=MAX_MESSAGE_COST):
        """Return names to send and count one transmission of each.

        Parameters
        ----------
        cost_of : callable
            Returns the cost of the record of a given name.
        budget : int
            Maximum total cost of the returned names.

        Examples
        --------
        >>> queue = GossipQueue()
        >>> queue.add('a', 1)
        >>> queue.add('b', 2)
        >>> queue.take_names(lambda name: LIVE_COST)
        ['b', 'a']
        >>> queue.take_names(lambda name: LIVE_COST)
        ['b']
        >>> queue.take_names(lambda name: LIVE_COST)
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
