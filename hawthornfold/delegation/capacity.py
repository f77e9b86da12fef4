"""Estimates how long a query occupies the link and processor of a node."""

import typing

from hawthornfold.gathering.merging import RECORD_BYTES

# Sizes of the response head and of the complete request of one part.
PART_HEAD_BYTES = 250
PART_REQUEST_BYTES = 300
# Sizes of a part's seal in an answer and of the answer's head.
PART_SEAL_BYTES = 40
ANSWER_HEAD_BYTES = 250
# Assumed size of a part's response body until one has been received.
INITIAL_BODY_BYTES = 300
# Weight of a new body size in the moving average.
_BODY_SIZE_SMOOTHING = 0.05
# Processor time per part on one core until it has been measured
# (docs/decisions/exchanges.md).
PART_CPU_MS = 0.25
# Processor time of a part in relation to the time until its request is sent;
# the rest is for the response (docs/decisions/exchanges.md).
CPU_PER_SEND_FACTOR = 2.5
# Weight of a new sample of the time per part, and its upper bound as a
# multiple of the mean: a longer time is a pause of the node.
_PART_TIME_SMOOTHING = 0.1
_MAX_PART_TIME_FACTOR = 4.0
# A query is too long for a node if its estimate exceeds this share of its
# objective.
MAX_LOCAL_SHARE = 0.25
# Number of shards of the query with which node capacities are compared.
_REFERENCE_PARTS = 100


class Capacity(typing.NamedTuple):
    """Link and processor capacity of a node.

    Parameters
    ----------
    link_mbps : float
        Link speed, in megabits per second.
    cores : float
        Processor share, in cores.
    """

    link_mbps: float
    cores: float

    def is_larger_than(self, other):
        """Return whether this capacity is clearly larger than another.

        That is the case when the link speed or the cores are at least twice
        the other's and the other of the two is not smaller.
        """
        return (
            self.link_mbps >= 2.0 * other.link_mbps
            and self.cores >= other.cores
        ) or (
            self.cores >= 2.0 * other.cores
            and self.link_mbps >= other.link_mbps
        )


def estimate_query_ms(capacity, parts, body_bytes, part_cpu_ms=PART_CPU_MS):
    """Estimate how long a query occupies a node's link and processor.

    Parameters
    ----------
    parts : int
        Number of shards.
    body_bytes : float
        Size of a shard's response body.
    part_cpu_ms : float
        Processor time per part on one core, in milliseconds.

    Returns
    -------
    float
        Milliseconds.

    Examples
    --------
    >>> round(estimate_query_ms(Capacity(7.0, 0.5), 90, 400))
    112
    >>> round(estimate_query_ms(Capacity(70.0, 2.0), 90, 400))
    18
    """
    sent = parts * PART_REQUEST_BYTES
    received = parts * (body_bytes + PART_HEAD_BYTES)
    # The link is full duplex: only the larger direction counts.
    link_ms = max(sent, received) * 8.0 / (capacity.link_mbps * 1000.0)
    return link_ms + parts * part_cpu_ms / capacity.cores


def estimate_answer_transfer_ms(capacity, decision):
    """Estimate the transfer time of a query's answer on a node's link.

    Returns
    -------
    float
        Milliseconds.

    Examples
    --------
    >>> from hawthornfold.rules import Decision, Gather
    >>> decision = Decision(
    ...     'r', 0, 600, True, 89, 'refuse', True, 1, 20, 'pin', 100.0,
    ...     gather=Gather(('a', 'b'), 20),
    ... )
    >>> round(estimate_answer_transfer_ms(Capacity(1.0, 0.5), decision), 1)
    5.2
    """
    size = ANSWER_HEAD_BYTES
    if decision.gather is not None:
        size += PART_SEAL_BYTES * len(decision.gather.shards)
        size += RECORD_BYTES * decision.gather.limit
    return size * 8.0 / (capacity.link_mbps * 1000.0)


def estimate_query_rate(capacity):
    """Estimate how many queries to 100 shards a node can run per second.

    Examples
    --------
    >>> round(estimate_query_rate(Capacity(7.0, 0.5)), 1)
    8.9
    >>> round(estimate_query_rate(Capacity(70.0, 2.0)))
    53
    """
    query_ms = estimate_query_ms(
        capacity, _REFERENCE_PARTS, INITIAL_BODY_BYTES
    )
    return 1000.0 / query_ms


class QueryCostModel:
    """Estimates the time of queries from what this node has measured.

    Parameters
    ----------
    capacity : Capacity
        The local node's.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._body_sizes = {}
        self._part_cpu_ms = PART_CPU_MS

    def record_body_size(self, decision, body_bytes):
        """Update a rule's average body size from a shard's response."""
        size = self._body_sizes.get(decision.rule, body_bytes)
        self._body_sizes[decision.rule] = size + _BODY_SIZE_SMOOTHING * (
            body_bytes - size
        )

    def record_send_time(self, parts, elapsed_ms):
        """Update the time per part from how long sending requests took."""
        sample_ms = CPU_PER_SEND_FACTOR * elapsed_ms / parts
        sample_ms = min(
            sample_ms * self._capacity.cores,
            _MAX_PART_TIME_FACTOR * self._part_cpu_ms,
        )
        self._part_cpu_ms += _PART_TIME_SMOOTHING * (
            sample_ms - self._part_cpu_ms
        )

    def estimate_ms(self, capacity, decision, parts=None):
        """Estimate how long a query occupies a node.

        Parameters
        ----------
        capacity : Capacity
            The node's.
        decision : Decision
            The rule of the query.
        parts : int, optional
            Number of its shards that the node gathers; all by default.

        Returns
        -------
        float
            Milliseconds.
        """
        if parts is None:
            parts = len(decision.gather.shards) if decision.gather else 1
        size = self._body_sizes.get(decision.rule, INITIAL_BODY_BYTES)
        return estimate_query_ms(capacity, parts, size, self._part_cpu_ms)

    def is_too_long(self, capacity, decision, parts=None):
        """Return whether a query occupies a node for too long."""
        estimate_ms = self.estimate_ms(capacity, decision, parts)
        return estimate_ms > MAX_LOCAL_SHARE * decision.objective_ms
