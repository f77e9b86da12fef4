"""Estimates how long to wait for an answer before sending a hedge.

The delay is a high quantile of recent sub-request latencies of the service
group. Each urgency has its own estimate: ordinary work that queues behind
urgent work would otherwise raise the delay of urgent hedges. The quantile
alone hedges 3% of sub-requests, which leaves 2% of the default budget of 5%
for stragglers and retries. The deadline also bounds the delay: a hedge that
cannot answer in time is useless.
"""

import hdrh.histogram

QUANTILE_PERCENT = 97.0
INITIAL_DELAY_MS = 50.0
MIN_DELAY_MS = 2.0
# The estimate is updated every REFRESH_SAMPLES samples. The histogram is
# cleared after WINDOW_SAMPLES so that it follows changes of load.
WINDOW_SAMPLES = 2000
REFRESH_SAMPLES = 100
# Largest delay as a share of the deadline. A hedge needs about one median
# latency to answer, so it is sent early enough for that.
MAX_DEADLINE_SHARE = 0.5
_UNITS_PER_MS = 100
_MAX_VALUE = 60_000 * _UNITS_PER_MS


class HedgeDelayEstimator:
    """Tracks a latency quantile of one urgency of one service group."""

    def __init__(self):
        self._histogram = hdrh.histogram.HdrHistogram(1, _MAX_VALUE, 2)
        self._samples = 0
        self._quantile_ms = INITIAL_DELAY_MS

    @property
    def quantile_ms(self):
        """The current latency quantile in ms, not bounded by a deadline."""
        return self._quantile_ms

    def compute_delay_ms(self, deadline_ms):
        """Return the hedge delay in ms.

        Parameters
        ----------
        deadline_ms : float
            Total time that the rule allows for the query, in ms.
        """
        max_delay_ms = deadline_ms * MAX_DEADLINE_SHARE
        return max(MIN_DELAY_MS, min(self._quantile_ms, max_delay_ms))

    def record_latency(self, latency_ms):
        """Record the latency of a primary sub-request that was answered."""
        value = min(max(1, int(latency_ms * _UNITS_PER_MS)), _MAX_VALUE)
        self._histogram.record_value(value)
        self._samples += 1
        if self._samples % REFRESH_SAMPLES == 0:
            quantile = self._histogram.get_value_at_percentile(
                QUANTILE_PERCENT
            )
            self._quantile_ms = quantile / _UNITS_PER_MS
        if self._samples >= WINDOW_SAMPLES:
            self._histogram.reset()
            self._samples = 0


def create_hedge_delay_estimator():
    """Create the estimator of one urgency of one service group.

    Examples
    --------
    >>> estimator = create_hedge_delay_estimator()
    >>> estimator.compute_delay_ms(deadline_ms=40.0)
    20.0
    """
    return HedgeDelayEstimator()
