"""Tracks the typical latency of exchanges for each rule."""

# Initial estimate for a rule without samples, as a share of its objective.
INITIAL_OBJECTIVE_SHARE = 0.2
# Initial estimate for a rule without an objective.
INITIAL_MS = 30.0
# Weight of a new sample; the averages cover about the last 30 exchanges.
SAMPLE_WEIGHT = 0.03
# Samples are limited to this multiple of the mean. Longer ones come from
# pauses and stalls and would distort the mean of undisturbed exchanges.
OUTLIER_FACTOR = 4.0


class LatencyTracker:
    """Tracks the smoothed mean and deviation of latencies by rule."""

    def __init__(self):
        self._means = {}
        self._deviations = {}

    def typical_ms(self, decision):
        """Return the mean latency of an undisturbed exchange."""
        mean_ms = self._means.get(decision.rule)
        if mean_ms is not None:
            return mean_ms
        if decision.objective_ms is None:
            return INITIAL_MS
        return decision.objective_ms * INITIAL_OBJECTIVE_SHARE

    def typical_max_ms(self, decision):
        """Return the latency that most undisturbed exchanges stay below."""
        typical_ms = self.typical_ms(decision)
        deviation_ms = self._deviations.get(decision.rule, typical_ms)
        return typical_ms + 2.0 * deviation_ms

    def record_latency(self, decision, elapsed_ms):
        """Record the latency of an answered exchange."""
        typical_ms = self.typical_ms(decision)
        sample_ms = min(elapsed_ms, OUTLIER_FACTOR * typical_ms)
        rule = decision.rule
        self._means[rule] = typical_ms + SAMPLE_WEIGHT * (
            sample_ms - typical_ms
        )
        deviation_ms = self._deviations.get(rule, typical_ms / 2.0)
        self._deviations[rule] = deviation_ms + SAMPLE_WEIGHT * (
            abs(sample_ms - typical_ms) - deviation_ms
        )

    def retain_rules(self, rules):
        """Remove the samples of all rules that are not in `rules`."""
        for values in (self._means, self._deviations):
            for rule in set(values) - set(rules):
                del values[rule]


def create_latency_tracker():
    """Create a latency tracker without samples.

    Examples
    --------
    >>> from hawthornfold.rules import Decision
    >>> decision = Decision(
    ...     'r', 0, 600, True, 89, 'refuse', True, 1, 20, 'pin', 100.0
    ... )
    >>> latency_tracker = create_latency_tracker()
    >>> latency_tracker.typical_ms(decision)
    20.0
    >>> latency_tracker.record_latency(decision, 10.0)
    >>> round(latency_tracker.typical_ms(decision), 1)
    19.7
    """
    return LatencyTracker()
