"""States of a node from its start to its planned stop."""

import contextlib

STARTING = 'starting'
SERVING = 'serving'
STOPPING = 'stopping'


class Lifecycle:
    """Tells whether the node is ready, and counts requests in progress."""

    def __init__(self, audit, is_configured):
        self._audit = audit
        self._is_configured = is_configured
        self._is_stopping = False
        self._requests_in_progress = 0
        self._last_state = STARTING

    @property
    def state(self):
        """``starting``, ``serving`` or ``stopping``."""
        if self._is_stopping:
            return STOPPING
        return SERVING if self._is_configured() else STARTING

    @property
    def is_ready(self):
        """Whether the platform's balancer should send requests here."""
        return self.state == SERVING

    @property
    def is_stopping(self):
        """Whether a planned stop is under way."""
        return self._is_stopping

    @property
    def requests_in_progress(self):
        """Callers' requests in progress."""
        return self._requests_in_progress

    @contextlib.contextmanager
    def track_request(self):
        """Count a request while the context is active."""
        self._requests_in_progress += 1
        try:
            yield
        finally:
            self._requests_in_progress -= 1

    def begin_stop(self):
        """Turn not ready; requests that still arrive are served."""
        self._is_stopping = True
        self.record_state_change()

    def record_state_change(self):
        """Record a change of state since the last call."""
        state = self.state
        if state != self._last_state:
            self._audit.record(
                'lifecycle', 'node', self._last_state, state, 'state change'
            )
            self._last_state = state


def create_lifecycle(audit, is_configured):
    """Create the life cycle of a node that starts.

    Parameters
    ----------
    is_configured : callable
        Returns whether the node holds a configuration.
    """
    return Lifecycle(audit, is_configured)
