"""Finds the offsets of fields in a document, in linear time.

The scanner only runs to report a failure, on text that pyjson5 has accepted,
so it does not check the syntax.
"""

import enum
import re

import pyjson5

_STRING = r'"[^"\\]*(?:\\.[^"\\]*)*"|\'[^\'\\]*(?:\\.[^\'\\]*)*\''
_COMMENT = r'//[^\n\r\u2028\u2029]*|/\*.*?\*/'
_IGNORED = rf'(?:[\s\ufeff]+|{_COMMENT})'
_STRING_OR_COMMENT = re.compile(f'{_STRING}|{_COMMENT}', re.DOTALL)
_IGNORED_RUN = re.compile(f'{_IGNORED}*+', re.DOTALL)
# A string, word or bracket, and the colon or comma that follows it.
# Possessive repetition keeps the time linear in the length of the text.
_TOKEN = re.compile(
    rf'{_IGNORED}*+(?:({_STRING}|[^\s\ufeff{{}}\[\]:,"\'/]+)|([{{}}\[\]]))?'
    rf'{_IGNORED}*+([:,])?',
    re.DOTALL,
)
# Applies to text without strings and comments. A word before a colon is a
# key and is not matched.
_UNSUPPORTED_NUMBER = re.compile(
    r'(?<![\w$\\])[+-]?(?:Infinity|NaN|0[xX][0-9a-fA-F]+)(?![\w$\\])(?!\s*:)'
)
_UNSUPPORTED_NUMBER_MARKS = ('Infinity', 'NaN', '0x', '0X')


class Event(enum.Enum):
    """The kind of token that the scanner found.

    KEY is the key of an object member, VALUE a string or word that is the
    value of a member, ITEM the start of an array item or of the document, and
    OPEN an opening bracket.
    """

    KEY = 'key'
    VALUE = 'value'
    ITEM = 'item'
    OPEN = 'open'


# Looking up a member of the class for every token doubles the scan time.
_KEY, _VALUE, _ITEM, _OPEN = Event


def remove_strings_and_comments(text):
    """Return `text` without its strings and comments.

    Examples
    --------
    >>> remove_strings_and_comments('{"a:b": 1} // c: d')
    '{: 1} '
    """
    return _STRING_OR_COMMENT.sub('', text)


def has_unsupported_number(stripped):
    """Return whether any number is hexadecimal, infinite or NaN.

    Parameters
    ----------
    stripped : str
        Text without strings and comments.

    Examples
    --------
    >>> has_unsupported_number('{a: -Infinity}')
    True
    >>> has_unsupported_number('{NaN: 10}')
    False
    """
    # Searching for fixed strings is twenty times as fast as the regular
    # expression.
    return (
        any(mark in stripped for mark in _UNSUPPORTED_NUMBER_MARKS)
        and _UNSUPPORTED_NUMBER.search(stripped) is not None
    )


def skip_whitespace_and_comments(text, offset):
    """Return the offset of the first token at or after `offset`."""
    return _IGNORED_RUN.match(text, offset).end()


def _decode_key(token):
    if '\\' in token:
        return next(iter(pyjson5.decode(f'{{{token}:0}}')))
    return token[1:-1] if token[0] in '"\'' else token


def scan_document(text):
    """Yield (event, depth, step, offset, word) for each token of a document.

    `depth` is the number of containers around the token, `step` the key or
    the index of the item, `offset` the number of characters before it, and
    `word` the text of a value that is not a container. The tuples are plain,
    because a document has up to some hundred thousand.

    Examples
    --------
    >>> for found in scan_document('{"a": [true]}'):
    ...     print(*found)
    Event.ITEM 0 0 0 None
    Event.OPEN 1 None 0 None
    Event.KEY 1 a 1 None
    Event.OPEN 2 None 6 None
    Event.ITEM 2 0 7 true
    """
    # Per open container: the index of the current item, or None in an object.
    indexes = [0]
    depth = 0
    for match in _TOKEN.finditer(text):
        word, bracket, separator = match.groups()
        if word is not None:
            if separator == ':':
                yield _KEY, depth, _decode_key(word), match.start(1), None
                continue
            index = indexes[-1]
            event = _VALUE if index is None else _ITEM
            yield event, depth, index, match.start(1), word
        elif bracket == '{' or bracket == '[':
            offset = match.start(2)
            if indexes[-1] is not None:
                yield _ITEM, depth, indexes[-1], offset, None
            depth += 1
            indexes.append(None if bracket == '{' else 0)
            yield _OPEN, depth, None, offset, None
            continue
        elif bracket is not None:
            depth -= 1
            indexes.pop()
        if separator == ',' and indexes[-1] is not None:
            indexes[-1] += 1


def find_duplicate_key(text):
    """Return (path, offset) of the first duplicate key, or None.

    Examples
    --------
    >>> find_duplicate_key('{"a": [{"b": 1, "b": 2}]}')
    (('a', 0, 'b'), 16)
    """
    seen = {}
    path = []
    for event, depth, step, offset, _ in scan_document(text):
        if event is _OPEN:
            seen[depth] = set()
        elif event is not _VALUE and depth:
            path[depth - 1 :] = [step]
            if event is _KEY:
                if step in seen[depth]:
                    return tuple(path), offset
                seen[depth].add(step)
    return None


def find_unsupported_number(text):
    """Return (path, offset, word) of the first unsupported number, or None.

    Hexadecimal numbers, infinity and NaN are not supported.

    Examples
    --------
    >>> find_unsupported_number('{"a": -Infinity}')
    (('a',), 6, '-Infinity')
    """
    path = []
    for event, depth, step, offset, word in scan_document(text):
        if depth and (event is _KEY or event is _ITEM):
            path[depth - 1 :] = [step]
        if word is not None and _UNSUPPORTED_NUMBER.fullmatch(word):
            return tuple(path), offset, word
    return None


def find_offsets(text, paths):
    """Return a dictionary from each path that exists to its offset.

    Parameters
    ----------
    text : str
        A document that pyjson5 accepts. It has no duplicate keys.
    paths : iterable of tuple
        Keys and indexes from the root; ``()`` is the root.

    Examples
    --------
    >>> find_offsets('{"a": [7, 8]}', [(), ('a',), ('a', 1), ('b',)])
    {(): 0, ('a',): 1, ('a', 1): 10}
    """
    # A prefix tree of the paths, which the scan descends together with the
    # document. The key None marks the end of a path and holds that path.
    root = {}
    for path in paths:
        node = root
        for step in path:
            node = node.setdefault(step, {})
        node[None] = path
    offsets = {}
    missing = len(set(paths))
    nodes = [root]
    for event, depth, step, offset, _ in scan_document(text):
        if event is _VALUE or event is _OPEN:
            continue
        node = root
        if depth:
            parent = nodes[depth - 1]
            node = parent.get(step) if parent else None
            nodes[depth:] = [node]
        if node and None in node:
            offsets[node[None]] = offset
            missing -= 1
            if not missing:
                break
    return offsets
