"""Sheds whole queries of one service group when its servers are overloaded.

A query to N shards is only as good as its slowest shard, so dropping single
sub-requests of many queries wastes the work done for their other shards. Each
query has a priority level derived from its urgency and the hash of its id;
level 0 is shed last. Under overload the controller lowers the limit below
which levels are admitted. Owners order their queues by the same attributes,
so all of them favour the same queries.

The overload signal is the queueing delay that owners report with each answer,
as a share of the query's deadline. Late replies of one urgency class shed
queries of that class and of less urgent classes only: ordinary work that
waits behind urgent work is no reason to refuse urgent work. A decrease of the
limit sheds a share of the admitted load, measured from the arrivals; an
increase is smaller, so that the controller settles just below the capacity.
"""

LEVELS_PER_URGENCY = 64
URGENCY_COUNT = 3
LEVEL_COUNT = LEVELS_PER_URGENCY * URGENCY_COUNT
# Minimum time between two changes of the limit, and minimum number of replies
# before a change. After ten intervals with fewer replies the limit is raised
# without them. With few replies a single slow server
# looks like an overload: with intervals of 100 ms and no minimum number, 8 to
# 15% of ordinary queries were refused at 40% load.
INTERVAL_MS = 100.0
MIN_REPLIES = 20
# A reply is late when its sub-request was queued for more than this share of
# the query's deadline; the exchange with the server and a hedge need the rest.
LATE_DEADLINE_SHARE = 0.25
# An urgency class is overloaded when more than this share of its replies is
# late.
MAX_LATE_SHARE = 0.10
# Share of the admitted load that a decrease sheds when all replies are late;
# it is proportional to the share of late replies.
MAX_DECREASE_SHARE = 0.30
# Share of the admitted load by which an increase raises it.
INCREASE_SHARE = 0.02


def compute_priority(urgency, order):
    """Return the priority level of a query; level 0 is shed last.

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
        """Lowest level that is not admitted; `LEVEL_COUNT` admits all."""
        return self._limit

    def admits(self, priority):
        """Return whether a query of this priority level is admitted."""
        return priority < self._limit

    def record_arrival(self, priority, now_ms):
        """Count a query that arrived, whether it is admitted or not."""
        self._arrivals[priority] += 1
        self._advance(now_ms)

    def record_wait(self, urgency, wait_ms, deadline_ms, now_ms):
        """Count a reply by the queueing delay that its owner reported.

        Parameters
        ----------
        urgency : int
            Urgency class of the query.
        wait_ms : float
            Time that the sub-request was queued at its owner, in ms.
        deadline_ms : float
            Total time that the rule allows for the query, in ms.
        now_ms : float
            Current time in ms.
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
        # Earlier arrivals decay, so that the last few intervals determine
        # how much load each level carries.
        self._arrivals = [count * 0.8 for count in self._arrivals]
        self._replies = [0] * URGENCY_COUNT
        self._late = [0] * URGENCY_COUNT

    def _find_overloaded_class(self):
        """Return the most urgent class with too many late replies, or None."""
        for urgency in range(URGENCY_COUNT):
            replies = self._replies[urgency]
            if replies >= MIN_REPLIES and (
                self._late[urgency] > replies * MAX_LATE_SHARE
            ):
                return urgency
        return None

    def _is_idle(self, now_ms):
        """Return whether replies are too rare to reach the minimum number."""
        return now_ms - self._interval_start_ms > 10 * INTERVAL_MS

    def _lower_limit(self, floor, share):
        admitted = sum(self._arrivals[: self._limit])
        surplus = admitted * share
        # One level of the class stays admitted, so that its replies show
        # when the overload ends.
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
