"""A token bucket that is filled by work instead of time.

Each unit of primary work adds a fraction of a token. This limits the extra
load to a share of the load: if every node stays below 5% of its own work, the
fleet stays below 5% of all work without coordination.
"""


class TokenBucket:
    """Holds up to `capacity` tokens; each unit of work adds a fraction."""

    def __init__(self, capacity, initial):
        self._capacity = capacity
        self._tokens = initial

    @property
    def tokens(self):
        """Number of available tokens."""
        return self._tokens

    def add(self, amount):
        """Add `amount` tokens, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + amount)

    def try_take(self, amount=1.0):
        """Take `amount` tokens if available; return whether they were."""
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


def create_token_bucket(capacity, initial=0.0):
    """Create a token bucket.

    Examples
    --------
    >>> bucket = create_token_bucket(capacity=2.0)
    >>> bucket.add(1.0)
    >>> bucket.try_take(), bucket.try_take()
    (True, False)
    """
    return TokenBucket(capacity, initial)
