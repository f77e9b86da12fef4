"""A linear scanner that finds where fields are in a document.

It only runs to report a failure, on text that pyjson5 has accepted; it
therefore checks no syntax itself.
"""

import enum
import re

import pyjson5

_STRING = r'"[^"\\]*(?:\\.[^"\\]*)*"|\'[^\'\\]*(?:\\.[^\'\\]*)*\''
_COMMENT = r'//[^\n\r\u2028\u2029]*|/\*.*?\*/'
_IGNORED = rf'(?:[\s\ufeff]+|{_COMMENT})'
_OPAQUE = re.compile(f'{_STRING}|{_COMMENT}', re.DOTALL)
_GAP = re.compile(f'{_IGNORED}*', re.DOTALL)
_TOKEN = re.compile(
    rf'{_IGNORED}+|(?P<mark>[{{}}\[\]:,])'
    rf'|(?P<text>{_STRING}|[^\s\ufeff{{}}\[\]:,"\'/]+)',
    re.DOTALL,
)
# On text without strings and comments. A word before a colon is a key.
_ODD_NUMBER = re.compile(
    r'(?<![\w$\\])[+-]?(?:Infinity|NaN|0[xX][0-9a-fA-F]+)(?![\w$\\])(?!\s*:)'
)


class Event(enum.Enum):
    """What the scanner found at an offset.

    KEY is the key of an object member, ITEM the start of an array item or of
    the document, OPEN a bracket, and VALUE a string or word as a value.
    """

    KEY = 'key'
    ITEM = 'item'
    OPEN = 'open'
    VALUE = 'value'


def strip_opaque(text):
    """Return `text` without its strings and comments.

    Examples
    --------
    >>> strip_opaque('{"a:b": 1} // c: d')
    '{: 1} '
    """
    return _OPAQUE.sub('', text)


def has_odd_number(bare):
    """Return whether a value is hexadecimal, infinite or not a number.

    Parameters
    ----------
    bare : str
        Text without strings and comments.

    Examples
    --------
    >>> has_odd_number('{a: -Infinity}'), has_odd_number('{NaN: 10}')
    (True, False)
    """
    return _ODD_NUMBER.search(bare) is not None


def skip_ignored(text, offset):
    """Return the offset of the first token at or after `offset`."""
    return _GAP.match(text, offset).end()


def _decode_key(token):
    if '\\' in token:
        return next(iter(pyjson5.decode(f'{{{token}:0}}')))
    return token[1:-1] if token[0] in '"\'' else token


def scan_document(text):
    """Yield (event, depth, step, offset) for everything in a document.

    `depth` is the number of containers around the finding. `step` is the key,
    the index of the item, or the text of the value. Plain tuples, because
    there are up to several hundred thousand.

    Examples
    --------
    >>> [step for _, _, step, _ in scan_document('{"a": [true, 7]}')]
    [0, None, 'a', None, 0, 'true', 1, '7']
    """
    yield Event.ITEM, 0, 0, skip_ignored(text, 0)
    # The index of the next item, or None in an object, by container.
    indexes = []
    # Whether the next text or bracket starts a member or an item.
    starts = False
    depth = 0
    for match in _TOKEN.finditer(text):
        kind = match.lastgroup
        if kind is None:
            continue
        token = match.group()
        if kind == 'mark' and token in ',:}]':
            if token == ',':
                starts = True
                if indexes[-1] is not None:
                    indexes[-1] += 1
            elif token != ':':
                indexes.pop()
                depth -= 1
                starts = False
            continue
        offset = match.start()
        if starts:
            starts = False
            if indexes[-1] is None:
                yield Event.KEY, depth, _decode_key(token), offset
                continue
            yield Event.ITEM, depth, indexes[-1], offset
        if kind == 'mark':
            indexes.append(None if token == '{' else 0)
            depth += 1
            starts = True
            yield Event.OPEN, depth, None, offset
        else:
            yield Event.VALUE, depth, token, offset


def find_duplicate_key(text):
    """Return (path, offset) of the first repeated key, or None.

    Examples
    --------
    >>> find_duplicate_key('{"a": [{"b": 1, "b": 2}]}')
    (('a', 0, 'b'), 16)
    """
    seen = {}
    path = []
    for event, depth, step, offset in scan_document(text):
        if event is Event.OPEN:
            seen[depth] = set()
        elif event is not Event.VALUE and depth:
            path[depth - 1 :] = [step]
            if event is Event.KEY:
                if step in seen[depth]:
                    return tuple(path), offset
                seen[depth].add(step)
    return None


def find_odd_number(text):
    """Return (path, offset, word) of the first hexadecimal or non-finite one.

    Examples
    --------
    >>> find_odd_number('{"a": -Infinity}')
    (('a',), 6, '-Infinity')
    """
    path = []
    for event, depth, step, offset in scan_document(text):
        if event is Event.VALUE:
            word = step.lstrip('+-')
            if word in ('Infinity', 'NaN') or word[:2] in ('0x', '0X'):
                return tuple(path), offset, step
        elif event is not Event.OPEN and depth:
            path[depth - 1 :] = [step]
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
    # A tree of the wanted paths, which the scan descends in step with the
    # document; `None` as a key marks the end of a wanted path.
    root = {}
    for path in paths:
        node = root
        for step in path:
            node = node.setdefault(step, {})
        node[None] = path
    offsets = {}
    missing = len(set(paths))
    nodes = [root]
    for event, depth, step, offset in scan_document(text):
        if event is Event.VALUE or event is Event.OPEN:
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
