"""The budget of repeated arrivals within a sliding window.

The servers of a service bear a bounded number of requests that reach them a
second time: a share of the requests, and a constant besides. The part that
grows with the requests adds up over the nodes by itself; each node takes an
equal part of the constant. Nodes need not know each other's spending.
"""

import collections

# Kept back, as arrivals are counted by the servers' clock and window.
SAFETY_FACTOR = 0.85
# Work that is not the most urgent leaves this share of the budget alone.
URGENT_RESERVE_SHARE = 0.25


class RepeatBudget:
    """Requests and repeated arrivals of one service at one node.

    Parameters
    ----------
    ratio : float
        Repeated arrivals allowed for each request.
    slack : float
        Repeated arrivals allowed besides, by this node.
    window_ms : float
        Length of the window.
    started_ms : float
        When the node started. The slack is earned over the first window:
        a process that ran here before may have spent it.
    """

    def __init__(self, ratio, slack, window_ms, started_ms):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._requests = collections.deque()
        self._repeats = collections.deque()

    def allowance(self, now_ms):
        """Return how many repeated arrivals the window allows."""
        self._expire_entries(now_ms)
        earned = min(1.0, (now_ms - self._started_ms) / self._window_ms)
        return SAFETY_FACTOR * (
            self._ratio * len(self._requests) + self._slack * earned
        )

    def set_slack(self, slack):
        """Change the node's part of the constant."""
        self._slack = slack

    def record_request(self, now_ms):
        """Count a request of a caller."""
        self._requests.append(now_ms)

    def try_record_repeat(self, now_ms, is_urgent=True):
        """Count a repeated arrival if the budget allows it.

        Returns
        -------
        bool
            Whether it may be sent.
        """
        allowance = self.allowance(now_ms)
        if not is_urgent:
            allowance *= 1.0 - URGENT_RESERVE_SHARE
        if len(self._repeats) + 1.0 > allowance:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire_entries(self, now_ms):
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_ms:
                times.popleft()


def create_repeat_budget(ratio, slack, window_ms, started_ms):
    """Create an empty window.

    Examples
    --------
    >>> budget = create_repeat_budget(0.2, 0.0, 10_000.0, started_ms=0.0)
    >>> for _ in range(10):
    ...     budget.record_request(100.0)
    >>> [budget.try_record_repeat(100.0), budget.try_record_repeat(100.0)]
    [True, False]
    """
    return RepeatBudget(ratio, slack, window_ms, started_ms)
