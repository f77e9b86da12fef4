"""Bodies of the messages between a small node and one with room."""

import typing


class Room(typing.NamedTuple):
    """A node that takes queries of others.

    Parameters
    ----------
    name, address, data_centre : str
        As in the membership.
    link_mbps : float
        Speed of its link, in megabits a second.
    cores : float
        Its processor share, in cores.
    age_ms : float
        Time since the node said so itself.
    """

    name: str
    address: str
    data_centre: str
    link_mbps: float
    cores: float
    age_ms: float


class RoomQuery(typing.NamedTuple):
    """Asks for nodes with more room than the sender has.

    Parameters
    ----------
    rooms : tuple of Room
        Those that the sender knows, so that they learn of each other.
    """

    link_mbps: float
    cores: float
    rooms: tuple[Room, ...] = ()


class RoomReply(typing.NamedTuple):
    """Nodes with room that the sender knows, itself included."""

    rooms: tuple[Room, ...]


class Delegate(typing.NamedTuple):
    """A caller's request, handed over whole.

    Parameters
    ----------
    call : int
        Identifies the delegation at its sender.
    version : int
        The sender's configuration. A node with an older one declines, or a
        caller would see the configuration go back.
    objective_left_ms : float
        Time within which the answer is of full use to the sender.
    deadline_left_ms : float
        Time after which the caller has given up.
    limit_ms : float
        A node that would occupy itself for longer than this declines.
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
    """The caller of a delegated request has left."""

    call: int


class Delegated(typing.NamedTuple):
    """The answer to a delegated request; status 0 when it was declined.

    Parameters
    ----------
    overdue_ms : float
        Time after the objective until the least share of shards had
        answered. The way back adds nothing to it.
    """

    call: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    overdue_ms: float = 0.0
