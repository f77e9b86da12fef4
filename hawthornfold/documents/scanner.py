"""A linear scanner that finds where fields are in a document.

It only runs after a failure, or to confirm one, on text whose structure
pyjson5 has accepted; it therefore checks no syntax itself.
"""

import enum
import re
import typing

import pyjson5

_STRING = r'"[^"\\]*(?:\\.[^"\\]*)*"|\'[^\'\\]*(?:\\.[^\'\\]*)*\''
_COMMENT = r'//[^\n\r\u2028\u2029]*|/\*.*?\*/'
_SPACE = r'[\s\ufeff]+'
_OPAQUE = re.compile(f'{_STRING}|{_COMMENT}', re.DOTALL)
_IGNORED = re.compile(f'(?:{_SPACE}|{_COMMENT})*', re.DOTALL)
_TOKEN = re.compile(
    f'(?P<ignored>{_SPACE}|{_COMMENT})|(?P<string>{_STRING})'
    r'|(?P<mark>[{}\[\]:,])|(?P<word>[^\s\ufeff{}\[\]:,"\'/]+)',
    re.DOTALL,
)


class Event(enum.Enum):
    """What the scanner found."""

    KEY = 'key'
    ITEM = 'item'
    OPEN = 'open'
    VALUE = 'value'


class Found(typing.NamedTuple):
    """One finding.

    Parameters
    ----------
    event : Event
        KEY for the key of an object member, ITEM for the start of an array
        item, OPEN for a bracket, VALUE for a string or word as a value.
    depth : int
        Number of containers around the finding.
    step : str or int or None
        The key, the index of the item, or the word.
    offset : int
        Characters before the finding.
    """

    event: Event
    depth: int
    step: object
    offset: int


def strip_opaque(text):
    """Return `text` without its strings and comments.

    Examples
    --------
    >>> strip_opaque('{"a:b": 1} // c: d')
    '{: 1} '
    """
    return _OPAQUE.sub('', text)


def skip_ignored(text, offset):
    """Return the offset of the first token at or after `offset`."""
    return _IGNORED.match(text, offset).end()


def _decode_key(token):
    if token[0] in '"\'':
        if '\\' in token:
            return pyjson5.decode(token)
        return token[1:-1]
    if '\\' in token:
        return next(iter(pyjson5.decode(f'{{{token}:0}}')))
    return token


def scan_document(text):
    """Yield a `Found` for every key, array item, bracket and value.

    Examples
    --------
    >>> [found.step for found in scan_document('{"a": [true, 7]}')]
    [0, None, 'a', None, 0, 'true', 1, '7']
    """
    # One entry a container: the index of the next item, or None in objects.
    indexes = []
    # Whether the next string or word starts a member or an item.
    starts = False
    for match in _TOKEN.finditer(text):
        kind = match.lastgroup
        if kind == 'ignored':
            continue
        token = match.group()
        offset = match.start()
        depth = len(indexes)
        if token == ',' and kind == 'mark':
            starts = True
            if indexes[-1] is not None:
                indexes[-1] += 1
            continue
        if token == ':' and kind == 'mark':
            continue
        if kind == 'mark' and token in '}]':
            indexes.pop()
            starts = False
            continue
        if starts:
            starts = False
            if indexes[-1] is None:
                yield Found(Event.KEY, depth, _decode_key(token), offset)
                continue
            yield Found(Event.ITEM, depth, indexes[-1], offset)
        elif depth == 0:
            yield Found(Event.ITEM, 0, 0, offset)
        if kind == 'mark':
            indexes.append(None if token == '{' else 0)
            starts = True
            yield Found(Event.OPEN, depth + 1, None, offset)
        else:
            yield Found(Event.VALUE, depth, token, offset)


def find_duplicate_key(text):
    """Return (path, offset) of the first repeated key, or None.

    Examples
    --------
    >>> find_duplicate_key('{"a": [{"b": 1, "b": 2}]}')
    (('a', 0, 'b'), 16)
    """
    seen = {}
    path = []
    for found in scan_document(text):
        if found.event is Event.OPEN:
            seen[found.depth] = set()
        elif found.event is not Event.VALUE and found.depth:
            path[found.depth - 1 :] = [found.step]
            if found.event is Event.KEY:
                if found.step in seen[found.depth]:
                    return tuple(path), found.offset
                seen[found.depth].add(found.step)
    return None


def find_odd_number(text):
    """Return (path, offset, word) of the first hexadecimal or non-finite one.

    Examples
    --------
    >>> find_odd_number('{"a": -Infinity}')
    (('a',), 6, '-Infinity')
    """
    path = []
    for found in scan_document(text):
        if found.event is Event.VALUE:
            word = found.step.lstrip('+-').lower()
            if word in ('infinity', 'nan') or word.startswith('0x'):
                return tuple(path), found.offset, found.step
        elif found.event is not Event.OPEN and found.depth:
            path[found.depth - 1 :] = [found.step]
    return None


def find_offsets(text, paths):
    """Return a dictionary from each path that exists to its offset.

    Parameters
    ----------
    text : str
        A document that pyjson5 accepts, without duplicate keys.
    paths : iterable of tuple
        Keys and indexes from the root; ``()`` is the root.

    Examples
    --------
    >>> find_offsets('{"a": [7, 8]}', [(), ('a',), ('a', 1), ('b',)])
    {(): 0, ('a',): 1, ('a', 1): 10}
    """
    # A tree of the wanted paths; the scan descends it alongside the document.
    root = {}
    wanted = set(paths)
    for path in wanted:
        node = root
        for step in path:
            node = node.setdefault(step, {})
    offsets = {}
    nodes = [root]
    path = []
    for found in scan_document(text):
        if len(offsets) == len(wanted):
            break
        if found.event is Event.VALUE or found.event is Event.OPEN:
            continue
        depth = found.depth
        if depth == 0:
            if () in wanted:
                offsets[()] = found.offset
            continue
        path[depth - 1 :] = [found.step]
        parent = nodes[depth - 1] if depth <= len(nodes) else None
        child = parent.get(found.step) if parent else None
        nodes[depth:] = [child]
        if child is not None and tuple(path) in wanted:
            offsets[tuple(path)] = found.offset
    return offsets
