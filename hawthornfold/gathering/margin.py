"""Estimates how long before the objective an answer must be sent."""

# Added to the measured times, because timers fire late and packets are queued.
SLACK_MS = 2.5
# Weight of a new sample; the averages cover about the last 20 answers.
SAMPLE_WEIGHT = 0.05
# Number of mean deviations that are added to the mean delay.
DEVIATION_FACTOR = 2.0
# Upper bound of a delay sample and of the estimated delay. Without it, a pause
# of the process would make all later answers partial.
MAX_DELAY_MS = 40.0


class AnswerMargin:
    """Tracks how much later than planned the node sends its answers.

    A node that is short of processor time sends its answers late. The margin
    makes it start earlier by that delay.
    """

    def __init__(self):
        self._mean_ms = 0.0
        self._deviation_ms = 0.0
        self._sample_count = 0

    def margin_ms(self, travel_ms):
        """Return how long before the objective to start sending an answer.

        Parameters
        ----------
        travel_ms : float
            Network time of the request and its answer.

        Returns
        -------
        float
            Milliseconds.
        """
        delay_ms = self._mean_ms + DEVIATION_FACTOR * self._deviation_ms
        return travel_ms + SLACK_MS + min(delay_ms, MAX_DELAY_MS)

    def record_delay(self, sample_ms):
        """Record how long after the planned time an answer was sent."""
        sample_ms = min(max(sample_ms, 0.0), MAX_DELAY_MS)
        self._sample_count += 1
        # A node with few queries must not need many of them to learn.
        weight = max(SAMPLE_WEIGHT, 1.0 / self._sample_count)
        if self._sample_count > 1:
            self._deviation_ms += weight * (
                abs(sample_ms - self._mean_ms) - self._deviation_ms
            )
        self._mean_ms += weight * (sample_ms - self._mean_ms)


def estimate_travel_ms(round_trip_ms, is_new_connection):
    """Return the network time of a request and its answer.

    Callers measure latency from their first packet. A new connection takes
    one round trip before the request can be sent.

    Examples
    --------
    >>> estimate_travel_ms(6.0, True), estimate_travel_ms(6.0, False)
    (12.0, 6.0)
    """
    return round_trip_ms * (2.0 if is_new_connection else 1.0)


def create_answer_margin():
    """Create an answer margin without samples.

    Examples
    --------
    >>> margin = create_answer_margin()
    >>> margin.margin_ms(12.0)
    14.5
    >>> for _ in range(200):
    ...     margin.record_delay(5.0)
    >>> 19.0 < margin.margin_ms(12.0) < 20.5
    True
    """
    return AnswerMargin()
