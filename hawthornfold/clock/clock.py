"""Defines clocks, the only source of time in the project."""

import abc
import time

import eventlet


class Clock(abc.ABC):
    """A monotonic clock with a wall-clock reading for logs."""

    @abc.abstractmethod
    def now_ms(self):
        """Return monotonic milliseconds as a float."""

    @abc.abstractmethod
    def wall_ms(self):
        """Return milliseconds since the Unix epoch as an int."""

    @abc.abstractmethod
    def sleep_ms(self, duration_ms):
        """Suspend the calling green thread for `duration_ms`."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now_ms(self):
        """Return monotonic milliseconds as a float.

        Includes the time for which the VM was suspended, which the ordinary
        monotonic clock omits: received state and deadlines age meanwhile.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0

    def wall_ms(self):
        """Return milliseconds since the Unix epoch as an int."""
        return time.time_ns() // 1_000_000

    def sleep_ms(self, duration_ms):
        """Suspend the calling green thread for `duration_ms`."""
        eventlet.sleep(max(duration_ms, 0.0) / 1000.0)


class ManualClock(Clock):
    """A clock that moves only when a test advances it."""

    def __init__(self, start_ms):
        self._now_ms = float(start_ms)

    def now_ms(self):
        """Return the current reading."""
        return self._now_ms

    def wall_ms(self):
        """Return the current reading as an int."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms):
        """Advance the clock instead of waiting."""
        self.advance(duration_ms)

    def advance(self, duration_ms):
        """Move the clock forward by `duration_ms`."""
        if duration_ms < 0:
            raise ValueError('a monotonic clock cannot move backwards')
        self._now_ms += duration_ms


def create_system_clock():
    """Create the clock used in production."""
    return SystemClock()


def create_manual_clock(start_ms=0):
    """Create a clock for tests.

    Examples
    --------
    >>> clock = create_manual_clock()
    >>> clock.advance(250)
    >>> clock.now_ms()
    250.0
    """
    return ManualClock(start_ms)
