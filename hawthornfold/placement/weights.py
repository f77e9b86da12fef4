"""Divides requests among services by weight."""


class WeightedRoundRobin:
    """Smooth weighted round robin with one sequence for each rule.

    For each request, the credit of each target grows by its weight. The
    target with the most credit gets the request, and its credit is reduced
    by the sum of all weights. Every sequence of requests is divided in
    proportion to the weights, to within one request per target.
    """

    def __init__(self):
        self._credits = {}

    def choose_service(self, decision):
        """Return the service that gets the next request of a rule."""
        targets = decision.forward
        if len(targets) == 1:
            return targets[0].service
        credit = self._credits.get(decision.rule)
        names = {target.service for target in targets}
        if credit is None or credit.keys() != names:
            credit = self._credits[decision.rule] = dict.fromkeys(names, 0.0)
        for target in targets:
            credit[target.service] += target.weight
        eligible = [t.service for t in targets if t.weight > 0]
        chosen = max(eligible, key=credit.__getitem__)
        credit[chosen] -= sum(target.weight for target in targets)
        return chosen


def create_weighted_round_robin():
    """Create a weighted round robin without history.

    Examples
    --------
    >>> from hawthornfold.rules import Decision
    >>> from hawthornfold.rules import ForwardTarget
    >>> decision = Decision(
    ...     'r', 0, 600, True, 100, 'refuse', True, 1, 20, 'pin',
    ...     forward=(ForwardTarget('a', 3), ForwardTarget('b', 1)),
    ... )
    >>> round_robin = create_weighted_round_robin()
    >>> [round_robin.choose_service(decision) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """
    return WeightedRoundRobin()
