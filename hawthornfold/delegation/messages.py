"""Peer messages that find delegate nodes and delegate queries."""

import typing


class Room(typing.NamedTuple):
    """Capacity report of a node that runs queries for other nodes.

    Parameters
    ----------
    name, address, data_centre : str
        As in the membership.
    link_mbps : float
        Link speed, in megabits per second.
    cores : float
        Processor share, in cores.
    age_ms : float
        Time since the node sent this report.
    """

    name: str
    address: str
    data_centre: str
    link_mbps: float
    cores: float
    age_ms: float


class RoomQuery(typing.NamedTuple):
    """Query for nodes with more capacity than the sender.

    Parameters
    ----------
    link_mbps : float
        The sender's link speed, in megabits per second.
    cores : float
        The sender's processor share, in cores.
    rooms : tuple of Room
        Reports that the sender holds. They inform delegate nodes of each
        other.
    """

    link_mbps: float
    cores: float
    rooms: tuple[Room, ...] = ()


class RoomReply(typing.NamedTuple):
    """Reply to a `RoomQuery`.

    Parameters
    ----------
    rooms : tuple of Room
        Reports that the sender holds, and its own if it has more capacity
        than the node that asked.
    """

    rooms: tuple[Room, ...]


class Delegate(typing.NamedTuple):
    """A complete caller request that the receiver is asked to run.

    Parameters
    ----------
    call : int
        Identifies the delegation at its sender.
    version : int
        Version of the sender's configuration. A node with an older version
        declines; otherwise the caller would see the configuration revert.
    method, target, host : str
        From the request line and the Host header of the caller's request.
    headers : tuple of (str, str)
        Headers of the caller's request.
    body : bytes
        Body of the caller's request.
    objective_left_ms : float
        Time left until the sender's objective.
    deadline_left_ms : float
        Time left until the caller stops waiting.
    limit_ms : float
        The receiver declines if it estimates that the query would occupy it
        for longer than this.
    """

    call: int
    version: int
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    objective_left_ms: float
    deadline_left_ms: float
    limit_ms: float


class DelegateCancel(typing.NamedTuple):
    """Cancels a delegated request that its sender no longer waits for."""

    call: int


class Delegated(typing.NamedTuple):
    """Answer to a delegated request.

    Parameters
    ----------
    call : int
        The `call` of the `Delegate` message.
    status : int
        HTTP status, or 0 if the request was declined.
    headers : tuple of (str, str)
        Headers of the answer.
    body : bytes
        Body of the answer.
    overdue_ms : float
        Time from the objective until the minimum share of shards had
        answered. The transfer of this message is not included.
    is_isolated : bool
        Whether the request was declined because the node has lost its links
        to all servers.
    """

    call: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    overdue_ms: float = 0.0
    is_isolated: bool = False


class ServerNotice(typing.NamedTuple):
    """What the answer that follows says about its server.

    A separate message, as nodes of an older release refuse a `Delegated` with
    more fields than they know.

    Parameters
    ----------
    server_id : str
        The server.
    born_ms : int
        Start of its process, milliseconds since the Unix epoch; 0 if unknown.
    is_leaving : bool
        Whether it announces that it leaves.
    rate_limit : str or None
        Requests a second that it takes from all nodes together.
    """

    server_id: str
    born_ms: int
    is_leaving: bool
    rate_limit: str | None = None


class GatherParts(typing.NamedTuple):
    """Asks the receiver to gather some parts of a query.

    Parameters
    ----------
    call : int
        Identifies the group at its sender.
    rule : str
        Name of the rule of the query.
    digest : str
        Digest of the rule's decision. A node whose rule differs declines, so
        that all parts belong to one version of the shards.
    parts : tuple of int
        Indexes of the parts in the rule's list of shards.
    request_id : str
        The caller's id of the request.
    method : str
        The HTTP method.
    head : bytes
        Request line and headers as they are sent to servers.
    body : bytes
        Body of the request.
    objective_left_ms : float
        Time left until the sender needs the answers.
    deadline_left_ms : float
        Time left until the caller stops waiting.
    is_failover : bool
        Whether the sender has no link for the parts itself.
    sent_count : int
        Number of attempts that each part may have had.
    """

    call: int
    rule: str
    digest: str
    parts: tuple[int, ...]
    request_id: str
    method: str
    head: bytes
    body: bytes
    objective_left_ms: float
    deadline_left_ms: float
    is_failover: bool = False
    sent_count: int = 0


class GatherCancel(typing.NamedTuple):
    """Cancels a group of parts that its sender no longer waits for."""

    call: int


class PartsReply(typing.NamedTuple):
    """Reply to a `GatherParts`; several may follow each other.

    Parameters
    ----------
    call : int
        The `call` of the `GatherParts` message.
    status : str
        ``declined``, ``accepted``, ``repeating`` before parts are repeated,
        ``answers`` from the time at which they are due, ``not-run``,
        ``finished``, or ``lost`` if the node has lost its servers and has sent
        each part without an answer once. No reply follows the first and the
        last two. An older release takes ``lost`` for ``answers``.
    parts : tuple of int
        Indexes of the parts that were answered since the last reply.
    seals : tuple of str
        Their seals.
    records : bytes
        The greatest records of these parts, as in an answer to a caller.
    unsent : tuple of int
        With ``not-run``: indexes of the parts that the node has sent to no
        server and never will. An older release refuses this reply; it then
        takes the parts for ones that may have run, from the last reply.
    not_executed : tuple of int
        With ``not-run``: indexes of further parts that no server has executed
        and that the node will not send again.
    is_isolated : bool
        With ``declined``: whether the node has lost its links to all servers.
    """

    call: int
    status: str
    parts: tuple[int, ...] = ()
    seals: tuple[str, ...] = ()
    records: bytes = b''
    unsent: tuple[int, ...] = ()
    not_executed: tuple[int, ...] = ()
    is_isolated: bool = False
