"""Bounds the bytes per second that a node spends on the configuration."""


class ByteBudget:
    """Token bucket in bytes that may be overdrawn by one document.

    Examples
    --------
    >>> budget = ByteBudget(1000.0, 500.0)
    >>> budget.spend(0.0, 1500)
    >>> budget.has_tokens(900.0), budget.has_tokens(1100.0)
    (False, True)
    """

    def __init__(self, bytes_per_second, burst_bytes):
        self._bytes_per_ms = bytes_per_second / 1000.0
        self._burst = burst_bytes
        self._tokens = burst_bytes
        self._updated_ms = None

    def has_tokens(self, now_ms):
        """Return True while the budget is not overdrawn."""
        return self._compute_tokens(now_ms) > 0

    def spend(self, now_ms, amount):
        """Consume `amount` bytes, even if this overdraws the budget."""
        self._tokens = self._compute_tokens(now_ms) - amount
        self._updated_ms = now_ms

    def _compute_tokens(self, now_ms):
        if self._updated_ms is None:
            return self._tokens
        gained = (now_ms - self._updated_ms) * self._bytes_per_ms
        return min(self._burst, self._tokens + gained)
