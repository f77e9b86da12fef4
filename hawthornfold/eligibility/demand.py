"""Estimates how many requests a second a node would send to a server.

Requests are counted by class: the urgencies first, hedges and retries last.
"""

import math

# Numbers of the classes that share a rate limit. A lower number goes first;
# the urgencies of rules are the first ones.
URGENCY_COUNT = 3
REPEAT_CLASS = URGENCY_COUNT
CLASS_COUNT = URGENCY_COUNT + 1
# Time constant of the moving average. A fleet with 45 requests a second knows
# its demand to 10%, and follows a burst in a second.
TIME_CONSTANT_MS = 1_000.0
# The average starts at zero. Until the time constant has passed, it is scaled
# up by the part of it that is known, which counts as no less than this.
MIN_KNOWN_PART = 0.3
_MS_PER_S = 1_000.0


def get_demand_class(urgency, is_repeat):
    """Return the class of an attempt.

    Examples
    --------
    >>> get_demand_class(0, False), get_demand_class(9, False)
    (0, 2)
    >>> get_demand_class(0, True) == REPEAT_CLASS
    True
    """
    return REPEAT_CLASS if is_repeat else min(urgency, URGENCY_COUNT - 1)


class DemandEstimate:
    """Moving averages of the requests that one server is wanted for.

    Parameters
    ----------
    started_ms : float
        When counting begins.
    """

    __slots__ = ('_averages', '_started_ms', '_updated_ms')

    def __init__(self, started_ms):
        self._averages = [0.0] * CLASS_COUNT
        self._started_ms = self._updated_ms = started_ms

    def record(self, demand_class, now_ms):
        """Record a request of a class."""
        self._decay(now_ms)
        self._averages[demand_class] += 1.0 / TIME_CONSTANT_MS

    def compute_rates(self, now_ms):
        """Return the requests a second of each class, as a tuple."""
        self._decay(now_ms)
        elapsed = (now_ms - self._started_ms) / TIME_CONSTANT_MS
        known_part = max(1.0 - math.exp(-elapsed), MIN_KNOWN_PART)
        return tuple(x / known_part * _MS_PER_S for x in self._averages)

    def _decay(self, now_ms):
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0.0:
            return
        self._updated_ms = now_ms
        factor = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        self._averages = [x * factor for x in self._averages]


def create_demand_estimate(started_ms):
    """Create the estimate of a server without requests.

    Examples
    --------
    >>> estimate = create_demand_estimate(0.0)
    >>> for number in range(1, 101):
    ...     estimate.record(0, 100.0 * number)
    >>> [round(rate) for rate in estimate.compute_rates(10_050.0)]
    [10, 0, 0, 0]
    """
    return DemandEstimate(started_ms)
