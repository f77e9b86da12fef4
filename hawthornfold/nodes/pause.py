"""Notices that the process was paused.

A paused process wakes with old beliefs: membership, ownership, drain flags,
and messages that waited in its sockets. The guard compares the time of the
last tick of the loop with now, so it notices a pause before the tick that
follows it has run.
"""

LEASE_MS = 1500.0
TICK_MS = 100.0


class PauseGuard:
    """Tells whether this node's beliefs may be acted on."""

    def __init__(self, clock, metrics, audit, lease_ms):
        self._clock = clock
        self._metrics = metrics
        self._audit = audit
        self._lease_ms = lease_ms
        self._last_tick_ms = clock.now_ms()
        self._paused_ms = None
        self._confirm = None

    def is_stale(self, now_ms):
        """Return whether a pause was not yet followed by confirmation."""
        if now_ms - self._last_tick_ms > self._lease_ms:
            return True
        return self._paused_ms is not None

    def set_confirmation(self, confirm):
        """Register ``confirm(now_ms)``: whether beliefs are fresh again."""
        self._confirm = confirm

    def tick(self):
        """Record that the loop runs; note a pause and its end."""
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
        """Tick for ever; to be spawned in a green thread."""
        while True:
            self.tick()
            self._clock.sleep_ms(TICK_MS)


def create_pause_guard(clock, metrics, audit, lease_ms=LEASE_MS):
    """Create the guard of one node."""
    return PauseGuard(clock, metrics, audit, lease_ms)
