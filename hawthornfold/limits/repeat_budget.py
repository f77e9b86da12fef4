"""Limits the repeat attempts (hedges and retries) in a sliding window.

The servers of a service accept a limited number of requests that reach them a
second time: a share of the requests plus a constant. Each node applies the
share to its own requests, so that the sum over all nodes is within the share.
The constant is divided among the nodes. Nodes therefore need no information
about the repeat attempts of other nodes.
"""

import collections

# Share of the budget that nodes use. The rest is a reserve, because the
# servers count arrivals by their own clock and window.
SAFETY_FACTOR = 0.85
# Share of the budget that is reserved for the most urgent work.
URGENT_RESERVE_SHARE = 0.25


class RepeatBudget:
    """Tracks requests and repeat attempts of one service at one node.

    Parameters
    ----------
    ratio : float
        Repeat attempts allowed for each request.
    slack : float
        Repeat attempts allowed in addition; this node's part of the constant.
    window_ms : float
        Length of the sliding window.
    started_ms : float
        When the node started. The slack grows from zero during the first
        window, because an earlier incarnation may have used it up.
    """

    def __init__(self, ratio, slack, window_ms, started_ms):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._requests = collections.deque()
        self._repeats = collections.deque()

    def allowance(self, now_ms):
        """Return the number of repeat attempts allowed in the window."""
        self._expire_entries(now_ms)
        earned = min(1.0, (now_ms - self._started_ms) / self._window_ms)
        return SAFETY_FACTOR * (
            self._ratio * len(self._requests) + self._slack * earned
        )

    def set_slack(self, slack):
        """Set this node's part of the constant."""
        self._slack = slack

    def record_request(self, now_ms):
        """Record a request of a caller."""
        self._requests.append(now_ms)

    def try_record_repeat(self, now_ms, is_urgent=True):
        """Record a repeat attempt if the budget allows it.

        Parameters
        ----------
        now_ms : float
            Current time.
        is_urgent : bool
            Whether the attempt may use the reserve for the most urgent work.

        Returns
        -------
        bool
            Whether the repeat attempt may be sent.
        """
        if not self.allows_repeat(now_ms, is_urgent):
            return False
        self._repeats.append(now_ms)
        return True

    def allows_repeat(self, now_ms, is_urgent=True):
        """Return whether the budget allows another repeat attempt."""
        allowance = self.allowance(now_ms)
        if not is_urgent:
            allowance *= 1.0 - URGENT_RESERVE_SHARE
        return len(self._repeats) + 1.0 <= allowance

    def _expire_entries(self, now_ms):
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_ms:
                times.popleft()


def create_repeat_budget(ratio, slack, window_ms, started_ms):
    """Create a repeat budget without requests.

    Examples
    --------
    >>> budget = create_repeat_budget(0.2, 0.0, 10_000.0, started_ms=0.0)
    >>> for _ in range(10):
    ...     budget.record_request(100.0)
    >>> [budget.try_record_repeat(100.0), budget.try_record_repeat(100.0)]
    [True, False]
    """
    return RepeatBudget(ratio, slack, window_ms, started_ms)
