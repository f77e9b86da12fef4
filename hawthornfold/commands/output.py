"""Formats failures, tables and nested values for terminals."""

import sys

import msgspec

from hawthornfold.codes import describe_failure

# Exit statuses, documented in the help text of `CommandLine`.
EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_INTERRUPTED = 130

_MAX_CELL_CHARACTERS = 60


def print_error(text):
    """Print a line to standard error."""
    print(text, file=sys.stderr)


def format_failure(failure):
    """Return a failure as one line, with its position and its path.

    Examples
    --------
    >>> from hawthornfold.codes import Failure
    >>> from hawthornfold.codes import ResultCode
    >>> format_failure(Failure(ResultCode.FIELD_TYPE, 'no port', 'a.b', 2, 3))
    '202 FIELD_TYPE at line 2 column 3: no port [a.b]'
    """
    line = describe_failure(failure)
    if failure.line and failure.path:
        line += f' [{failure.path}]'
    return line


def format_json(value):
    """Return a value of built-in types and NamedTuples as indented JSON."""
    encoded = msgspec.json.encode(value)
    return msgspec.json.format(encoded, indent=2).decode()


def format_cell(value):
    """Return a scalar or a small nested value as text on one line.

    Examples
    --------
    >>> format_cell(None), format_cell(True), format_cell(['a', 1])
    ('-', 'yes', 'a, 1')
    """
    if value is None or value == [] or value == {} or value == '':
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.3f}'.rstrip('0').rstrip('.')
    if isinstance(value, dict):
        return ', '.join(f'{k}={format_cell(v)}' for k, v in value.items())
    if isinstance(value, (list, tuple)):
        return ', '.join(format_cell(item) for item in value)
    return ' '.join(str(value).split())


def format_table(headings, rows):
    """Return a table with aligned columns, separated by two spaces.

    Parameters
    ----------
    headings : sequence of str
        Headings of the columns.
    rows : iterable of sequence
        Values of the cells, as many per row as there are headings. Longer
        texts are cut to 60 characters.

    Examples
    --------
    >>> print(format_table(['rule', 'matched'], [['status', True]]))
    rule    matched
    status  yes
    """
    lines = [list(headings)]
    for row in rows:
        cells = [format_cell(cell) for cell in row]
        lines.append(
            [
                cell
                if len(cell) <= _MAX_CELL_CHARACTERS
                else cell[: _MAX_CELL_CHARACTERS - 3] + '...'
                for cell in cells
            ]
        )
    widths = [
        max(len(cell) for cell in column)
        for column in zip(*lines, strict=True)
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_records(records):
    """Return a table of dictionaries, one row each.

    Columns are in the order in which their keys first appear.

    Examples
    --------
    >>> print(format_records([{'a': 1}, {'a': 2, 'b': 'x'}]))
    a  b
    1  -
    2  x
    """
    columns = list(dict.fromkeys(key for row in records for key in row))
    rows = [[row.get(column) for column in columns] for row in records]
    return format_table(columns, rows)


def _are_records(value):
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )


def format_sections(value, heading=''):
    """Return a decoded JSON object as sections of fields and tables.

    Nested objects and lists of objects become sections, whose headings are
    their paths.

    Examples
    --------
    >>> print(format_sections({'name': 'n1', 'members': [{'name': 'n2'}]}))
    name  n1
    <BLANKLINE>
    members
    name
    n2
    """
    if _are_records(value):
        body = format_records(value)
    elif not isinstance(value, dict):
        body = format_cell(value)
    else:
        nested = {
            key: item
            for key, item in value.items()
            if isinstance(item, dict) and item or _are_records(item)
        }
        plain = [str(key) for key in value if key not in nested]
        width = max(map(len, plain), default=0)
        lines = [
            f'{key:<{width}}  {format_cell(item)}'
            for key, item in value.items()
            if key not in nested
        ]
        blocks = ['\n'.join(lines)] if lines else []
        blocks += [
            format_sections(item, f'{heading}.{key}' if heading else str(key))
            for key, item in nested.items()
        ]
        body = '\n\n'.join(blocks)
    return f'{heading}\n{body}' if heading else body
