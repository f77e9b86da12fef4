"""Finds fields that a JSON object has more than once."""

import functools
import json


def check_unique_fields(value, names):
    r"""Check that an object has none of some fields more than once.

    Decoders keep the last of two fields with one name, other readers of the
    store may keep the first.

    Parameters
    ----------
    value : bytes
        A JSON object that has been decoded before.
    names : sequence of str
        Names of fields, without characters that JSON escapes.

    Raises
    ------
    ValueError
        If a field occurs twice.

    Examples
    --------
    >>> check_unique_fields(b'{"a": 1, "b": {"a": 2}}', ['a'])
    >>> check_unique_fields(b'{"a": 1, "\\u0061": 2}', ['a'])
    Traceback (most recent call last):
    ...
    ValueError: the field 'a' occurs twice
    """
    # Counting is faster than decoding again, and almost no object has a name
    # twice or an escaped character.
    is_plain = b'\\' not in value and all(
        value.count(_quote(name)) <= 1 for name in names
    )
    if is_plain:
        return
    # The outermost object is the last one whose pairs are passed on.
    found = []
    json.loads(value, object_pairs_hook=lambda pairs: found.append(pairs))
    keys = [key for key, _ in found[-1]]
    for name in names:
        if keys.count(name) > 1:
            raise ValueError(f'the field {name!r} occurs twice')


@functools.cache
def _quote(name):
    return b'"%s"' % name.encode()
