"""Finds the rules that match a value or cover a pattern, through an index.

A set of rules is an integer whose bit n stands for rule n, so that the
intersection of two sets of a thousand rules takes well under a microsecond.
"""

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


class FieldIndex:
    """Indexes rules by their patterns for one field.

    Parameters
    ----------
    patterns : dict of int to PatternSet
        Patterns by number of the rule; only rules with a condition on the
        field.
    all_rules : int
        The set of all rules.
    """

    def __init__(self, patterns, all_rules):
        unconstrained = all_rules
        exact = {}
        prefixes = {}
        for number, pattern in patterns.items():
            bit = 1 << number
            unconstrained &= ~bit
            for value in pattern.exact:
                exact[value] = exact.get(value, 0) | bit
            for prefix in pattern.prefixes:
                prefixes[prefix] = prefixes.get(prefix, 0) | bit
        self._unconstrained = unconstrained
        self._exact = {
            value: bits | unconstrained for value, bits in exact.items()
        }
        self._prefixes = prefixes
        self._prefix_lengths = sorted({len(prefix) for prefix in prefixes})

    def _add_prefix_matches(self, bits, text):
        for length in self._prefix_lengths:
            if length > len(text):
                break
            bits |= self._prefixes.get(text[:length], 0)
        return bits

    def find_matching(self, value):
        """Return the rules whose pattern for the field matches `value`."""
        bits = self._exact.get(value, self._unconstrained)
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
        all_rules = (1 << len(conditions)) - 1
        fields = {}
        headers = {}
        for number, condition in enumerate(conditions):
            for name, pattern in condition.fields.items():
                fields.setdefault(name, {})[number] = pattern
            for name, pattern in condition.headers.items():
                headers.setdefault(name, {})[number] = pattern
        self._all_rules = all_rules
        # A field without a condition in any rule excludes no rule, so it
        # needs no index.
        self._fields = tuple(
            (name, FieldIndex(fields[name], all_rules))
            for name in PLAIN_FIELDS
            if name in fields
        )
        self._headers = tuple(
            (name, FieldIndex(patterns, all_rules))
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
