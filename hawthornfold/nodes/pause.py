"""Detects that the process was paused.

After a pause, a process has stale state: membership, ownership, drain
flags, and messages that were queued in its sockets. The guard compares the
current time with the last tick of its loop, so it detects a pause even before
the next tick.
"""

# A longer time between ticks counts as a pause.
LEASE_MS = 1500.0
# Interval between ticks.
TICK_MS = 100.0


class PauseGuard:
    """Detects pauses and tracks whether this node's state is stale."""

    def __init__(self, clock, metrics, audit, lease_ms):
        self._clock = clock
        self._metrics = metrics
        self._audit = audit
        self._lease_ms = lease_ms
        self._last_tick_ms = clock.now_ms()
        self._paused_ms = None
        self._confirm = None

    def is_stale(self, now_ms):
        """Return whether the state is unconfirmed since a pause."""
        if now_ms - self._last_tick_ms > self._lease_ms:
            return True
        return self._paused_ms is not None

    def set_confirmation(self, confirm):
        """Set ``confirm(now_ms)``: whether the state is current again."""
        self._confirm = confirm

    def tick(self):
        """Record that the loop runs, and the start or end of a pause."""
        now_ms = self._clock.now_ms()
        lag_ms = now_ms - self._last_tick_ms - TICK_MS
        if now_ms - self._last_tick_ms > self._lease_ms:
            self._paused_ms = now_ms
            self._metrics.count('pauses')
            self._audit.record(
                'lifecycle',
                'loop',
                'running',
                'stale',
                f'the loop did not run for {lag_ms:.0f} ms',
            )
        elif self._paused_ms is not None and self._is_confirmed(now_ms):
            self._paused_ms = None
            self._audit.record(
                'lifecycle', 'loop', 'stale', 'running', 'beliefs confirmed'
            )
        self._last_tick_ms = now_ms

    def _is_confirmed(self, now_ms):
        return self._confirm is None or self._confirm(now_ms)

    def run(self):
        """Call `tick` at its interval forever, in a green thread."""
        while True:
            self.tick()
            self._clock.sleep_ms(TICK_MS)


def create_pause_guard(clock, metrics, audit, lease_ms=LEASE_MS):
    """Create the pause guard of one node."""
    return PauseGuard(clock, metrics, audit, lease_ms)
