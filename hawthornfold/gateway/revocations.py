"""Logs that a node gives up what it reads because its memory is short."""

import math

import logbook

from hawthornfold.sockets import RevocationObserver

_LOG = logbook.Logger('gateway')

# Interval between two log lines of one budget. A peer that floods all its
# connections causes hundreds of revocations per second.
LOG_INTERVAL_MS = 1_000.0


class RevocationReporter(RevocationObserver):
    """Logs the revocations of one `ReadBudget`, at most once per interval.

    Parameters
    ----------
    subject : str
        What is read, for the log.
    clock : Clock
        The node's clock.
    on_revocation : callable, optional
        Called for each revocation.
    """

    def __init__(self, subject, clock, on_revocation=None):
        self._subject = subject
        self._clock = clock
        self._on_revocation = on_revocation
        self._logged_ms = -math.inf
        self._unlogged_count = 0

    def handle_revocation(self, size_bytes):
        """Log that the largest reader was given up."""
        if self._on_revocation is not None:
            self._on_revocation()
        self._unlogged_count += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            _LOG.warning(
                'event=read_memory_exhausted reading={} revoked={} '
                'last_bytes={}',
                self._subject,
                self._unlogged_count,
                size_bytes,
            )
            self._logged_ms = now_ms
            self._unlogged_count = 0
