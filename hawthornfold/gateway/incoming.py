"""Requests of callers as the node has received them."""

import typing


class IncomingRequest(typing.NamedTuple):
    """A caller's request.

    Parameters
    ----------
    method, target : str
        As in the request line.
    host : str
        Host without port, lowercase.
    headers : tuple of tuple of str
        All headers as sent.
    body : bytes
        The whole body.
    arrived_ms : float
        When the node read the first byte, on the node's clock.
    travel_ms : float
        Network time of the request and its answer together.
    objective_left_ms : float or None
        For a delegated request: time until the answer misses the latency
        objective of the sending node. None for a caller's own request.
    deadline_left_ms : float or None
        For a delegated request: time until its caller times out.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: float
    travel_ms: float
    objective_left_ms: float | None = None
    deadline_left_ms: float | None = None
