"""Parses the addresses of servers and describes failures to use them."""

import ipaddress
import os

_MAX_PORT = 65_535


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


def describe_error(error):
    """Return type and message of an error, for logs."""
    return f'{type(error).__name__}: {error}'


def describe_error_code(code):
    """Return the type and message of a system error, by its number."""
    return describe_error(OSError(code, os.strerror(code)))
