"""Reads the round-trip time that the kernel measured for a connection."""

import socket
import struct

# Offset of ``tcpi_rtt``, 32 bits in microseconds, in Linux's ``tcp_info``.
_RTT_OFFSET = 68
_INFO_BYTES = 104
_RTT = struct.Struct('=I')


def read_round_trip_ms(connection):
    """Return the smoothed round-trip time of a TCP socket, or None.

    Returns
    -------
    float or None
        Milliseconds, or None if the kernel does not report a time.

    Examples
    --------
    >>> with socket.create_server(('127.0.0.1', 0)) as server:
    ...     with socket.create_connection(server.getsockname()) as caller:
    ...         0.0 < read_round_trip_ms(caller) < 1000.0
    True
    """
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES
        )
    except OSError:
        return None
    if len(info) < _RTT_OFFSET + _RTT.size:
        return None
    microseconds = _RTT.unpack_from(info, _RTT_OFFSET)[0]
    return microseconds / 1000.0 if microseconds else None
