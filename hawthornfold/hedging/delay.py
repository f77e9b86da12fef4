"""When a sub-request without an answer is worth a hedge.

The delay is a high quantile of recent sub-request latencies of the service
group. It alone hedges 3% of sub-requests, which leaves 2% of the default
budget of 5% for stragglers and retries. It is also bounded by the deadline: a
hedge that cannot answer in time is useless.
"""

import hdrh.histogram

QUANTILE_PERCENT = 97.0
INITIAL_DELAY_MS = 30.0
MIN_DELAY_MS = 2.0
# The estimate is refreshed after this many samples; the histogram then
# starts over so that it follows changes of load.
WINDOW_SAMPLES = 2000
REFRESH_SAMPLES = 200
# A hedge needs about one median to answer; it is sent no later than this
# part of the deadline.
LATEST_SHARE = 0.5
_SCALE = 100
_HIGHEST = 60_000 * _SCALE


class HedgeDelay:
    """Tracks the latency quantile of one service group."""

    def __init__(self):
        self._histogram = hdrh.histogram.HdrHistogram(1, _HIGHEST, 2)
        self._samples = 0
        self._delay_ms = INITIAL_DELAY_MS

    @property
    def delay_ms(self):
        """The current quantile in milliseconds."""
        return self._delay_ms

    def delay_for(self, deadline_ms):
        """Return the hedge delay of a query with this whole deadline."""
        latest = deadline_ms * LATEST_SHARE
        return max(MIN_DELAY_MS, min(self._delay_ms, latest))

    def record(self, latency_ms):
        """Add the latency of a primary sub-request that was answered."""
        value = min(max(1, int(latency_ms * _SCALE)), _HIGHEST)
        self._histogram.record_value(value)
        self._samples += 1
        if self._samples % REFRESH_SAMPLES == 0:
            quantile = self._histogram.get_value_at_percentile(
                QUANTILE_PERCENT
            )
            self._delay_ms = quantile / _SCALE
        if self._samples >= WINDOW_SAMPLES:
            self._histogram.reset()
            self._samples = 0


def create_hedge_delay():
    """Create the tracker of one service group.

    Examples
    --------
    >>> delay = create_hedge_delay()
    >>> delay.delay_for(deadline_ms=40.0)
    20.0
    """
    return HedgeDelay()
