"""Receives from sockets without hiding resets."""

from eventlet import hubs


def receive(socket, amount):
    """Return up to `amount` bytes, b'' at the orderly end of the stream.

    eventlet's ``recv`` returns b'' after a reset as well, so that half of a
    response that ends with its connection looks complete.

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
