"""Formats the descriptions of document faults for operators."""

import difflib
import re

import msgspec

from hawthornfold.documents.document import shorten

_UNITS = {'ms': 'milliseconds', 'bytes': 'bytes', 'percent': 'percent'}
_TYPE_NAMES = {
    dict: 'an object',
    list: 'an array',
    str: 'a string',
    bool: 'a boolean',
    int: 'an integer',
    float: 'a number',
    type(None): 'null',
}
_MSGSPEC_TYPE_NAMES = {
    'object': 'an object',
    'array': 'an array',
    'str': 'a string',
    'bool': 'a boolean',
    'int': 'an integer',
    'float': 'a number',
}
_MAX_NAME_CHARACTERS = 64


def suggest_name(name, known_names):
    """Return '; did you mean ...?' for the closest known name, or ''.

    Examples
    --------
    >>> suggest_name('pert', ['port', 'host'])
    '; did you mean "port"?'
    """
    # Skips long names: comparing is quadratic in the length of the names.
    if len(name) <= _MAX_NAME_CHARACTERS:
        close = difflib.get_close_matches(name, sorted(known_names), 1)
        if close:
            return f'; did you mean "{close[0]}"?'
    return ''


def describe_value(value):
    """Return a short description of a parsed value.

    Examples
    --------
    >>> describe_value('80ms'), describe_value(7)
    ('the string "80ms"', 'the integer 7')
    >>> describe_value([]), describe_value(None)
    ('an array', 'null')
    """
    if isinstance(value, str):
        return f'the string "{shorten(value)}"'
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, int):
        # Python does not format integers of thousands of digits.
        if value.bit_length() > 128:
            return 'an integer of more than 128 bits'
        return f'the integer {value}'
    if isinstance(value, float):
        return f'the number {value}'
    return _TYPE_NAMES[type(value)]


def use_json_type_names(text):
    """Replace the type names of Python in a msgspec message by those of JSON.

    Examples
    --------
    >>> use_json_type_names('Expected `int | null`')
    'expected an integer or null'
    """
    text = re.sub(
        '`([a-z| ]+)`',
        lambda match: ' or '.join(
            _MSGSPEC_TYPE_NAMES.get(name, name)
            for name in match.group(1).split(' | ')
        ),
        text,
    )
    return text[:1].lower() + text[1:].replace('`', '')


def describe_unit(path):
    """Return the unit of the field at `path` in parentheses, or ''.

    Examples
    --------
    >>> describe_unit(('callers', 'read_timeout_ms'))
    ' (milliseconds)'
    """
    names = [step for step in path if isinstance(step, str)]
    unit = _UNITS.get(names[-1].rsplit('_', 1)[-1]) if names else None
    return f' ({unit})' if unit else ''


def read_extra(hint, name):
    """Return the entry `name` of the `extra` of an annotated type, or None.

    The docstring of `convert_document` lists the entries.
    """
    for meta in getattr(hint, '__metadata__', ()):
        if isinstance(meta, msgspec.Meta) and meta.extra:
            return meta.extra.get(name)
    return None
