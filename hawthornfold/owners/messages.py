"""Messages between entry nodes and owners of backend servers."""

import typing


class WorkPart(typing.NamedTuple):
    """One attempt: the shards that one server is asked for."""

    attempt: int
    server: str
    shards: tuple[str, ...]


class Work(typing.NamedTuple):
    """Sub-requests of one query for servers of one owner.

    Parameters
    ----------
    remaining_ms : float
        Time until the deadline when the message was sent. Clocks of nodes
        are not compared; the time on the network is not counted.
    order : int
        Hash of the request id; ranks queries of equal urgency.
    """

    request_id: str
    group: str
    snapshot: str
    kind: str
    text: str
    limit: int
    urgency: int
    order: int
    remaining_ms: float
    idempotent: bool
    parts: tuple[WorkPart, ...]


class CancelWork(typing.NamedTuple):
    """Attempts that are no longer wanted."""

    request_id: str
    attempts: tuple[int, ...]


class WorkReply(typing.NamedTuple):
    """The end of one attempt.

    Parameters
    ----------
    code : int
        0, or the `ResultCode` of the refusal or failure.
    ran : int
        A `Ran` value: whether the server executed the attempt.
    incarnation, held : str, tuple of str
        What the server reported last; empty when it never did.
    depth : int
        Sub-requests waiting or running at the owner for this server.
    wait_ms, service_ms : float
        Time in the owner's queue, and time of the exchange.
    body : bytes
        The encoded shard answers.
    """

    request_id: str
    attempt: int
    server: str
    code: int
    ran: int
    snapshot: str
    incarnation: str
    held: tuple[str, ...]
    depth: int
    wait_ms: float
    service_ms: float
    body: bytes
    detail: str


class DrainNotice(typing.NamedTuple):
    """Tells the other owners of a server that it refused work."""

    server: str
    incarnation: str
