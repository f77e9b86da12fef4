"""Extracts the sequence of events of one request from log files."""

import re
import shlex
import typing

# The field with a request's identifier. Lines about changes of servers or of
# the store lack it and are selected by their time.
_REQUEST_FIELD = re.compile(r'\brequest=(\S+)')
_TIME_FIELD = re.compile(r'\btime=(\S+)')
# Maximum number of change lines in a timeline. Changes that a node recorded
# shortly before the request ended may have decided its outcome.
MAX_CHANGE_LINES = 5


class LogLine(typing.NamedTuple):
    """One line of a node's log.

    Parameters
    ----------
    time : str
        Time of the line in UTC, in the format of the log.
    fields : dict of str to str
        Values of all fields by name, including the time.
    """

    time: str
    fields: dict[str, str]


def parse_line(text):
    """Return a `LogLine`, or None when the text has no time field.

    Examples
    --------
    >>> parse_line('time=12:00 node=a event=stopped detail="a b"').fields
    {'time': '12:00', 'node': 'a', 'event': 'stopped', 'detail': 'a b'}
    """
    time = _TIME_FIELD.search(text)
    if time is None:
        return None
    try:
        words = shlex.split(text[time.start() :])
    except ValueError:
        # A detail contains an unbalanced quote. Splitting at blanks still
        # finds the other fields.
        words = text[time.start() :].split()
    pairs = [word.partition('=') for word in words if '=' in word]
    return LogLine(time.group(1), {name: value for name, _, value in pairs})


def find_timeline(lines, request_id):
    """Return the lines of a request and the latest changes before its end.

    Changes are lines without a request identifier. Those logged by the nodes
    of the request up to its last line count, at most `MAX_CHANGE_LINES`.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any nodes, in any order.
    request_id : str
        The identifier of the request.

    Returns
    -------
    list of LogLine
        Lines in order of time; empty if no line has the identifier.

    Examples
    --------
    >>> found = find_timeline(
    ...     [
    ...         'time=2 node=a event=request_ended request=r1 status=200',
    ...         'time=1 node=a kind=server subject=s1 after=removed',
    ...         'time=1 node=b kind=server subject=s1 after=removed',
    ...     ],
    ...     'r1',
    ... )
    >>> [line.fields.get('event') for line in found]
    [None, 'request_ended']
    """
    request_lines, change_lines = [], []
    for text in lines:
        id_match = _REQUEST_FIELD.search(text)
        if id_match is not None and id_match.group(1) != request_id:
            continue
        line = parse_line(text)
        if line is not None:
            (change_lines if id_match is None else request_lines).append(line)
    if not request_lines:
        return []
    nodes = {line.fields.get('node') for line in request_lines}
    end_time = max(line.time for line in request_lines)
    changes_before_end = [
        line
        for line in change_lines
        if line.time <= end_time and line.fields.get('node') in nodes
    ]
    changes_before_end.sort(key=lambda line: line.time)
    return sorted(
        request_lines + changes_before_end[-MAX_CHANGE_LINES:],
        key=lambda line: line.time,
    )


def format_timeline(timeline):
    """Return a timeline as text, with one row per log line."""
    omitted_fields = ('time', 'level', 'logger', 'node')
    rows = []
    for line in timeline:
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.fields.items()
            if name not in omitted_fields
        )
        rows.append(f'{line.time} {line.fields.get("node", "-")} {fields}')
    return '\n'.join(rows)
