"""An index of conditions: which rules match a value, or cover a pattern.

A set of rules is an integer whose bit n stands for rule n, so that
intersecting sets of a thousand rules takes well under a microsecond.
"""

from hawthornfold.rules.patterns import PLAIN_FIELDS


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


class FieldIndex:
    """The rules by their patterns for one field.

    Parameters
    ----------
    patterns : dict of int to PatternSet
        By number of the rule; only rules that name the field.
    everything : int
        The set of all rules.
    """

    def __init__(self, patterns, everything):
        anything = everything
        exact = {}
        prefixes = {}
        for number, pattern in patterns.items():
            bit = 1 << number
            anything &= ~bit
            for value in pattern.exact:
                exact[value] = exact.get(value, 0) | bit
            for prefix in pattern.prefixes:
                prefixes[prefix] = prefixes.get(prefix, 0) | bit
        self._anything = anything
        self._exact = {value: bits | anything for value, bits in exact.items()}
        self._prefixes = prefixes
        self._lengths = sorted({len(prefix) for prefix in prefixes})

    def _add_prefixes(self, bits, text):
        for length in self._lengths:
            if length > len(text):
                break
            bits |= self._prefixes.get(text[:length], 0)
        return bits

    def find_matching(self, value):
        """Return the rules whose pattern for the field matches `value`."""
        bits = self._exact.get(value, self._anything)
        if self._lengths:
            bits = self._add_prefixes(bits, value)
        return bits

    def find_covering(self, pattern):
        """Return the rules that match every string of a `PatternSet`."""
        bits = -1
        for value in pattern.exact:
            bits &= self.find_matching(value)
        for prefix in pattern.prefixes:
            # A prefix stands for endlessly many strings, which only a prefix
            # of it covers.
            bits &= self._add_prefixes(self._anything, prefix)
        return bits

    @property
    def anything(self):
        """The rules that do not name the field."""
        return self._anything


class RuleIndex:
    """The rules by their conditions."""

    def __init__(self, conditions):
        everything = (1 << len(conditions)) - 1
        fields = {}
        headers = {}
        for number, condition in enumerate(conditions):
            for name, pattern in condition.fields.items():
                fields.setdefault(name, {})[number] = pattern
            for name, pattern in condition.headers.items():
                headers.setdefault(name, {})[number] = pattern
        self._everything = everything
        # A field that no rule names narrows nothing.
        self._fields = tuple(
            (name, FieldIndex(fields[name], everything))
            for name in PLAIN_FIELDS
            if name in fields
        )
        self._headers = tuple(
            (name, FieldIndex(patterns, everything))
            for name, patterns in headers.items()
        )

    def find_candidates(self, facts):
        """Return the rules that match `facts`, apart from headers."""
        candidates = self._everything
        for name, index in self._fields:
            candidates &= index.find_matching(getattr(facts, name))
        return candidates

    def find_covering(self, condition):
        """Return the rules that match whatever matches `condition`."""
        covering = self._everything
        for indexes, patterns in (
            (self._fields, condition.fields),
            (self._headers, condition.headers),
        ):
            for name, index in indexes:
                if name in patterns:
                    covering &= index.find_covering(patterns[name])
                else:
                    covering &= index.anything
        return covering
