"""Messages between entry nodes and owners of backend servers."""

import typing


class WorkPart(typing.NamedTuple):
    """One attempt: the shards requested from one server."""

    attempt: int
    server: str
    shards: tuple[str, ...]


class Work(typing.NamedTuple):
    """Requests sub-requests of one query to servers of one owner.

    Parameters
    ----------
    remaining_ms : float
        Time in ms from sending the message until the deadline. Clocks of
        nodes are not compared, so the time on the network is not counted.
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
    """Cancels attempts of one query."""

    request_id: str
    attempts: tuple[int, ...]


class WorkReply(typing.NamedTuple):
    """Reports the result of one attempt.

    Parameters
    ----------
    code : int
        0 after an answer, or the `ResultCode` of the refusal or failure.
    ran : int
        A `Ran` value: whether the server executed the attempt.
    incarnation, held : str, tuple of str
        Incarnation and snapshots that the server reported last; empty when
        it has not reported any.
    depth : int
        Sub-requests waiting or running at the owner for this server.
    wait_ms, service_ms : float
        Time in the owner's queue, and time of the exchange, in ms.
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
    """Notifies the other owners of a server that it drains."""

    server: str
    incarnation: str
