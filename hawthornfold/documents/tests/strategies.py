"""Strategies for documents, used by several test modules."""

import json

from hypothesis import strategies

KEYS = strategies.sampled_from(
    ['a', 'b', 'NaN', 'x:y', '//', '"', '\\', 'é', '\u2028', '\U0001f600']
)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(strategies.characters(exclude_categories=['Cs'])),
    strategies.sampled_from(['0x10', 'Infinity', '/* no comment */', "'"]),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(KEYS, inner, max_size=4),
    ),
    max_leaves=20,
)
SEPARATORS = strategies.sampled_from(
    ['', ' ', '\n', '\r\n\t', '/* , : { " */', "// ] ' 0x1\n", '/**/', '//\n']
)


@strategies.composite
def commented_documents(draw, values=VALUES):
    """Draw a document with comments: its text, value and offsets by path."""
    value = draw(values)
    parts = []
    offsets = {}

    def write(text):
        parts.append(draw(SEPARATORS))
        offset = sum(map(len, parts))
        parts.append(text)
        return offset

    def write_value(item, path):
        if isinstance(item, dict):
            offset = write('{')
            for key, inner in item.items():
                quoted = json.dumps(key, ensure_ascii=draw(BOOLEANS))
                offsets[(*path, key)] = write(quoted)
                write(':')
                write_value(inner, (*path, key))
                write(',')
            write('}')
        elif isinstance(item, list):
            offset = write('[')
            for index, inner in enumerate(item):
                item_offset = write_value(inner, (*path, index))
                offsets[(*path, index)] = item_offset
                if index < len(item) - 1 or draw(BOOLEANS):
                    write(',')
            write(']')
        else:
            offset = write(json.dumps(item, ensure_ascii=draw(BOOLEANS)))
        return offset

    offsets[()] = write_value(value, ())
    parts.append(draw(SEPARATORS))
    return ''.join(parts), value, offsets


BOOLEANS = strategies.booleans()


@strategies.composite
def damaged_documents(draw, documents):
    """Draw the bytes of a document and replace up to 12 of them."""
    data = bytearray(draw(documents))
    start = draw(strategies.integers(0, len(data)))
    end = min(len(data), start + draw(strategies.integers(0, 12)))
    data[start:end] = draw(
        strategies.one_of(
            strategies.binary(max_size=4),
            strategies.sampled_from(
                [b'null', b'1e999', b'"', b'/*', b'{}', b'[', b'-1', b'0x1']
            ),
        )
    )
    return bytes(data)
