"""Writes a bounded rate of log lines to a descriptor without blocking."""

import collections

from eventlet import patcher
import logbook
from logbook.base import NOTICE

# The patched modules would suspend the green thread that logs.
_os = patcher.original('os')
_select = patcher.original('select')

# Maximum number of lines per second. During a failure, a node logs every
# request and every change of a server. The counters also cover those whose
# lines were dropped.
LINES_PER_SECOND = 300
# Share of both bounds that is reserved for lines of level notice or above.
# Lines about single requests are below that level.
NOTICE_SHARE = 0.2
# Maximum number of lines that are queued while the reader is behind.
MAX_PENDING = 1_000
# Number of bytes that a pipe accepts without blocking if it polls as writable.
_PIPE_BYTES = 4_096


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """A log handler that drops lines instead of blocking.

    Lines are dropped if there are more than `LINES_PER_SECOND` in a second or
    if more than `MAX_PENDING` lines are queued. Lower bounds apply to lines
    below the level notice. The next line that is written reports the number
    of dropped lines.

    Parameters
    ----------
    descriptor : int
        File descriptor that lines are written to.
    clock : Clock
        Determines the second that a line belongs to.
    """

    def __init__(self, descriptor, level, clock, format_string):
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, format_string)
        self._descriptor = descriptor
        self._clock = clock
        self._pending = collections.deque()
        self._second = 0
        self._lines_in_second = 0
        self._dropped = 0
        self._poll = _select.poll()
        self._poll.register(descriptor, _select.POLLOUT)

    @property
    def dropped(self):
        """Number of dropped lines that no line has reported yet."""
        return self._dropped

    def emit(self, record):
        """Write a record or drop it."""
        if not self._admit_line(record.level):
            self._dropped += 1
            return
        line = self.format(record).replace('\n', '\\n')
        if self._dropped:
            line += f' dropped_lines={self._dropped}'
            self._dropped = 0
        data = line.encode(errors='replace')[: _PIPE_BYTES - 1] + b'\n'
        self._pending.append(data)
        self.flush()

    def flush(self):
        """Write queued lines as long as that does not block."""
        while self._pending and self._poll.poll(0):
            data = self._pending.popleft()
            try:
                written = _os.write(self._descriptor, data)
            except BlockingIOError:
                self._pending.appendleft(data)
                return
            except OSError:
                # The reader has closed its end.
                self._dropped += 1 + len(self._pending)
                self._pending.clear()
                return
            if written < len(data):
                self._pending.appendleft(data[written:])

    def _admit_line(self, level):
        second = int(self._clock.now_ms() // 1000.0)
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        share = 1.0 if level >= NOTICE else 1.0 - NOTICE_SHARE
        is_admitted = (
            self._lines_in_second < LINES_PER_SECOND * share
            and len(self._pending) < MAX_PENDING * share
        )
        if is_admitted:
            self._lines_in_second += 1
        return is_admitted


def create_bounded_handler(descriptor, level, clock, format_string):
    """Create a handler that writes to an open descriptor."""
    return BoundedHandler(descriptor, level, clock, format_string)
