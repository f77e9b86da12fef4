"""Matches requests to compiled rules and explains the result."""

import typing

from hawthornfold.rules.decisions import Decision
from hawthornfold.rules.index import RuleIndex
from hawthornfold.rules.index import iterate_bits
from hawthornfold.rules.patterns import Condition


class CompiledRule(typing.NamedTuple):
    """A rule with its compiled condition and its decision."""

    name: str
    condition: Condition
    decision: Decision


class RuleTrace(typing.NamedTuple):
    """The result of comparing a request with one rule.

    Parameters
    ----------
    rule : str
        Name of the rule.
    matched : bool
        Whether its condition holds, even if an earlier rule already matched.
    difference : str or None
        The first field that did not match; None when all matched.
    """

    rule: str
    matched: bool
    difference: str | None


class Explanation(typing.NamedTuple):
    """The reasons for the decision on a request.

    Parameters
    ----------
    traces : tuple of RuleTrace
        One trace per rule, in the order of the document.
    decision : Decision or None
        The decision that applies; None when no rule matches and there is no
        default.
    """

    traces: tuple[RuleTrace, ...]
    decision: Decision | None


class RuleSet:
    """An immutable, ordered set of rules; the first match decides."""

    def __init__(self, rules, default, index, revision):
        self._rules = rules
        self._default = default
        self._index = index
        self._revision = revision

    @property
    def rules(self):
        """The compiled rules, in the order of the document."""
        return self._rules

    @property
    def default(self):
        """The `Decision` when no rule matches, or None."""
        return self._default

    @property
    def revision(self):
        """The platform's revision of the document, or None."""
        return self._revision

    def match(self, facts):
        """Return the `Decision` for a request, or None when none applies.

        Parameters
        ----------
        facts : RequestFacts
            The request.
        """
        rules = self._rules
        for number in iterate_bits(self._index.find_candidates(facts)):
            rule = rules[number]
            if rule.condition.matches_headers(facts.headers):
                return rule.decision
        return self._default

    def match_linear(self, facts):
        """Return the result of `match` without the index.

        The measurement and the tests compare `match` with it.
        """
        for rule in self._rules:
            if rule.condition.find_difference(facts) is None:
                return rule.decision
        return self._default

    def explain(self, facts):
        """Return the `Explanation` of how a request is handled."""
        traces = []
        decision = None
        for rule in self._rules:
            difference = rule.condition.find_difference(facts)
            traces.append(RuleTrace(rule.name, difference is None, difference))
            if difference is None and decision is None:
                decision = rule.decision
        return Explanation(
            tuple(traces), self._default if decision is None else decision
        )


def create_rule_set(rules, default, revision=None):
    """Create a `RuleSet` and build its index.

    Parameters
    ----------
    rules : tuple of CompiledRule
        The rules in the order in which they are tried.
    default : Decision or None
        The decision when no rule matches.
    revision : int, optional
        The platform's revision of the document.
    """
    index = RuleIndex([rule.condition for rule in rules])
    return RuleSet(rules, default, index, revision)
