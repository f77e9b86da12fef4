"""Tells refused callers when to return, one after the other."""

import random

from hawthornfold.eligibility.rate_limiter import MAX_WAIT_MS

# The times are spread by this share of their distance, so that callers of
# several nodes don't return together.
SPREAD = 0.5


class ReturnSchedule:
    """The return times that have been given to refused callers.

    Parameters
    ----------
    rng : random.Random
        Spreads the times.
    """

    def __init__(self, rng):
        self._rng = rng
        # By urgency, when the last of the refused callers returns.
        self._last_ms = {}

    def assign_wait_ms(self, urgency, interval_ms, now_ms):
        """Return after which time the next refused caller is to return.

        Parameters
        ----------
        urgency : int
            Urgency of its request.
        interval_ms : float
            Time until there is room for one more request of this urgency.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        float
            At most `MAX_WAIT_MS`.
        """
        last_ms = max(self._last_ms.get(urgency, now_ms), now_ms)
        spread = self._rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        next_ms = min(last_ms + interval_ms * spread, now_ms + MAX_WAIT_MS)
        self._last_ms[urgency] = next_ms
        return next_ms - now_ms


def create_return_schedule(rng=None):
    """Create a schedule without refused callers.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads the times.

    Examples
    --------
    >>> schedule = create_return_schedule(random.Random(1))
    >>> first = schedule.assign_wait_ms(0, 100.0, 0.0)
    >>> second = schedule.assign_wait_ms(0, 100.0, 0.0)
    >>> 50.0 <= first < second <= 300.0
    True
    """
    return ReturnSchedule(rng or random.Random())
