"""Reads a running node's status, requests and audit trail over HTTP.

The commands connect to the operators' port of the node.
"""

import collections
import datetime
import re
import time
import urllib.parse

import msgspec
from result import Err
from result import Ok
import urllib3

from hawthornfold.commands import output

_TIMEOUT_SECONDS = 5.0
_POLL_INTERVAL_SECONDS = 1.0
# Upper limit for the body of a response. A node's status lists its peers and
# servers; with 7,200 nodes it is far smaller.
_MAX_RESPONSE_BYTES = 64_000_000
# The end of the year 9999, the last year that datetime represents.
_MAX_TIME_MS = 253_402_300_800_000
_ERRNO_PREFIX = re.compile(r'^\[Errno -?\d+\] ')


def _describe_error(error):
    # In urllib3, NewConnectionError, as for a refused connection, is a
    # subclass of TimeoutError.
    if isinstance(error, urllib3.exceptions.TimeoutError) and not isinstance(
        error, urllib3.exceptions.NewConnectionError
    ):
        return f'no answer within {_TIMEOUT_SECONDS:g} s'
    # urllib3's error texts begin with the representation of a connection.
    text = str(error).rpartition(': ')[2]
    return _ERRNO_PREFIX.sub('', text) or type(error).__name__


def _describe_refusal(response, value):
    """Return an error text for a response with a status other than 200.

    A node's refusal has a JSON body with the code, its name and a detail.
    """
    fields = value if isinstance(value, dict) else {}
    parts = [
        str(fields[name]) for name in ('code', 'code_name') if name in fields
    ]
    subject = ' '.join(parts) or f'status {response.status}'
    return f'{subject}: {fields.get("detail") or response.reason}'


def _read_json(pool, url):
    """Return Ok with the decoded body of a 200, or Err with an error text."""
    try:
        response = pool.request(
            'GET', url, redirect=False, retries=False, preload_content=False
        )
        try:
            body = response.read(_MAX_RESPONSE_BYTES + 1)
        finally:
            response.close()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return Err(_describe_error(error))
    if len(body) > _MAX_RESPONSE_BYTES:
        return Err('the answer is too large')
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        value = None
    if response.status != 200:
        return Err(_describe_refusal(response, value))
    if not isinstance(value, (dict, list)):
        return Err('the answer is not a JSON object or array')
    return Ok(value)


class NodeReader:
    """Reads the operators' resources of one node.

    Parameters
    ----------
    address : str
        ``host:port`` of the node's operators' port.
    """

    def __init__(self, address):
        self._address = address
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_TIMEOUT_SECONDS, read=_TIMEOUT_SECONDS
            ),
        )

    def read(self, path):
        """Return Ok with the decoded JSON of a path, or Err with a text."""
        url = f'http://{self._address}/v1/operator/{path}'
        read = _read_json(self._pool, url)
        if read.is_err():
            return Err(f'{self._address}: {read.err_value}')
        return read


def _print_resource(reader, path, as_json, format_value):
    read = reader.read(path)
    if read.is_err():
        output.print_error(read.err_value)
        return output.EXIT_FAILED
    value = read.ok_value
    print(output.format_json(value) if as_json else format_value(value))
    return output.EXIT_DONE


def print_status(address, as_json):
    """Print the status of a node; return the exit status."""
    return _print_resource(
        NodeReader(address), 'status', as_json, output.format_sections
    )


def print_request(address, request_id, as_json):
    """Print what a node did for a request; return the exit status."""
    path = 'explain/' + urllib.parse.quote(request_id, safe='')
    return _print_resource(
        NodeReader(address), path, as_json, output.format_sections
    )


def _extract_entries(value):
    """Return the audit entries of a decoded answer, oldest first.

    Examples
    --------
    >>> _extract_entries({'entries': [{'kind': 'rules'}]})
    [{'kind': 'rules'}]
    """
    if isinstance(value, dict):
        value = value.get('entries', [])
    return [entry for entry in value if isinstance(entry, dict)]


def _convert_entry_time(entry):
    """Return an entry with its time as UTC text instead of milliseconds.

    Examples
    --------
    >>> _convert_entry_time({'time_ms': 1_500, 'kind': 'drain'})
    {'time': '1970-01-01T00:00:01.500Z', 'kind': 'drain'}
    """
    time_ms = entry.get('time_ms')
    if not isinstance(time_ms, int) or not 0 <= time_ms < _MAX_TIME_MS:
        return entry
    seconds, milliseconds = divmod(time_ms, 1000)
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    text = f'{moment:%Y-%m-%dT%H:%M:%S}.{milliseconds:03}Z'
    return {
        ('time' if name == 'time_ms' else name): (
            text if name == 'time_ms' else item
        )
        for name, item in entry.items()
    }


def _format_entries(value):
    entries = [_convert_entry_time(entry) for entry in _extract_entries(value)]
    return output.format_records(entries) if entries else 'no entries'


def _encode_entry(entry):
    return msgspec.json.encode(entry, order='sorted')


def find_new_entries(previous, current):
    """Return the entries of `current` that are not in `previous`.

    An entry that occurs more often in `current` is returned for each extra
    occurrence.

    Examples
    --------
    >>> find_new_entries([{'at': 1}], [{'at': 1}, {'at': 2}])
    [{'at': 2}]
    """
    unmatched = collections.Counter(map(_encode_entry, previous))
    new = []
    for entry in current:
        encoded = _encode_entry(entry)
        if unmatched[encoded]:
            unmatched[encoded] -= 1
        else:
            new.append(entry)
    return new


def _print_entries(entries, as_json):
    for entry in entries:
        if as_json:
            print(_encode_entry(entry).decode(), flush=True)
        else:
            print(output.format_cell(_convert_entry_time(entry)), flush=True)


def print_audit(address, limit, as_json, follow):
    """Print the audit trail of a node; return the exit status.

    Parameters
    ----------
    address : str
        ``host:port`` of the node's operators' port.
    limit : int
        Maximum number of entries to request.
    as_json : bool
        Whether to print JSON instead of text. With `follow`, it is one line
        per entry.
    follow : bool
        Whether to poll and print new entries until interrupted.
    """
    reader = NodeReader(address)
    path = f'audit?limit={limit}'
    if not follow:
        return _print_resource(
            reader,
            path,
            as_json,
            _format_entries,
        )
    previous_entries = []
    is_reachable = True
    while True:
        read = reader.read(path)
        if read.is_err() and is_reachable:
            output.print_error(read.err_value)
        is_reachable = read.is_ok()
        if is_reachable:
            entries = _extract_entries(read.ok_value)
            _print_entries(
                find_new_entries(previous_entries, entries), as_json
            )
            previous_entries = entries
        time.sleep(_POLL_INTERVAL_SECONDS)
