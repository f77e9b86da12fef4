"""What a node knows of a server that is or was cold."""

import enum
import math

# A value that shortens the cold time is ignored for this long after a value
# that lengthened it: the server may have sent the former before it turned
# cold. An entry is never older than the previous entry.
EVIDENCE_DELAY_MS = 1_000.0


class Evidence(enum.Enum):
    """Where a cold time is from."""

    ENTRY = 'entry'
    HEADER = 'header'
    # The server gets requests again after a time without any.
    RETURN = 'return'


class ColdServer:
    """The cold time of a server, and the allotment for it."""

    __slots__ = (
        'allotment',
        'born_ms',
        'cold_ms',
        'data_centre',
        'end_ms',
        'entry_warmup_ms',
        'is_listed',
        'is_reported',
        'raised_by',
        'raised_ms',
        'service',
    )

    def __init__(self):
        # None until it is computed for the nodes and limits in force.
        self.allotment = None
        # Start and end of the cold time, on the node's clock.
        self.cold_ms = self.end_ms = -math.inf
        # When a value lengthened the cold time, and what contained it.
        self.raised_ms = -math.inf
        self.raised_by = None
        # Whether the log says that the server is cold.
        self.is_reported = False

    def set_end(self, end_ms, evidence, now_ms):
        """Set when the server is expected to be warm.

        Parameters
        ----------
        end_ms : float
            The end of the cold time, on the node's clock.
        evidence : Evidence
            Where it is from.
        now_ms : float
            Current time.
        """
        if end_ms > max(self.end_ms, now_ms):
            if self.end_ms <= now_ms:
                self.cold_ms = now_ms
            self.end_ms = end_ms
            self.raised_ms, self.raised_by = now_ms, evidence
        elif (
            now_ms < self.end_ms
            and evidence is not Evidence.RETURN
            and self._is_newer(evidence, now_ms)
        ):
            self.end_ms = end_ms

    def _is_newer(self, evidence, now_ms):
        """Return whether the server gave a value after the last longer one."""
        return (
            now_ms - self.raised_ms >= EVIDENCE_DELAY_MS
            or self.raised_by is Evidence.RETURN
            or evidence is self.raised_by is Evidence.ENTRY
        )
