"""Receives bytes from sockets and reports resets as errors."""

from eventlet import hubs


def receive(socket, amount):
    """Return up to `amount` bytes, or b'' at the regular end of the stream.

    eventlet's ``recv`` also returns b'' after a reset, so that a truncated
    response whose end is the end of its connection would look complete.

    Raises
    ------
    OSError
        If the connection was reset.
    """
    raw = getattr(socket, 'fd', None)
    if raw is None:
        return socket.recv(amount)
    while True:
        try:
            return raw.recv(amount)
        except BlockingIOError:
            hubs.trampoline(raw.fileno(), read=True)
