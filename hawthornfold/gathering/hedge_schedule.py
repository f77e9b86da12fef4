"""Decides from when on the unanswered parts of a request are hedged.

Three rules apply, whichever is due first: the typical latency of an exchange
has passed; the other parts of the request took much less time; a later hedge
could not be answered before the objective. All of them count from the time at
which the node had sent the parts, so that its own work before that is not
taken for slowness of the servers.
"""

import math

# Pairs of a share of answered parts and a factor. When that share is answered,
# the other parts are stragglers: they are hedged once the elapsed time exceeds
# the factor times the time until then, plus a slack for the node's own work.
# The smaller share is for requests with many slow servers.
_STRAGGLER_FACTORS = ((0.6, 2.0), (0.85, 1.25))
_STRAGGLER_SLACK_MS = 3.0
# Minimum number of parts for the comparison of parts with each other; the
# times of fewer parts say too little about what is slow.
_MIN_SAMPLE_PARTS = 8
# Minimum share of answered parts for hedges that are due by the typical
# latency. When fewer parts are answered by then, the node or its link is late,
# not the servers, and hedges would only add to the load.
_MIN_ANSWERED_SHARE = 0.4
# Minimum share of answered parts for hedges that are due because a later one
# could not be answered before the objective. It bounds their number.
_LAST_CHANCE_SHARE = 0.8
# Interval between two checks for due hedges. It bounds their cost, because a
# check takes time in proportion to the number of parts.
_CHECK_INTERVAL_MS = 20.0


class HedgeSchedule:
    """Tracks the times at which hedges are due.

    Parameters
    ----------
    part_count : int
        Number of parts that the node itself sends to servers.
    arrived_ms : float
        When the request arrived.
    answer_ms : float
        When the answer must be sent to meet the objective.
    typical_ms : float
        Mean latency of an undisturbed exchange.
    typical_max_ms : float
        Latency that most undisturbed exchanges stay below.
    """

    def __init__(
        self, part_count, arrived_ms, answer_ms, typical_ms, typical_max_ms
    ):
        self._part_count = part_count
        self._answered_count = 0
        self._typical_max_ms = typical_max_ms
        self._sent_ms = arrived_ms
        self._due_ms = math.inf
        self._next_check_ms = arrived_ms
        self._min_answered_count = 0
        self._last_chance_ms = math.inf
        self._factors = {}
        if part_count >= _MIN_SAMPLE_PARTS:
            self._min_answered_count = _MIN_ANSWERED_SHARE * part_count
            self._last_chance_ms = answer_ms - typical_ms
            self._factors = {
                math.ceil(share * part_count): factor
                for share, factor in _STRAGGLER_FACTORS
            }

    @property
    def next_check_ms(self):
        """When hedges may be due next."""
        return self._next_check_ms

    def record_sent(self, now_ms):
        """Record when the first attempts of all parts were sent."""
        self._sent_ms = now_ms
        self._due_ms = now_ms + self._typical_max_ms

    def record_answer(self, now_ms):
        """Record that one of the parts was answered."""
        self._answered_count += 1
        factor = self._factors.get(self._answered_count)
        if factor is not None:
            elapsed_ms = now_ms - self._sent_ms
            delay_ms = factor * elapsed_ms + _STRAGGLER_SLACK_MS
            self._due_ms = min(self._due_ms, self._sent_ms + delay_ms)
            self._next_check_ms = min(self._next_check_ms, self._due_ms)

    def begin_check(self, now_ms):
        """Set the time of the next check; called at each check."""
        self._next_check_ms = now_ms + _CHECK_INTERVAL_MS
        if now_ms < self._due_ms:
            self._next_check_ms = min(self._next_check_ms, self._due_ms)

    def is_due(self, now_ms):
        """Return whether all unanswered parts are to be hedged."""
        if now_ms >= self._due_ms:
            return self._answered_count >= self._min_answered_count
        return (
            now_ms >= self._last_chance_ms
            and self._answered_count >= _LAST_CHANCE_SHARE * self._part_count
        )
