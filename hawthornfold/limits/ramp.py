"""Ramps up the slots of a server that has just started.

A cold server answers slowly until its caches are warm. Giving it all its
slots at once would move its share of the load onto the slowest replica.
"""

RAMP_MS = 5000.0


class SlotRamp:
    """Slots allowed as a function of the time since a server started."""

    def __init__(self, slots, ramp_ms):
        self._slots = slots
        self._ramp_ms = ramp_ms
        self._started_ms = None

    @property
    def is_active(self):
        """Whether a ramp was started and not ended."""
        return self._started_ms is not None

    def set_slots(self, slots):
        """Change the number of slots of the warm server."""
        self._slots = slots

    def start(self, now_ms):
        """Begin a ramp: the server has a new incarnation or says cold."""
        self._started_ms = now_ms

    def finish(self):
        """End the ramp; all slots are allowed."""
        self._started_ms = None

    def allowed(self, now_ms):
        """Return the number of slots allowed now, at least 1."""
        if self._started_ms is None:
            return self._slots
        share = (now_ms - self._started_ms) / self._ramp_ms
        if share >= 1.0:
            return self._slots
        return max(1, int(self._slots * share))


def create_slot_ramp(slots, ramp_ms=RAMP_MS):
    """Create the ramp of a server that is warm.

    Examples
    --------
    >>> ramp = create_slot_ramp(slots=6, ramp_ms=3000.0)
    >>> ramp.start(now_ms=0.0)
    >>> [ramp.allowed(t) for t in (0.0, 1000.0, 3000.0)]
    [1, 2, 6]
    """
    return SlotRamp(slots, ramp_ms)
