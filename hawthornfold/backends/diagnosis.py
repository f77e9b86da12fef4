"""Distinguishes silent connections, silent servers and slow servers.

Each needs a different reaction: a silent connection is replaced, a silent
server gets no work until it answers again, and a slow server keeps its work.
A probe on a new connection decides, because a network path that dropped the
state of an established connection usually still carries new ones.
"""

import enum

# Number of consecutive failed exchanges or probes at which the breaker opens.
# Every restart of a server causes one failure, so one is not enough.
FAILURE_LIMIT = 2
# Interval between probes of a server whose breaker is open.
PROBE_INTERVAL_MS = 500.0
# The server is probed after an exchange has had no answer for this multiple
# of the smoothed service time. A straggler that takes ten times the mean must
# not be mistaken for a silent connection: a factor of 4 discarded running
# work and sent it again, and made the p99 of stragglers worse than that of
# the naive version. Until the probe, the entry node's hedge limits the delay.
SILENCE_FACTOR = 15.0
MIN_SILENCE_MS = 150.0


class Verdict(enum.Enum):
    """Result of a probe on a new connection."""

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
        """Whether the breaker is open, so that the server gets no work."""
        return self._is_open

    @property
    def failures(self):
        """Number of consecutive failures."""
        return self._failures

    def silence_limit_ms(self, service_ms):
        """Return the silence in milliseconds after which to send a probe.

        Parameters
        ----------
        service_ms : float
            Smoothed service time of the server.
        """
        return max(MIN_SILENCE_MS, SILENCE_FACTOR * service_ms)

    def needs_probe(self, now_ms):
        """Return whether the breaker is open and a probe is due."""
        return self._is_open and now_ms - self._opened_ms >= PROBE_INTERVAL_MS

    def record_success(self):
        """Record an answer of the server and close the breaker."""
        self._failures = 0
        self._is_open = False

    def record_failure(self, now_ms):
        """Record an exchange or probe that ended without an answer."""
        self._failures += 1
        if self._failures >= FAILURE_LIMIT:
            self._is_open = True
            self._opened_ms = now_ms

    def record_probe(self, has_answered, now_ms):
        """Record the result of a probe on a new connection.

        Returns
        -------
        Verdict
            `CONNECTION_SILENT` if the server answered the probe.
        """
        if has_answered:
            self.record_success()
            return Verdict.CONNECTION_SILENT
        self.record_failure(now_ms)
        return Verdict.SERVER_SILENT


def create_path_diagnosis():
    """Create the diagnosis of a server, with a closed breaker.

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
