"""Keeps the signals that a process receives until it acts on them."""

import contextlib
import signal

# Signals that end a process by default. Every node handles all of them.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# SIGHUP is a request to read the settings again, where that is possible.
RELOAD_SIGNAL = signal.SIGHUP


class ReceivedSignals:
    """The requests to stop and to read the settings again.

    A request counts at any moment after the start, also before there is
    anything to stop. Requests to read the settings are merged, since one
    reload reads the newest settings. A reload has no effect once a stop has
    been requested.

    Parameters
    ----------
    can_reload : bool
        Whether the process can read its settings again. Otherwise it stops
        on SIGHUP, whose default action would end it at once. SIGHUP is never
        a second request to stop: supervisors send it together with SIGTERM.

    Examples
    --------
    >>> signals = ReceivedSignals(can_reload=True)
    >>> signals.record(signal.SIGHUP)
    >>> signals.is_reload_requested, signals.is_stop_requested
    (True, False)
    >>> signals.record(signal.SIGTERM)
    >>> signals.is_reload_requested, signals.is_stop_requested
    (False, True)
    """

    def __init__(self, can_reload):
        self._can_reload = can_reload
        self._stop_count = 0
        self._is_reload_pending = False

    @property
    def stop_count(self):
        """Number of requests to stop."""
        return self._stop_count

    @property
    def is_stop_requested(self):
        """Whether the process has to stop."""
        return self._stop_count > 0

    @property
    def is_reload_requested(self):
        """Whether the settings have to be read again."""
        return self._is_reload_pending and not self.is_stop_requested

    def record(self, number):
        """Record a signal; called by its handler."""
        if number != RELOAD_SIGNAL:
            self._stop_count += 1
        elif self._can_reload:
            self._is_reload_pending = True
        else:
            self._stop_count = max(self._stop_count, 1)

    def begin_reload(self):
        """Forget the requests so far; call it before reading the settings."""
        self._is_reload_pending = False


@contextlib.contextmanager
def receive_signals(can_reload):
    """Record signals while the context is active; ignore them afterwards.

    The context has to surround the whole run of a process, with the imports
    of its modules.

    Parameters
    ----------
    can_reload : bool
        Whether the process can read its settings again.

    Yields
    ------
    ReceivedSignals
    """
    signals = ReceivedSignals(can_reload)
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda number, _: signals.record(number))
    try:
        yield signals
    finally:
        # The interpreter restores the default actions of handled signals
        # while it ends, but not of ignored ones. A signal in this time would
        # replace the exit status.
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
