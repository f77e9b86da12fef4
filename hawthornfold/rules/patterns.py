"""Compiles patterns, which match exact values and prefixes."""

import functools
import typing

# The order decides which difference `RuleSet.explain` reports first.
PLAIN_FIELDS = (
    'service',
    'kind',
    'caller_class',
    'method',
    'path',
    'data_centre',
)


class PatternSet(typing.NamedTuple):
    """A set of strings: those in `exact` or with one of `prefixes`."""

    exact: frozenset[str]
    prefixes: tuple[str, ...]

    def matches(self, value):
        """Return whether the set contains `value`."""
        return value in self.exact or value.startswith(self.prefixes)


def compile_pattern(pattern):
    """Compile a string or list of strings to a `PatternSet`.

    A trailing "*" makes a string a prefix.

    Examples
    --------
    >>> compile_pattern(['status', 'se*']).matches('search')
    True
    """
    if isinstance(pattern, str):
        return _compile_text(pattern)
    texts = pattern
    prefixes = {text[:-1] for text in texts if text.endswith('*')}
    return PatternSet(
        frozenset(text for text in texts if not text.endswith('*')),
        tuple(sorted(prefixes)),
    )


@functools.lru_cache(maxsize=1_024)
def _compile_text(text):
    """Compile a single string; rules have many patterns in common."""
    if text.endswith('*'):
        return PatternSet(frozenset(), (text[:-1],))
    return PatternSet(frozenset((text,)), ())


class Condition(typing.NamedTuple):
    """The compiled `when` of a rule.

    Parameters
    ----------
    fields : dict of str to PatternSet
        Patterns by name of a plain field; a field that is not in the
        dictionary matches any value.
    headers : dict of str to PatternSet
        Patterns by lowercase header name; a request without the header does
        not match.
    """

    fields: dict[str, PatternSet]
    headers: dict[str, PatternSet]

    def find_difference(self, facts):
        """Return the first field that does not match `facts`, or None.

        Examples
        --------
        >>> from hawthornfold.rules.decisions import RequestFacts
        >>> condition = Condition({'kind': compile_pattern('s*')}, {})
        >>> condition.find_difference(RequestFacts('portal', 'record'))
        'kind'
        """
        for name, pattern in self.fields.items():
            if not pattern.matches(getattr(facts, name)):
                return name
        for name, pattern in self.headers.items():
            value = facts.headers.get(name)
            if value is None or not pattern.matches(value):
                return f'headers.{name}'
        return None

    def matches_headers(self, headers):
        """Return whether the conditions on headers hold."""
        for name, pattern in self.headers.items():
            value = headers.get(name)
            if value is None or not pattern.matches(value):
                return False
        return True


def compile_condition(when):
    """Compile the `When` of a rule to a `Condition`."""
    fields = {}
    for name in PLAIN_FIELDS:
        pattern = getattr(when, name)
        if pattern is not None:
            fields[name] = compile_pattern(pattern)
    headers = {
        name: compile_pattern(pattern)
        for name, pattern in when.headers.items()
    }
    return Condition(fields, headers)
