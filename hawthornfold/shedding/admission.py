"""Sheds whole queries of one service group when its servers fall behind.

A query to N shards is only as good as its slowest shard, so dropping single
sub-requests of many queries wastes the rest of their work. Each query has a
priority made of its urgency and the hash of its id; under overload the
controller lowers the highest priority value that is admitted. Owners order
their queues by the same attributes, so all of them favour the same queries.

The signal is the queueing delay that owners report with each answer, as a
share of the query's deadline. Delays of a class shed queries of that class
and of less urgent ones only: ordinary work that waits behind urgent work is
no reason to refuse urgent work. The step down is a share of the load that was
admitted, measured from the arrivals; the step up is smaller, so that the
controller settles just below the capacity.
"""

LEVELS_PER_URGENCY = 64
URGENCY_COUNT = 3
LEVEL_COUNT = LEVELS_PER_URGENCY * URGENCY_COUNT
# An interval ends after this long, once it has enough replies to judge by.
# With few replies a single slow server would look like an overload: at
# 100 ms and no minimum, 8 to 15% of ordinary queries were refused at 40%
# load.
INTERVAL_MS = 100.0
MIN_REPLIES = 20
# A reply is late when its sub-request waited for more than this share of the
# query's deadline; the service itself and a hedge need the rest.
LATE_DEADLINE_SHARE = 0.25
MAX_LATE_SHARE = 0.10
# The step down grows with the share of late replies, up to this part of the
# admitted load.
MAX_DECREASE_SHARE = 0.30
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
        self._limit = LEVEL_COUNT
        self._arrivals = [0] * LEVEL_COUNT
        self._replies = [0] * URGENCY_COUNT
        self._late = [0] * URGENCY_COUNT
        self._interval_start_ms = 0.0

    @property
    def limit(self):
        """The first level that is not admitted; `LEVEL_COUNT` admits all."""
        return self._limit

    def admits(self, priority):
        """Return whether a query of this priority is admitted now."""
        return priority < self._limit

    def record_arrival(self, priority, now_ms):
        """Count a query, admitted or not."""
        self._arrivals[priority] += 1
        self._advance(now_ms)

    def record_wait(self, urgency, wait_ms, deadline_ms, now_ms):
        """Count a reply with the queueing delay its owner reported.

        Parameters
        ----------
        urgency : int
            Of the query.
        wait_ms : float
            Time that the sub-request waited at its owner.
        deadline_ms : float
            Whole time that the query's rule allows.
        now_ms : float
            Current time.
        """
        self._replies[urgency] += 1
        if wait_ms > LATE_DEADLINE_SHARE * deadline_ms:
            self._late[urgency] += 1
        self._advance(now_ms)

    def _advance(self, now_ms):
        if now_ms - self._interval_start_ms < INTERVAL_MS:
            return
        overloaded_class = self._find_overloaded_class()
        if overloaded_class is not None:
            late_share = (
                self._late[overloaded_class] / self._replies[overloaded_class]
            )
            self._lower_limit(
                overloaded_class * LEVELS_PER_URGENCY,
                late_share * MAX_DECREASE_SHARE,
            )
        elif sum(self._replies) >= MIN_REPLIES or self._is_idle(now_ms):
            self._raise_limit()
        else:
            return
        self._interval_start_ms = now_ms
        # Old arrivals fade, so that the level of the limit is worked out
        # from the last few intervals.
        self._arrivals = [count * 0.8 for count in self._arrivals]
        self._replies = [0] * URGENCY_COUNT
        self._late = [0] * URGENCY_COUNT

    def _find_overloaded_class(self):
        """Return the most urgent class with too many late replies."""
        for urgency in range(URGENCY_COUNT):
            replies = self._replies[urgency]
            if replies >= MIN_REPLIES and (
                self._late[urgency] > replies * MAX_LATE_SHARE
            ):
                return urgency
        return None

    def _is_idle(self, now_ms):
        """Return whether too little arrives to ever judge by."""
        return now_ms - self._interval_start_ms > 10 * INTERVAL_MS

    def _lower_limit(self, floor, share):
        admitted = sum(self._arrivals[: self._limit])
        surplus = admitted * share
        # One level is always admitted, so that replies tell of recovery.
        while surplus > 0 and self._limit > floor + 1:
            self._limit -= 1
            surplus -= self._arrivals[self._limit]

    def _raise_limit(self):
        admitted = sum(self._arrivals[: self._limit])
        headroom = max(admitted * INCREASE_SHARE, 0.1)
        while headroom > 0 and self._limit < LEVEL_COUNT:
            headroom -= self._arrivals[self._limit]
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
