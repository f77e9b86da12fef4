"""Writes log lines to a descriptor without blocking, within a bound."""

import collections

from eventlet import patcher
import logbook
from logbook.base import NOTICE

# eventlet's versions would suspend the green thread that logs.
_os = patcher.original('os')
_select = patcher.original('select')

# Lines in any second. A node in trouble logs each request and each change of
# a server; beyond this the counters tell how many there were.
LINES_PER_SECOND = 300
# Lines of single requests leave this part of the bound to the others, which
# have the level notice or above.
NOTICE_SHARE = 0.2
# Lines kept while the reader of the descriptor is behind.
MAX_PENDING = 1_000
# A pipe that polls as writable takes this many bytes without blocking.
_PIPE_BYTES = 4_096


class BoundedHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """A log handler that drops lines rather than wait.

    Lines are dropped when more than `LINES_PER_SECOND` come in a second, or
    when the reader is more than `MAX_PENDING` lines behind; those below the
    level notice go first. The next line that is written tells how many.

    Parameters
    ----------
    descriptor : int
        Where lines are written.
    clock : Clock
        Tells the second that a line belongs to.
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
        """Lines dropped and not yet reported."""
        return self._dropped

    def emit(self, record):
        """Write a record, or drop it."""
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
        """Write what the descriptor takes at once."""
        while self._pending and self._poll.poll(0):
            data = self._pending.popleft()
            try:
                written = _os.write(self._descriptor, data)
            except BlockingIOError:
                self._pending.appendleft(data)
                return
            except OSError:
                # Nobody reads the log any more.
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
