"""Polls ordinary and green sockets without blocking."""

from eventlet import patcher

# The patched module would suspend the calling green thread.
_select = patcher.original('select')


def is_readable(socket):
    """Return whether a socket has unread bytes or its stream has ended.

    Parameters
    ----------
    socket : object
        Object with a ``fileno()`` method.

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
