"""The budget of extra sub-requests: hedges and retries together."""

from hawthornfold.limits import create_token_bucket

# Room for the hedges of a few queries at once after a quiet time. A burst of
# hundreds would reach the servers just when one of them became slow.
CAPACITY = 40.0
INITIAL = 10.0


class ExtraLoadBudget:
    """Token bucket filled by a share of primary sub-requests."""

    def __init__(self, bucket):
        self._bucket = bucket
        self._primary = 0
        self._extra = 0
        self._refused = 0

    @property
    def primary(self):
        """Primary sub-requests sent."""
        return self._primary

    @property
    def extra(self):
        """Hedges and retries sent."""
        return self._extra

    @property
    def refused(self):
        """Hedges and retries that the budget did not allow."""
        return self._refused

    def record_primary(self, count, extra_load_percent):
        """Count primary sub-requests and earn their share of tokens."""
        self._primary += count
        self._bucket.add(count * extra_load_percent / 100.0)

    def take(self):
        """Take the token of one extra sub-request, if there is one."""
        if self._bucket.take():
            self._extra += 1
            return True
        self._refused += 1
        return False


def create_extra_load_budget(capacity=CAPACITY, initial=INITIAL):
    """Create the budget of one node.

    Examples
    --------
    >>> budget = create_extra_load_budget(initial=0.0)
    >>> budget.record_primary(20, extra_load_percent=5)
    >>> budget.take(), budget.take()
    (True, False)
    """
    return ExtraLoadBudget(create_token_bucket(capacity, initial))
