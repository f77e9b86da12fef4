"""Combines all restrictions of the servers of a node."""

import math


class ServerEligibility:
    """Asks all restrictions whether a server may receive a request.

    Parameters
    ----------
    restrictions : sequence of SendRestriction
        Each of them can refuse.
    rate_limiter : RateLimiter or None
        Divides the requests among servers with a rate limit.
    """

    def __init__(self, restrictions, rate_limiter):
        self._restrictions = tuple(restrictions)
        self._rate_limiter = rate_limiter

    @property
    def rate_limiter(self):
        """The `RateLimiter`, or None while no server has a rate limit."""
        limiter = self._rate_limiter
        return limiter if limiter is not None and limiter.has_limits else None

    def allows(self, record, now_ms):
        """Return whether a request may be sent to a server now."""
        for restriction in self._restrictions:
            if restriction.refuses(record, now_ms):
                return False
        return True

    def allows_other_nodes(self, record, now_ms):
        """Return whether another node may be allowed to send to a server."""
        for restriction in self._restrictions:
            if restriction.concerns_all_nodes and restriction.refuses(
                record, now_ms
            ):
                return False
        return True

    def free_ms(self, record, now_ms):
        """Return when a server is expected to be allowed.

        Returns
        -------
        float
            A time on the node's clock, not before `now_ms`; infinity if it
            is unknown.
        """
        free_ms = now_ms
        for restriction in self._restrictions:
            if restriction.refuses(record, now_ms):
                end_ms = restriction.free_ms(record, now_ms)
                free_ms = max(free_ms, math.inf if end_ms is None else end_ms)
        return free_ms

    def estimate_share(self, record, now_ms):
        """Return the share of its load that suits a server.

        Returns
        -------
        float or None
            From 0 to 1; None if no restriction concerns the server.
        """
        least = None
        for restriction in self._restrictions:
            share = restriction.estimate_share(record, now_ms)
            if share is not None and (least is None or share < least):
                least = share
        return least

    def record_send(self, record, now_ms):
        """Record that a request is written to a server."""
        for restriction in self._restrictions:
            restriction.record_send(record, now_ms)

    def remove_server(self, server_id):
        """Remove what is known of a server that left or restarted."""
        for restriction in self._restrictions:
            restriction.remove_server(server_id)


def create_server_eligibility(restrictions=(), rate_limiter=None):
    """Create the eligibility of a node's servers.

    Parameters
    ----------
    restrictions : sequence of SendRestriction
        Each of them can refuse.
    rate_limiter : RateLimiter, optional
        Divides the requests among servers with a rate limit.

    Examples
    --------
    >>> create_server_eligibility().allows(None, 0.0)
    True
    """
    return ServerEligibility(restrictions, rate_limiter)
