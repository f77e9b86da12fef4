"""The queue of one backend server, held by its owner.

Items run in the order of urgency, then deadline. When more wait than can run
by their deadline, those of least urgency and highest hash of the request id
are refused. That depends on the query alone, so under overload the owners of
all servers drop the sub-requests of the same queries.
"""

import heapq
import typing

QUEUE_CAPACITY = 256
SERVICE_SMOOTHING = 0.1
# Part of its remaining time that an item may spend in the queue; the rest is
# for the service, whose tail is long, and for a hedge.
WAIT_SHARE = 0.5


class QueueItem(typing.NamedTuple):
    """A waiting sub-request; compares by dispatch order.

    Parameters
    ----------
    urgency : int
        0 is the most urgent.
    deadline_ms : float
        Owner's clock.
    order : int
        Hash of the request id.
    sequence : int
        Breaks ties, so that the payload is never compared.
    queued_ms : float
        When the item arrived.
    payload : object
        What the owner dispatches.
    """

    urgency: int
    deadline_ms: float
    order: int
    sequence: int
    queued_ms: float
    payload: object


class ServerQueue:
    """Waiting and running sub-requests of one server."""

    def __init__(self, slots, capacity):
        self._slots = slots
        self._capacity = capacity
        # Cancelled items leave `_waiting` at once and the heap when their
        # turn comes.
        self._heap = []
        self._waiting = {}
        self._running = 0
        self._sequence = 0
        self._service_ms = 0.0

    @property
    def depth(self):
        """Sub-requests waiting or running."""
        return len(self._waiting) + self._running

    @property
    def running(self):
        """Sub-requests in flight to the server."""
        return self._running

    @property
    def slots(self):
        """Sub-requests that may be in flight at once."""
        return self._slots

    @property
    def service_ms(self):
        """Smoothed time of an exchange in milliseconds, 0 at first."""
        return self._service_ms

    def set_slots(self, slots):
        """Change the number of slots (ramp-up, changed layout)."""
        self._slots = max(1, slots)

    def push(self, urgency, deadline_ms, order, now_ms, payload):
        """Queue an item.

        Returns
        -------
        tuple of (int or None, QueueItem or None)
            The sequence number for `cancel`, None when the item was refused;
            and a waiting item of lower rank that had to give way.
        """
        item = QueueItem(
            urgency, deadline_ms, order, self._sequence, now_ms, payload
        )
        self._sequence += 1
        evicted = None
        if len(self._waiting) >= self._waiting_limit(item, now_ms):
            evicted = max(self._waiting.values(), key=_shedding_rank)
            if _shedding_rank(evicted) <= _shedding_rank(item):
                return None, None
            del self._waiting[evicted.sequence]
        self._waiting[item.sequence] = item
        heapq.heappush(self._heap, item)
        return item.sequence, evicted

    def _waiting_limit(self, item, now_ms):
        """Return how many items may wait so that `item` has a chance.

        More would only expire after their callers have waited in vain.
        """
        if self._service_ms == 0.0:
            return self._capacity
        allowed_ms = WAIT_SHARE * (item.deadline_ms - now_ms)
        rounds = allowed_ms / self._service_ms
        return max(1, min(self._capacity, int(rounds * self._slots)))

    def cancel(self, sequence):
        """Drop a waiting item; return whether it was waiting."""
        return self._waiting.pop(sequence, None) is not None

    def pop(self, now_ms):
        """Take the next item to run.

        Returns
        -------
        tuple of (QueueItem or None, list of QueueItem)
            The item, None while no slot is free or nothing waits; and the
            items that could no longer finish by their deadline.
        """
        expired = []
        if self._running >= self._slots:
            return None, expired
        while self._heap:
            item = heapq.heappop(self._heap)
            if self._waiting.pop(item.sequence, None) is None:
                continue
            # Half the smoothed service time: work that has no fair chance
            # to finish would take a slot from work that has.
            if now_ms + 0.5 * self._service_ms >= item.deadline_ms:
                expired.append(item)
                continue
            self._running += 1
            return item, expired
        return None, expired

    def finish(self, service_ms=None):
        """Free a slot; `service_ms` is None for an aborted exchange."""
        self._running -= 1
        if service_ms is None:
            return
        if self._service_ms == 0.0:
            self._service_ms = service_ms
        else:
            self._service_ms += SERVICE_SMOOTHING * (
                service_ms - self._service_ms
            )

    def clear(self):
        """Remove and return all waiting items."""
        waiting = sorted(self._waiting.values())
        self._heap = []
        self._waiting = {}
        return waiting


def _shedding_rank(item):
    """Rank items for shedding: by the query only, never by arrival.

    The owners of all servers of a query thus shed the same queries.
    """
    return (item.urgency, item.order)


def create_server_queue(slots, capacity=QUEUE_CAPACITY):
    """Create the queue of a server with `slots` slots.

    Examples
    --------
    >>> queue = create_server_queue(slots=1)
    >>> _ = queue.push(1, 900.0, 5, 0.0, 'ordinary')
    >>> _ = queue.push(0, 900.0, 9, 0.0, 'urgent')
    >>> item, expired = queue.pop(1.0)
    >>> item.payload, expired
    ('urgent', [])
    >>> queue.pop(1.0)
    (None, [])
    """
    return ServerQueue(slots, capacity)
