"""Ramps up the slots of a server that has just started.

A cold server answers slowly until its caches are warm. If it had all its slots
at once, a full share of the load would go to the slowest replica.
"""

# Default duration of a ramp.
RAMP_MS = 5000.0


class SlotRamp:
    """Limits slots by the time since a server started."""

    def __init__(self, slots, ramp_ms):
        self._slots = slots
        self._ramp_ms = ramp_ms
        self._started_ms = None

    @property
    def is_active(self):
        """Whether a ramp is in progress."""
        return self._started_ms is not None

    def set_slots(self, slots):
        """Set the number of slots of the warm server."""
        self._slots = slots

    def start(self, now_ms):
        """Start a ramp, because the server is or may be cold."""
        self._started_ms = now_ms

    def finish(self):
        """End the ramp and allow all slots."""
        self._started_ms = None

    def allowed(self, now_ms):
        """Return the number of allowed slots, which is at least 1."""
        if self._started_ms is None:
            return self._slots
        share = (now_ms - self._started_ms) / self._ramp_ms
        if share >= 1.0:
            return self._slots
        return max(1, int(self._slots * share))


def create_slot_ramp(slots, ramp_ms=RAMP_MS):
    """Create the ramp of a warm server.

    Examples
    --------
    >>> ramp = create_slot_ramp(slots=6, ramp_ms=3000.0)
    >>> ramp.start(now_ms=0.0)
    >>> [ramp.allowed(t) for t in (0.0, 1000.0, 3000.0)]
    [1, 2, 6]
    """
    return SlotRamp(slots, ramp_ms)
