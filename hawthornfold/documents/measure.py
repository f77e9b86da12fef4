"""Measures parsing: ``python -m hawthornfold.documents.measure``.

Prints for how long parsing blocks the event loop, for documents of about 1 MB
that are slow to parse. docs/decisions/documents.md records the results.
"""

from hawthornfold.clock import create_system_clock
from hawthornfold.documents import document

_RUNS = 5


def repeat_item(item, size=document.MAX_BYTES, count=None):
    """Return the bytes of an array that repeats `item`.

    Parameters
    ----------
    item : str
        JSON of one item.
    size : int
        Maximum size of the array in bytes.
    count : int, optional
        Maximum number of items; by default, as many as fit into `size`.

    Examples
    --------
    >>> repeat_item('{}', size=9)
    b'[{},{}]'
    """
    fitting = (size - 1) // (len(item) + 1)
    items = [item] * min(fitting, count or fitting)
    return f'[{",".join(items)}]'.encode()


def create_documents():
    """Return a dictionary from names to documents that are slow to parse.

    The first group is refused for too many values. The second has nearly the
    maximum number of values and a fault at the end. The third is large but
    has few values.
    """
    allowed = document.MAX_VALUES - 2
    padding = ' ' * (document.MAX_BYTES // document.MAX_VALUES - 2)
    members = ','.join(f'"{number:x}":0' for number in range(allowed - 1))
    return {
        'too many: empty objects': repeat_item('{}'),
        'too many: numbers': repeat_item('1'),
        'too many: empty strings': repeat_item('""'),
        'too many: line comments': repeat_item('//\n1'),
        'too many: nested arrays': repeat_item('[' * 60 + ']' * 60),
        'fault at end: duplicate key': f'{{{members},"0":1,"0":2}}'.encode(),
        'fault at end: hexadecimal': (
            repeat_item(f'1{padding}', count=allowed)[:-1] + b',0x1]'
        ),
        'fault at end: syntax': (
            repeat_item(f'1{padding}', count=allowed)[:-1] + b',x]'
        ),
        'large: one string': f'"{"a" * 999_990}"'.encode(),
        'large: escapes': f'"{chr(92) * 999_990}"'.encode(),
        'large: long numbers': repeat_item('1' * 4_000),
        'large: spaces': b' ' * 999_990 + b'1',
        'large: comment': b'/*' + b'*' * 999_990 + b'*/1',
        'large: not UTF-8': b' ' * 999_990 + b'\xff',
    }


def main():
    """Print the longest parsing time of several runs per document."""
    clock = create_system_clock()
    print(f'{"document":30}  longest, ms  outcome')
    for name, data in create_documents().items():
        longest_ms = 0.0
        for _ in range(_RUNS):
            started_ms = clock.now_ms()
            parsed = document.parse_document(data)
            longest_ms = max(longest_ms, clock.now_ms() - started_ms)
        outcome = 'accepted' if parsed.is_ok() else parsed.err_value.code.name
        print(f'{name:30}  {longest_ms:11.1f}  {outcome}')


if __name__ == '__main__':
    main()
