"""Queues the sub-requests of one backend server at its owner.

Items run in order of urgency, then of deadline. When more items wait than can
run by their deadline, the items of the lowest urgency and, among these, with
the highest hash of the request id are refused. This rank depends only on the
query, so that owners of all servers shed the same queries under overload.
"""

import heapq
import typing

# Default maximum number of waiting items.
QUEUE_CAPACITY = 256
# Weight of a new sample of the service time.
SERVICE_SMOOTHING = 0.1
# Share of its remaining time that an item may spend in the queue. The rest is
# for the service, whose latency has a long tail, and for a hedge.
WAIT_SHARE = 0.5


class QueueItem(typing.NamedTuple):
    """A waiting sub-request; items sort by dispatch order.

    Parameters
    ----------
    urgency : int
        0 is the most urgent.
    deadline_ms : float
        Deadline on the owner's clock.
    order : int
        Hash of the request id.
    sequence : int
        Unique number, so that payloads are never compared.
    queued_ms : float
        When the item was queued.
    payload : object
        The sub-request that the owner dispatches.
    """

    urgency: int
    deadline_ms: float
    order: int
    sequence: int
    queued_ms: float
    payload: object


class ServerQueue:
    """Tracks the waiting and running sub-requests of one server."""

    def __init__(self, slots, capacity):
        self._slots = slots
        self._capacity = capacity
        # Cancelled items are removed from `_waiting` at once, and from the
        # heap when they are popped.
        self._heap = []
        self._waiting = {}
        self._running = 0
        self._sequence = 0
        self._service_ms = 0.0

    @property
    def depth(self):
        """Number of sub-requests that are waiting or running."""
        return len(self._waiting) + self._running

    @property
    def running(self):
        """Number of sub-requests in flight to the server."""
        return self._running

    @property
    def slots(self):
        """Maximum number of sub-requests in flight to the server."""
        return self._slots

    @property
    def service_ms(self):
        """Smoothed exchange time in milliseconds, 0 without samples."""
        return self._service_ms

    def set_slots(self, slots):
        """Set the number of slots, for a ramp or a changed layout."""
        self._slots = max(1, slots)

    def push(self, urgency, deadline_ms, order, now_ms, payload):
        """Queue an item.

        Returns
        -------
        tuple of (int or None, QueueItem or None)
            The sequence number for `cancel`, or None if the item was
            refused; and the waiting item of lower rank that was evicted for
            it, if any.
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
        """Return how many items may wait so that `item` can finish in time.

        With more waiting items, some would expire and their callers would
        have waited for nothing.
        """
        if self._service_ms == 0.0:
            return self._capacity
        allowed_ms = WAIT_SHARE * (item.deadline_ms - now_ms)
        rounds = allowed_ms / self._service_ms
        return max(1, min(self._capacity, int(rounds * self._slots)))

    def cancel(self, sequence):
        """Remove an item; return whether it was waiting."""
        return self._waiting.pop(sequence, None) is not None

    def pop(self, now_ms):
        """Remove and return the next item to run.

        Returns
        -------
        tuple of (QueueItem or None, list of QueueItem)
            The item, or None if no slot is free or nothing waits; and the
            removed items that could no longer finish by their deadline.
        """
        expired = []
        if self._running >= self._slots:
            return None, expired
        while self._heap:
            item = heapq.heappop(self._heap)
            if self._waiting.pop(item.sequence, None) is None:
                continue
            # An item needs at least half of the smoothed service time.
            # Otherwise it would probably not finish, and would use a slot
            # that other items need.
            if now_ms + 0.5 * self._service_ms >= item.deadline_ms:
                expired.append(item)
                continue
            self._running += 1
            return item, expired
        return None, expired

    def put_back(self, item):
        """Free the slot of an item that has not run; it waits again."""
        self._running -= 1
        self._waiting[item.sequence] = item
        heapq.heappush(self._heap, item)

    def finish(self, service_ms=None):
        """Free a slot; `service_ms` is None for a cancelled exchange."""
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
    """Return the rank for shedding; the highest rank is shed first.

    The rank depends on the query and not on the time of arrival, so that the
    owners of all servers shed the same queries.
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
