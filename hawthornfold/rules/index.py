"""Finds the rules that match a value or cover a pattern, through an index.

A set of rules is an integer whose bit n stands for rule n, so that the
intersection of two sets of a thousand rules takes well under a microsecond.
"""

import functools

from hawthornfold.rules.patterns import PLAIN_FIELDS


def iterate_bits(bits):
    """Yield the positions of the bits that are set, lowest first.

    Examples
    --------
    >>> list(iterate_bits(0b10010))
    [1, 4]
    """
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


# Sets of at least this many rules are kept once they have been computed.
_MIN_KEPT_SET = 8


def _create_set(numbers, rule_count):
    """Return the set of rules with the given numbers."""
    data = bytearray(rule_count // 8 + 1)
    for number in numbers:
        data[number >> 3] |= 1 << (number & 7)
    return int.from_bytes(data, 'little')


class FieldIndex:
    """Indexes rules by their patterns for one field.

    Building it takes time in proportion to the number of patterns; the sets
    are computed when they are first needed.

    Parameters
    ----------
    patterns : dict of int to PatternSet
        Patterns by number of the rule; only rules with a condition on the
        field.
    rule_count : int
        Number of all rules.
    """

    def __init__(self, patterns, rule_count):
        self._rule_count = rule_count
        self._exact = {}
        self._prefixes = {}
        for number, pattern in patterns.items():
            for value in pattern.exact:
                self._exact.setdefault(value, []).append(number)
            for prefix in pattern.prefixes:
                self._prefixes.setdefault(prefix, []).append(number)
        all_rules = (1 << rule_count) - 1
        self._unconstrained = all_rules ^ _create_set(patterns, rule_count)
        self._prefix_lengths = sorted({len(x) for x in self._prefixes})
        self._kept_sets = {}

    def _get_set(self, numbers):
        """Return the set of the rules in one of the lists of the index."""
        if len(numbers) < _MIN_KEPT_SET:
            bits = 0
            for number in numbers:
                bits |= 1 << number
            return bits
        bits = self._kept_sets.get(id(numbers))
        if bits is None:
            bits = _create_set(numbers, self._rule_count)
            self._kept_sets[id(numbers)] = bits
        return bits

    def _add_prefix_matches(self, bits, text):
        for length in self._prefix_lengths:
            if length > len(text):
                break
            numbers = self._prefixes.get(text[:length])
            if numbers is not None:
                bits |= self._get_set(numbers)
        return bits

    def find_matching(self, value):
        """Return the rules whose pattern for the field matches `value`."""
        bits = self._unconstrained
        numbers = self._exact.get(value)
        if numbers is not None:
            bits |= self._get_set(numbers)
        if self._prefix_lengths:
            bits = self._add_prefix_matches(bits, value)
        return bits

    def find_covering(self, pattern):
        """Return the rules that match every string of a `PatternSet`."""
        bits = -1
        for value in pattern.exact:
            bits &= self.find_matching(value)
        for prefix in pattern.prefixes:
            # A prefix matches infinitely many strings. Exact values cannot
            # cover them; only the same prefix or a shorter one can.
            bits &= self._add_prefix_matches(self._unconstrained, prefix)
        return bits

    @property
    def unconstrained(self):
        """The rules without a condition on the field."""
        return self._unconstrained


class RuleIndex:
    """Indexes rules by their conditions."""

    def __init__(self, conditions):
        self._conditions = conditions
        self._all_rules = (1 << len(conditions)) - 1
        fields = {}
        for number, condition in enumerate(conditions):
            for name, pattern in condition.fields.items():
                fields.setdefault(name, {})[number] = pattern
        # A field without a condition in any rule excludes no rule, so it
        # needs no index.
        self._fields = tuple(
            (name, FieldIndex(fields[name], len(conditions)))
            for name in PLAIN_FIELDS
            if name in fields
        )

    @functools.cached_property
    def _headers(self):
        """The index of each header, which only `find_covering` needs."""
        headers = {}
        for number, condition in enumerate(self._conditions):
            for name, pattern in condition.headers.items():
                headers.setdefault(name, {})[number] = pattern
        return tuple(
            (name, FieldIndex(patterns, len(self._conditions)))
            for name, patterns in headers.items()
        )

    def find_candidates(self, facts):
        """Return the rules whose conditions match, headers disregarded."""
        candidates = self._all_rules
        for name, index in self._fields:
            candidates &= index.find_matching(getattr(facts, name))
        return candidates

    def find_covering(self, condition):
        """Return the rules that match every request `condition` matches."""
        covering = self._all_rules
        for indexes, patterns in (
            (self._fields, condition.fields),
            (self._headers, condition.headers),
        ):
            for name, index in indexes:
                if name in patterns:
                    covering &= index.find_covering(patterns[name])
                else:
                    covering &= index.unconstrained
        return covering
