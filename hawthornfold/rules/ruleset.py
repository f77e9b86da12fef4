"""Compiled rules: matching through an index, and explanations."""

import typing

from hawthornfold.rules.decisions import Decision
from hawthornfold.rules.index import RuleIndex
from hawthornfold.rules.index import iterate_bits
from hawthornfold.rules.patterns import Condition


class CompiledRule(typing.NamedTuple):
    """One rule, ready to match."""

    name: str
    condition: Condition
    decision: Decision


class RuleTrace(typing.NamedTuple):
    """What happened to one rule.

    Parameters
    ----------
    rule : str
        Name of the rule.
    matched : bool
        Whether its condition holds, also when an earlier rule decided.
    difference : str or None
        The first field that did not match.
    """

    rule: str
    matched: bool
    difference: str | None


class Explanation(typing.NamedTuple):
    """Why a request is handled as it is.

    Parameters
    ----------
    traces : tuple of RuleTrace
        One per rule, in the order of the document.
    decision : Decision or None
        What applies; None when no rule matches and there is no default.
    """

    traces: tuple[RuleTrace, ...]
    decision: Decision | None


class RuleSet:
    """An immutable, ordered set of rules; the first that matches decides."""

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
        """Return the same as `match` without the index, to compare with."""
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
    """Create a `RuleSet`, building its index.

    Parameters
    ----------
    rules : tuple of CompiledRule
        In the order in which they are tried.
    default : Decision or None
        What applies when no rule matches.
    revision : int, optional
        The platform's revision of the document.
    """
    index = RuleIndex([rule.condition for rule in rules])
    return RuleSet(rules, default, index, revision)
