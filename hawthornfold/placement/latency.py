"""How long exchanges usually take, for each rule."""

# A new rule is assumed to take this share of its objective.
INITIAL_OBJECTIVE_SHARE = 0.2
# Without an objective, an exchange is assumed to take this long.
INITIAL_MS = 30.0
# Weight of a new sample; about the last 30 exchanges count.
WEIGHT = 0.03
# Samples beyond this multiple of the mean are pauses and stalls. They are
# cut, so that the mean stays that of an undisturbed exchange.
OUTLIER_FACTOR = 4.0


class LatencyTracker:
    """Smoothed mean and deviation of exchange times by rule."""

    def __init__(self):
        self._means = {}
        self._deviations = {}

    def typical_ms(self, decision):
        """Return the mean time of an undisturbed exchange."""
        mean_ms = self._means.get(decision.rule)
        if mean_ms is not None:
            return mean_ms
        if decision.objective_ms is None:
            return INITIAL_MS
        return decision.objective_ms * INITIAL_OBJECTIVE_SHARE

    def typical_max_ms(self, decision):
        """Return the time by which most undisturbed exchanges are over."""
        typical_ms = self.typical_ms(decision)
        deviation_ms = self._deviations.get(decision.rule, typical_ms)
        return typical_ms + 2.0 * deviation_ms

    def record_latency(self, decision, elapsed_ms):
        """Take over the time of one answered exchange."""
        typical_ms = self.typical_ms(decision)
        sample_ms = min(elapsed_ms, OUTLIER_FACTOR * typical_ms)
        rule = decision.rule
        self._means[rule] = typical_ms + WEIGHT * (sample_ms - typical_ms)
        deviation_ms = self._deviations.get(rule, typical_ms / 2.0)
        self._deviations[rule] = deviation_ms + WEIGHT * (
            abs(sample_ms - typical_ms) - deviation_ms
        )

    def retain_rules(self, rules):
        """Forget the rules that are not in `rules`."""
        for values in (self._means, self._deviations):
            for rule in set(values) - set(rules):
                del values[rule]


def create_latency_tracker():
    """Create an empty latency_tracker.

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
