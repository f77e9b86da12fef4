"""How early an answer has to leave the node, from how late answers were."""

# Kept besides what is measured: timers fire late, and packets wait.
SLACK_MS = 2.5
# Weight of a new sample; about the last 20 answers count.
SAMPLE_WEIGHT = 0.05
# Deviations that are added to the mean.
DEVIATION_FACTOR = 2.0
# A stall of the process must not make all later answers partial.
MAX_DELAY_MS = 40.0


class AnswerMargin:
    """The time from the decision to answer until the answer has left.

    A node that is short of processor time sends its answers after the moment
    that it planned; the margin makes up for that.
    """

    def __init__(self):
        self._mean_ms = 0.0
        self._deviation_ms = 0.0

    def margin_ms(self, travel_ms):
        """Return how long before the objective to decide on an answer.

        Parameters
        ----------
        travel_ms : float
            How long request and answer travel.
        """
        delay_ms = self._mean_ms + DEVIATION_FACTOR * self._deviation_ms
        return travel_ms + SLACK_MS + min(delay_ms, MAX_DELAY_MS)

    def record_delay(self, late_ms):
        """Take over how long after the planned moment an answer left."""
        late_ms = min(max(late_ms, 0.0), MAX_DELAY_MS)
        self._deviation_ms += SAMPLE_WEIGHT * (
            abs(late_ms - self._mean_ms) - self._deviation_ms
        )
        self._mean_ms += SAMPLE_WEIGHT * (late_ms - self._mean_ms)


def estimate_travel_ms(round_trip_ms, is_new_connection):
    """Return how long a request and its answer travel.

    A caller counts from its first packet: a new connection takes one round
    trip before the request can be sent.

    Examples
    --------
    >>> estimate_travel_ms(6.0, True), estimate_travel_ms(6.0, False)
    (12.0, 6.0)
    """
    return round_trip_ms * (2.0 if is_new_connection else 1.0)


def create_answer_margin():
    """Create a margin without samples.

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
