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

    @property
    def is_cancelled(self):
        """Whether `cancel` was called."""
        return self._is_cancelled

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


def cancel_former_runs(runs, name, incarnation, metrics):
    """Cancel the runs for processes of a node that have ended.

    Parameters
    ----------
    runs : dict of tuple to Cancellation
        The runs by name and incarnation of the sender and id of the call.
    name : str
        The node.
    incarnation : int
        Incarnation of its latest process.
    metrics : Metrics
        Counts the runs.
    """
    for key, cancellation in list(runs.items()):
        is_former = key[0] == name and key[1] < incarnation
        if is_former and not cancellation.is_cancelled:
            metrics.count('former_runs_cancelled')
            cancellation.cancel()
