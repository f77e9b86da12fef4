"""HTTP connection pools whose replies are limited in size and time.

The timeout of a socket starts again with each byte that arrives, and the
standard library reads interim responses and trailers without end. Here the
limits apply to all bytes of a reply, its head included.
"""

import http.client
import io
import typing

import urllib3
import urllib3.connection

from hawthornfold.clock import create_system_clock


class ReplyLimits(typing.NamedTuple):
    """Limits of one reply.

    Parameters
    ----------
    transfer_ms : float or None
        Maximum time from its first byte to its last one. The time until the
        first byte is limited by the read timeout of the request. With None,
        this timeout limits the reply as a whole.
    total_bytes : int
        Maximum size, with head and framing.
    """

    transfer_ms: float | None
    total_bytes: int


class _LimitedStream(io.RawIOBase):
    """Reads one reply from a socket within its limits."""

    def __init__(self, connection, limits, clock):
        self._connection = connection
        self._stream = connection.makefile('rb', buffering=0)
        self._timeout_s = connection.gettimeout()
        self._limits = limits
        self._clock = clock
        self._left_bytes = limits.total_bytes
        self._has_received = False
        self._is_head_complete = False
        self._deadline_ms = None
        if limits.transfer_ms is None and self._timeout_s is not None:
            self._deadline_ms = clock.now_ms() + self._timeout_s * 1000.0

    def readable(self):
        return True

    def end_head(self):
        """Record that the head is complete; the body may end the stream."""
        self._is_head_complete = True

    def readinto(self, buffer):
        """Read into `buffer`; return the number of bytes read.

        Raises
        ------
        OSError
            If the reply exceeds a limit; TimeoutError for the time.
            ConnectionError if the stream ends within the head.
        """
        self._limit_wait()
        count = self._stream.readinto(buffer)
        if count and self._deadline_ms is None and self._limits.transfer_ms:
            self._deadline_ms = self._clock.now_ms() + self._limits.transfer_ms
        if count:
            self._has_received = True
        elif self._has_received and not self._is_head_complete:
            raise ConnectionError('the head of the reply ends early')
        self._left_bytes -= count or 0
        if self._left_bytes < 0:
            raise OSError(
                f'the reply has more than {self._limits.total_bytes} bytes'
            )
        return count

    def _limit_wait(self):
        if self._deadline_ms is None:
            return
        left_ms = self._deadline_ms - self._clock.now_ms()
        if left_ms <= 0.0:
            raise TimeoutError('the reply did not arrive in time')
        self._connection.settimeout(left_ms / 1000.0)

    def close(self):
        """Close the stream, but not the connection."""
        if not self.closed:
            # The next request is sent with the timeout of before.
            if self._connection.fileno() >= 0:
                self._connection.settimeout(self._timeout_s)
            self._stream.close()
        super().close()


def create_response_class(limits, clock=None):
    """Create a class of responses with limits, for `http.client`.

    Parameters
    ----------
    limits : ReplyLimits
        Limits of each reply.
    clock : Clock, optional
        Measures the time.

    Returns
    -------
    type
        To be set as ``response_class`` of a connection class.
    """
    clock = clock or create_system_clock()

    class LimitedResponse(http.client.HTTPResponse):
        def __init__(self, sock, *arguments, **fields):
            super().__init__(sock, *arguments, **fields)
            self.fp.close()
            self._stream = _LimitedStream(sock, limits, clock)
            self.fp = io.BufferedReader(self._stream)

        def begin(self):
            # The standard library takes the end of the connection for the
            # end of the head: without a length the reply then counts as
            # complete, with an empty body.
            super().begin()
            self._stream.end_head()

    return LimitedResponse


def create_limited_pool(limits, clock=None, **options):
    """Create a urllib3 pool manager for HTTP with limited replies.

    Parameters
    ----------
    limits : ReplyLimits
        Limits of each reply.
    clock : Clock, optional
        Measures the time.
    **options : dict
        Arguments of `urllib3.PoolManager`.

    Returns
    -------
    urllib3.PoolManager
        Its replies raise urllib3's errors when they exceed a limit.
    """

    class LimitedConnection(urllib3.connection.HTTPConnection):
        response_class = create_response_class(limits, clock)

    class LimitedPool(urllib3.HTTPConnectionPool):
        ConnectionCls = LimitedConnection

    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {'http': LimitedPool}
    return manager
