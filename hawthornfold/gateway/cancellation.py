"""Cancels work that runs for another node."""

import contextlib


class Cancellation:
    """The cancellation of a run, which may come before the run starts.

    Examples
    --------
    >>> cancellation = Cancellation()
    >>> cancellation.cancel()
    >>> with cancellation.watch(lambda: print('cancelled')):
    ...     pass
    cancelled
    """

    def __init__(self):
        self._is_cancelled = False
        self._on_cancel = None

    def cancel(self):
        """Cancel the run."""
        self._is_cancelled = True
        if self._on_cancel is not None:
            self._on_cancel()

    @contextlib.contextmanager
    def watch(self, function):
        """Call `function` if the run is or has been cancelled."""
        self._on_cancel = function
        if self._is_cancelled:
            function()
        try:
            yield
        finally:
            self._on_cancel = None
