"""Tells a silent connection, a silent server and a slow server apart.

The three want different cures: a silent connection is replaced, a silent
server gets no work until it answers again, a slow server keeps its work. A
probe on a fresh connection decides, because a path that lost track of an
established connection usually carries new ones.
"""

import enum

# Consecutive failed exchanges or probes before the breaker opens. One
# failure happens at every restart of a server.
FAILURE_LIMIT = 2
# While open, the server is probed at this interval.
PROBE_INTERVAL_MS = 500.0
# An exchange is silent for long enough to be probed after this multiple of
# the smoothed service time. A straggler of ten times the mean must not be
# taken for a silent connection: at a factor of 4 running work was thrown away
# and sent again, and the straggler p99 was worse than the naive version's.
# The entry's hedge covers the time before.
SILENCE_FACTOR = 15.0
MIN_SILENCE_MS = 150.0


class Verdict(enum.Enum):
    """What a probe on a fresh connection has shown."""

    CONNECTION_SILENT = 'connection-silent'
    SERVER_SILENT = 'server-silent'


class PathDiagnosis:
    """Circuit breaker and silence detection of one server."""

    def __init__(self):
        self._failures = 0
        self._is_open = False
        self._opened_ms = 0.0

    @property
    def is_open(self):
        """Whether the breaker is open: no work goes to the server."""
        return self._is_open

    @property
    def failures(self):
        """Consecutive failures."""
        return self._failures

    def silence_limit_ms(self, service_ms):
        """Return after how much silence an exchange is worth a probe."""
        return max(MIN_SILENCE_MS, SILENCE_FACTOR * service_ms)

    def needs_probe(self, now_ms):
        """Return whether an open breaker is due for a probe."""
        return self._is_open and now_ms - self._opened_ms >= PROBE_INTERVAL_MS

    def record_success(self):
        """Close the breaker: the server answered."""
        self._failures = 0
        self._is_open = False

    def record_failure(self, now_ms):
        """Count an exchange or a probe that failed without an answer."""
        self._failures += 1
        if self._failures >= FAILURE_LIMIT:
            self._is_open = True
            self._opened_ms = now_ms

    def record_probe(self, has_answered, now_ms):
        """Take over the result of a probe on a fresh connection.

        Returns
        -------
        Verdict
            `CONNECTION_SILENT` when the server answered the probe.
        """
        if has_answered:
            self.record_success()
            return Verdict.CONNECTION_SILENT
        self.record_failure(now_ms)
        return Verdict.SERVER_SILENT


def create_path_diagnosis():
    """Create the diagnosis of a server with a closed breaker.

    Examples
    --------
    >>> diagnosis = create_path_diagnosis()
    >>> diagnosis.record_probe(False, now_ms=0.0).value
    'server-silent'
    >>> _ = diagnosis.record_probe(False, now_ms=10.0)
    >>> diagnosis.is_open, diagnosis.needs_probe(now_ms=600.0)
    (True, True)
    """
    return PathDiagnosis()
