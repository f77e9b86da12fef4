"""Limits the repeat attempts of a node: hedges and retries together."""

from hawthornfold.limits import create_token_bucket

# Maximum burst of hedges and retries: enough for a few queries at once after
# a time of low load. A burst of hundreds would reach the servers just when
# one of them became slow.
CAPACITY_TOKENS = 40.0
INITIAL_TOKENS = 10.0
# Tokens that only urgent queries may use. Without this reserve, ordinary
# queries that were queued used up the budget, and urgent stragglers got no
# hedge.
URGENT_RESERVE = 10.0


class ExtraLoadBudget:
    """Token bucket that each primary sub-request refills by a share."""

    def __init__(self, bucket):
        self._bucket = bucket
        self._primary_count = 0
        self._extra_count = 0
        self._denied_count = 0

    @property
    def primary_count(self):
        """Number of primary sub-requests that were sent."""
        return self._primary_count

    @property
    def extra_count(self):
        """Number of hedges and retries that were allowed."""
        return self._extra_count

    @property
    def denied_count(self):
        """Number of hedges and retries that the budget did not allow."""
        return self._denied_count

    def record_primary(self, count, extra_load_percent):
        """Count primary sub-requests and add their share of tokens."""
        self._primary_count += count
        self._bucket.add(count * extra_load_percent / 100.0)

    def try_take_token(self, urgency=0):
        """Take a token for one extra sub-request; return whether it may run.

        Parameters
        ----------
        urgency : int
            Urgency of the query; only 0 may use the reserve.
        """
        reserve = 0.0 if urgency == 0 else URGENT_RESERVE
        if self._bucket.tokens >= 1.0 + reserve and self._bucket.try_take():
            self._extra_count += 1
            return True
        self._denied_count += 1
        return False


def create_extra_load_budget(capacity=CAPACITY_TOKENS, initial=INITIAL_TOKENS):
    """Create the budget of one node.

    Examples
    --------
    >>> budget = create_extra_load_budget(initial=0.0)
    >>> budget.record_primary(20, extra_load_percent=5)
    >>> budget.try_take_token(), budget.try_take_token()
    (True, False)
    """
    return ExtraLoadBudget(create_token_bucket(capacity, initial))
