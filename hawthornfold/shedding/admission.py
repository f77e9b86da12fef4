"""Sheds whole queries of one service group when its servers fall behind.

A query to N shards is only as good as its slowest shard, so dropping single
sub-requests of many queries wastes the rest of their work. Each query has a
priority made of its urgency and the hash of its id; under overload the
controller lowers the highest priority value that is admitted. Owners order
their queues by the same attributes, so all of them favour the same queries.

The signal is the queueing delay that owners report with each answer. The
step down is a share of the load that was admitted in the last interval,
measured from the arrivals; the step up is smaller, so that the controller
settles just below the capacity (additive increase, multiplicative decrease).
"""

LEVELS_PER_URGENCY = 64
URGENCIES = 3
LEVELS = LEVELS_PER_URGENCY * URGENCIES
INTERVAL_MS = 100.0
# Queueing delay above which a reply counts as late, by urgency. Ordinary and
# background work may wait longer; urgent work has a deadline near 83 ms.
LATE_WAIT_MS = (12.0, 40.0, 80.0)
# One late reply in ten is normal variation with two slots a server.
LATE_SHARE = 0.10
DECREASE_SHARE = 0.10
INCREASE_SHARE = 0.02


def compute_priority(urgency, order):
    """Return the admission level of a query, 0 first.

    Parameters
    ----------
    urgency : int
        0 is the most urgent.
    order : int
        Hash of the request id.

    Examples
    --------
    >>> compute_priority(0, 70), compute_priority(2, 0)
    (6, 128)
    """
    return urgency * LEVELS_PER_URGENCY + order % LEVELS_PER_URGENCY


class AdmissionController:
    """Admits the queries of one service group by priority."""

    def __init__(self):
        self._limit = LEVELS
        self._arrivals = [0] * LEVELS
        self._replies = 0
        self._late = 0
        self._interval_start_ms = 0.0

    @property
    def limit(self):
        """The first level that is not admitted; `LEVELS` admits all."""
        return self._limit

    def admits(self, priority):
        """Return whether a query of this priority is admitted now."""
        return priority < self._limit

    def record_arrival(self, priority, now_ms):
        """Count a query, admitted or not."""
        self._arrivals[priority] += 1
        self._advance(now_ms)

    def record_wait(self, urgency, wait_ms, now_ms):
        """Count a reply with the queueing delay its owner reported."""
        self._replies += 1
        if wait_ms > LATE_WAIT_MS[urgency]:
            self._late += 1
        self._advance(now_ms)

    def _advance(self, now_ms):
        if now_ms - self._interval_start_ms < INTERVAL_MS:
            return
        if self._replies and self._late > self._replies * LATE_SHARE:
            self._lower_limit()
        else:
            self._raise_limit()
        self._interval_start_ms = now_ms
        # Old arrivals fade, so that the level of the limit is worked out
        # from the last few intervals.
        self._arrivals = [count * 0.8 for count in self._arrivals]
        self._replies = 0
        self._late = 0

    def _lower_limit(self):
        admitted = sum(self._arrivals[: self._limit])
        surplus = admitted * DECREASE_SHARE
        while surplus > 0 and self._limit > 1:
            self._limit -= 1
            surplus -= self._arrivals[self._limit]

    def _raise_limit(self):
        admitted = sum(self._arrivals[: self._limit])
        room = max(admitted * INCREASE_SHARE, 0.1)
        while room > 0 and self._limit < LEVELS:
            room -= self._arrivals[self._limit]
            self._limit += 1


def create_admission_controller():
    """Create a controller that admits everything.

    Examples
    --------
    >>> controller = create_admission_controller()
    >>> controller.admits(compute_priority(2, 63))
    True
    """
    return AdmissionController()
