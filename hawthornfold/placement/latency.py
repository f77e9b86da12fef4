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


class LatencyBook:
    """Smoothed mean and deviation of exchange times by rule."""

    def __init__(self):
        self._means = {}
        self._deviations = {}

    def usual_ms(self, decision):
        """Return the mean time of an undisturbed exchange."""
        mean_ms = self._means.get(decision.rule)
        if mean_ms is not None:
            return mean_ms
        if decision.objective_ms is None:
            return INITIAL_MS
        return decision.objective_ms * INITIAL_OBJECTIVE_SHARE

    def late_ms(self, decision):
        """Return the time by which most undisturbed exchanges are over."""
        usual_ms = self.usual_ms(decision)
        deviation_ms = self._deviations.get(decision.rule, usual_ms)
        return usual_ms + 2.0 * deviation_ms

    def record(self, decision, elapsed_ms):
        """Take over the time of one answered exchange."""
        usual_ms = self.usual_ms(decision)
        sample_ms = min(elapsed_ms, OUTLIER_FACTOR * usual_ms)
        rule = decision.rule
        self._means[rule] = usual_ms + WEIGHT * (sample_ms - usual_ms)
        deviation_ms = self._deviations.get(rule, usual_ms / 2.0)
        self._deviations[rule] = deviation_ms + WEIGHT * (
            abs(sample_ms - usual_ms) - deviation_ms
        )

    def keep_only(self, rules):
        """Forget the rules that are not in `rules`."""
        for book in (self._means, self._deviations):
            for rule in set(book) - set(rules):
                del book[rule]


def create_latency_book():
    """Create an empty book.

    Examples
    --------
    >>> from hawthornfold.rules import Decision
    >>> decision = Decision(
    ...     'r', 0, 600, True, 89, 'refuse', True, 1, 20, 'pin', 100.0
    ... )
    >>> book = create_latency_book()
    >>> book.usual_ms(decision)
    20.0
    >>> book.record(decision, 10.0)
    >>> round(book.usual_ms(decision), 1)
    19.7
    """
    return LatencyBook()
