"""Looks at sockets without blocking, whichever kind they are."""

from eventlet import patcher

# The patched module would suspend the green thread.
_select = patcher.original('select')


def is_readable(socket):
    """Return whether bytes, or the end of the stream, wait at a socket.

    Parameters
    ----------
    socket : object
        Anything with ``fileno()``.

    Examples
    --------
    >>> import socket as sockets
    >>> left, right = sockets.socketpair()
    >>> is_readable(left)
    False
    >>> right.close()
    >>> is_readable(left)
    True
    >>> left.close()
    """
    poll = _select.poll()
    poll.register(socket.fileno(), _select.POLLIN)
    return bool(poll.poll(0))
