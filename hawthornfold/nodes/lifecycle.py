"""Tracks the state of a node from its start to its planned stop."""

import contextlib

STARTING = 'starting'
SERVING = 'serving'
STOPPING = 'stopping'


class Lifecycle:
    """Tracks whether the node is ready and its requests in progress."""

    def __init__(self, audit, is_configured):
        self._audit = audit
        self._is_configured = is_configured
        self._is_stopping = False
        self._requests_in_progress = 0
        self._last_state = STARTING

    @property
    def state(self):
        """Current state: ``starting``, ``serving`` or ``stopping``."""
        if self._is_stopping:
            return STOPPING
        return SERVING if self._is_configured() else STARTING

    @property
    def is_ready(self):
        """Whether the platform's load balancer should send requests."""
        return self.state == SERVING

    @property
    def is_stopping(self):
        """Whether a planned stop has begun."""
        return self._is_stopping

    @property
    def requests_in_progress(self):
        """Number of callers' requests in progress."""
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
        """Mark the node as not ready; it still serves new requests."""
        self._is_stopping = True
        self.record_state_change()

    def record_state_change(self):
        """Write an audit entry if the state changed since the last call."""
        state = self.state
        if state != self._last_state:
            self._audit.record(
                'lifecycle', 'node', self._last_state, state, 'state change'
            )
            self._last_state = state


def create_lifecycle(audit, is_configured):
    """Create the life cycle of a starting node.

    Parameters
    ----------
    is_configured : callable
        Returns whether the node holds a configuration.
    """
    return Lifecycle(audit, is_configured)
