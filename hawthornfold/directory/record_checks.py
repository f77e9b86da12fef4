"""Checks the records of servers, which may have been written by anyone."""

import ipaddress

_MAX_PORT = 65_535
# Names are sent to other nodes with each record, and logged. Two names of
# 0.9 MB exceed the size of a message, so that no follower receives it.
MAX_NAME_LENGTH = 200
MAX_SLOTS = 1 << 20
MAX_WARMUP_MS = 1e12
# In the year 2286. A record whose start lies in the future replaces those
# that the server writes later.
MAX_BORN_MS = 10**13


def parse_endpoint(address):
    """Return the IP address and the port of ``ip:port``.

    A host name is refused: resolving it would block the event loop.

    Raises
    ------
    ValueError
        If it is not an IPv4 address and a port.

    Examples
    --------
    >>> parse_endpoint('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    is_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_port or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'{address[:80]!r} is not ip:port')
    return str(ipaddress.IPv4Address(host)), int(port)


def check_record(record):
    """Check that a server can be used by its record.

    Parameters
    ----------
    record : ServerRecord
        The record, from the store or from another node.

    Raises
    ------
    ValueError
        If a field has a value that no server has.

    Examples
    --------
    >>> from hawthornfold.directory.records import ServerRecord
    >>> record = ServerRecord('s1', 'portal', '127.0.0.1:80', 'dc-a', 2)
    >>> check_record(record)
    >>> check_record(record._replace(address='127.0.0.1:70000'))
    Traceback (most recent call last):
    ...
    ValueError: '127.0.0.1:70000' is not ip:port
    """
    parse_endpoint(record.address)
    # Requests carry the id in a header.
    for name in (record.server_id, record.service, record.data_centre):
        if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
            raise ValueError(f'{name[:80]!r} is not a name')
    if not 0 <= record.slots <= MAX_SLOTS:
        raise ValueError(f'{record.slots} is not a number of slots')
    warmup_ms = record.warmup_ms
    if not 0 <= warmup_ms <= MAX_WARMUP_MS:
        raise ValueError(f'{warmup_ms} ms is not a time to warm up')
    if not 0 <= record.born_ms <= MAX_BORN_MS:
        raise ValueError(f'{record.born_ms} ms is not a start time')
