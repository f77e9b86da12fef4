"""Compiled rules: matching through an index, and explanations."""

import typing

from hawthornfold.rules.decisions import Decision
from hawthornfold.rules.patterns import Condition

# The fields that tell rules apart in practice. Each costs one dictionary
# lookup a request; path and headers are left to the rules that remain.
INDEXED_FIELDS = ('service', 'kind', 'caller_class', 'data_centre')


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


class _FieldIndex:
    """Sets of rules, as bits of an integer, by value of one field."""

    def __init__(self, name, conditions):
        by_value = {}
        others = 0
        for number, condition in enumerate(conditions):
            pattern = condition.fields.get(name)
            if pattern is None or pattern.prefixes:
                others |= 1 << number
                continue
            for value in pattern.exact:
                by_value[value] = by_value.get(value, 0) | 1 << number
        for value in by_value:
            by_value[value] |= others
        # Rules with prefixes may match any value; their condition decides.
        self._others = others
        self._by_value = by_value

    def find_candidates(self, value):
        """Return the rules that may match `value`, rule n as bit n."""
        return self._by_value.get(value, self._others)


class RuleIndex:
    """Finds the few rules that may match given values."""

    def __init__(self, conditions):
        self._everything = (1 << len(conditions)) - 1
        # A field that no rule names narrows nothing.
        self._indexes = tuple(
            (name, _FieldIndex(name, conditions))
            for name in INDEXED_FIELDS
            if any(name in condition.fields for condition in conditions)
        )

    def find_candidates(self, facts):
        """Return a superset of the matching rules, rule n as bit n."""
        candidates = self._everything
        for name, index in self._indexes:
            candidates &= index.find_candidates(getattr(facts, name))
        return candidates


def iterate_bits(bits):
    """Yield the numbers of the set bits, lowest first.

    Examples
    --------
    >>> list(iterate_bits(0b10010))
    [1, 4]
    """
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


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
            if rule.condition.find_difference(facts) is None:
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
