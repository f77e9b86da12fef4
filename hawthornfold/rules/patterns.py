"""Patterns: sets of strings given by exact values and prefixes."""

import typing

# In the order in which `explain` names the first difference.
PLAIN_FIELDS = (
    'service',
    'kind',
    'caller_class',
    'method',
    'path',
    'data_centre',
)


class PatternSet(typing.NamedTuple):
    """The strings that are in `exact` or start with one of `prefixes`."""

    exact: frozenset[str]
    prefixes: tuple[str, ...]

    def matches(self, value):
        """Return whether the set contains `value`."""
        return value in self.exact or value.startswith(self.prefixes)


def compile_pattern(pattern):
    """Return the `PatternSet` of a string or list of strings.

    Examples
    --------
    >>> compile_pattern(['status', 'se*']).matches('search')
    True
    """
    texts = [pattern] if isinstance(pattern, str) else pattern
    prefixes = {text[:-1] for text in texts if text.endswith('*')}
    return PatternSet(
        frozenset(text for text in texts if not text.endswith('*')),
        tuple(sorted(prefixes)),
    )


class Condition(typing.NamedTuple):
    """The compiled `when` of a rule.

    Parameters
    ----------
    fields : dict of str to PatternSet
        By name of a plain field; a missing field matches anything.
    headers : dict of str to PatternSet
        By lowercase name; the header must be present.
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
    """Return the `Condition` of the `when` object of a rule."""
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
