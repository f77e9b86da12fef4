"""Limits on how long an answer is written and how a body is framed."""

import contextlib
import io

# Maximum size of a chunk size line with its extension, and of a trailer line.
MAX_LINE_BYTES = 4_096
# Maximum size of all lines of a chunked body, beside one byte for each byte of
# the body. A chunk with 16 bytes has six more.
MAX_FRAMING_BYTES = 16 << 10


class FramingError(ValueError):
    """The lines between the chunks of a body exceed a limit."""


class BoundedFraming:
    """Input of a chunked body that limits the lines between its chunks.

    eventlet reads these lines without a limit.
    """

    def __init__(self, stream):
        self._stream = stream
        self._body_bytes = 0
        self._framing_bytes = 0

    def read(self, size):
        """Return at most `size` bytes of a chunk."""
        data = self._stream.read(size)
        self._body_bytes += len(data)
        return data

    def readline(self, size=-1):
        """Return the next line.

        Raises
        ------
        FramingError
            If the line, or all lines together, are too long.
        """
        line = self._stream.readline(MAX_LINE_BYTES + 1)
        self._framing_bytes += len(line)
        if len(line) > MAX_LINE_BYTES:
            raise FramingError('a line between the chunks is too long')
        if self._framing_bytes > MAX_FRAMING_BYTES + self._body_bytes:
            raise FramingError('the chunks have too many lines')
        return line


class _TimedSocketWriter(io.RawIOBase):
    """Writes answers to a socket, each within a time limit."""

    def __init__(self, connection, find_limit_ms, clock):
        self._connection = connection
        self._find_limit_ms = find_limit_ms
        self._clock = clock
        self._deadline_ms = None

    def writable(self):
        return True

    def write(self, data):
        """Send a part of `data`; return its size.

        Raises
        ------
        TimeoutError
            If the caller has not read the answer in time.
        """
        now_ms = self._clock.now_ms()
        if self._deadline_ms is None:
            self._deadline_ms = now_ms + self._find_limit_ms()
        if now_ms >= self._deadline_ms:
            raise TimeoutError('the answer was not read in time')
        return self._connection.send(data)

    def end_answer(self):
        """Have the next byte start the time limit again."""
        self._deadline_ms = None


class AnswerWriter(io.BufferedWriter):
    """Buffers answers, and limits the time in which each is read.

    The timeout of the socket starts again whenever the caller has read some
    bytes. A caller that reads a few at a time would hold an answer in memory
    for as long as it likes.

    Parameters
    ----------
    connection : socket.socket
        Its timeout limits each wait.
    find_limit_ms : callable
        Returns the maximum time in which an answer has to be read.
    clock : Clock
        Measures the time.
    size : int
        Size of the buffer in bytes.
    """

    def __init__(self, connection, find_limit_ms, clock, size):
        self._writer = _TimedSocketWriter(connection, find_limit_ms, clock)
        super().__init__(self._writer, size)

    def flush(self):
        """Write all buffered bytes; the answer ends with it."""
        super().flush()
        self._writer.end_answer()

    def close(self):
        """Close the writer; what the caller has not read is dropped."""
        with contextlib.suppress(OSError):
            super().close()
