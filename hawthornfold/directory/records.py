"""What a store publishes, in the project's own types."""

import typing

from hawthornfold.rules import RulesDocument
from hawthornfold.rules import RuleSet


class ServerRecord(typing.NamedTuple):
    """One backend server, as it describes itself.

    Parameters
    ----------
    server_id : str
        Names the server; a server may restart under the same id.
    service : str
        The service that it belongs to.
    address : str
        ``ip:port`` of its HTTP port.
    data_centre : str
        Where it runs.
    slots : int
        Requests that it executes at the same time.
    is_draining : bool
        Whether it has announced that it leaves.
    warmup_ms : float
        How much longer it stays slow after its start, in milliseconds.
    born_ms : int
        Start of its process, milliseconds since the Unix epoch; 0 when it
        does not say.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    warmup_ms: float = 0.0
    born_ms: int = 0


class ServiceRecord(typing.NamedTuple):
    """A service: the limits that all of its servers share."""

    name: str
    health_path: str
    max_connections: int


class CallerLimits(typing.NamedTuple):
    """What callers may send, and how long they may take."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: float
    idle_timeout_ms: float


class RoutingConfiguration(typing.NamedTuple):
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Grows with every change.
    rules : RuleSet
        The rules, in the order in which they are tried.
    services : dict of str to ServiceRecord
        By name.
    limits : CallerLimits
        Limits for callers.
    document : RulesDocument
        The rules as written, for operators.
    """

    version: int
    rules: RuleSet
    services: dict[str, ServiceRecord]
    limits: CallerLimits
    document: RulesDocument


class ServerChange(typing.NamedTuple):
    """A server's record as written.

    Parameters
    ----------
    server_id : str
        Names the server.
    record : ServerRecord or None
        None when it was removed.
    revision : int
        The store's revision of the change; 0 when it has none.
    """

    server_id: str
    record: ServerRecord | None
    revision: int = 0


class ItemFailure(typing.NamedTuple):
    """An item of the store that cannot be used.

    Parameters
    ----------
    key : str
        Key of the item.
    detail : str
        What is wrong with it.
    """

    key: str
    detail: str


class StoreChanges(typing.NamedTuple):
    """Items of the store, in the order of their revisions.

    Parameters
    ----------
    revision : int
        The store's revision up to which the items are complete.
    servers : tuple of ServerChange
        Servers that were written or removed.
    configuration : RoutingConfiguration or None
        The newest configuration among the items.
    failures : tuple of ItemFailure
        Items that were left out.
    """

    revision: int
    servers: tuple[ServerChange, ...] = ()
    configuration: RoutingConfiguration | None = None
    failures: tuple[ItemFailure, ...] = ()


class ReadFailure(typing.NamedTuple):
    """A read of the store that gave nothing.

    Parameters
    ----------
    detail : str
        The error, for the log.
    is_history_lost : bool
        Whether the changes asked for are no longer held, so that
        everything has to be read again.
    """

    detail: str
    is_history_lost: bool = False
