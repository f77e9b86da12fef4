"""Bounds of what a node reads and holds of servers' responses."""

from hawthornfold.gateway.revocations import RevocationReporter
from hawthornfold.sockets import create_read_budget

# Share of the node's memory for all responses that are being read. An idle
# node takes about a third of it, and what it does with complete responses
# needs several times their size.
READ_SHARE = 1 / 8
# Share of the memory for the body of one response. It is a quarter of the
# budget, so that a single endless body doesn't use it up.
BODY_SHARE = 1 / 32
# Larger bodies block the event loop for too long when they are joined and
# merged, whatever the memory of the node.
MAX_BODY_BYTES = 16 << 20


class ResponseBounds:
    """The bounds of all responses that a node reads.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, memory_bytes, clock, metrics):
        self._metrics = metrics
        self._budget = create_read_budget(
            0,
            RevocationReporter(
                'responses', clock, lambda: self.record_refusal('memory')
            ),
        )
        self._body_bytes = 0
        self.set_memory(memory_bytes)

    @property
    def body_bytes(self):
        """Maximum size of one body in bytes."""
        return self._body_bytes

    @property
    def budget(self):
        """The `ReadBudget` of all responses that are being read."""
        return self._budget

    def set_memory(self, memory_bytes):
        """Set the memory in bytes that the process may use."""
        self._budget.set_limit(int(memory_bytes * READ_SHARE))
        self._body_bytes = min(int(memory_bytes * BODY_SHARE), MAX_BODY_BYTES)

    def record_refusal(self, bound):
        """Count a response that exceeds a bound.

        Parameters
        ----------
        bound : str
            ``head``, ``interim``, ``framing``, ``body`` or ``memory``.
        """
        self._metrics.count('responses_refused', bound=bound)


def create_response_bounds(memory_bytes, clock, metrics):
    """Create the `ResponseBounds` of a node."""
    return ResponseBounds(memory_bytes, clock, metrics)
