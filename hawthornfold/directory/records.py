"""Records that a published store contains."""

import typing

from hawthornfold.directory.evacuations import EvacuationChange
from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import RuleSet


class ServerRecord(typing.NamedTuple):
    """The record that a backend server publishes about itself.

    Parameters
    ----------
    server_id : str
        Identifies the server; a restarted server may use the same id.
    service : str
        Name of the service that it belongs to.
    address : str
        ``ip:port`` of its HTTP port.
    data_centre : str
        The data centre that it runs in.
    slots : int
        Number of requests that it executes concurrently.
    is_draining : bool
        Whether it has announced that it will stop.
    warmup_ms : float
        Time for which it will still be slow after its start, in milliseconds.
    born_ms : int
        Start of its process, milliseconds since the Unix epoch; 0 if not
        given.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    warmup_ms: float = 0.0
    born_ms: int = 0

    def is_replaced_by(self, other):
        """Return whether another record is of a later process of the server.

        Without the start of the process, only another address tells this.

        Examples
        --------
        >>> record = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2)
        >>> record.is_replaced_by(record._replace(address='127.0.0.1:2'))
        True
        >>> record.is_replaced_by(record)
        False
        """
        return other.born_ms > self.born_ms or other.address != self.address


class ServiceRecord(typing.NamedTuple):
    """Settings that all servers of a service share.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Maximum number of connections to a server.
    warmup_ms : float
        How long a server remains cold after its start.
    warmup_per_s : float
        Requests a second that a cold server accepts; 0 if no limit is given.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


class CallerLimits(typing.NamedTuple):
    """Size and time limits for callers' requests.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Maximum sizes of a request's head and body.
    head_timeout_ms : float
        Time within which a request's head must arrive.
    idle_timeout_ms : float
        Time for which a connection may be idle.
    """

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: float
    idle_timeout_ms: float


class RoutingConfiguration(typing.NamedTuple):
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    rules : RuleSet
        The rules, in the order in which they are tried.
    services : dict of str to ServiceRecord
        The services by name.
    limits : CallerLimits
        Limits for callers.
    document : RulesDocument
        The rules as operators wrote them.
    """

    version: int
    rules: RuleSet
    services: dict[str, ServiceRecord]
    limits: CallerLimits
    document: RulesDocument


class ServerChange(typing.NamedTuple):
    """A written or removed record of a server.

    Parameters
    ----------
    server_id : str
        Identifies the server.
    record : ServerRecord or None
        The record; None if it was removed.
    revision : int
        Revision of the store at the change; 0 if it has none.
    """

    server_id: str
    record: ServerRecord | None
    revision: int = 0


class ItemFailure(typing.NamedTuple):
    """An item of the store that was ignored because it is invalid.

    Parameters
    ----------
    key : str
        Key of the item.
    detail : str
        Why it is invalid.
    """

    key: str
    detail: str


class StoreChanges(typing.NamedTuple):
    """Changes read from the store, in the order of their revisions.

    Parameters
    ----------
    revision : int
        Revision of the store up to which the changes are complete.
    servers : tuple of ServerChange
        Servers that were written or removed.
    configuration : RoutingConfiguration or None
        The newest configuration among the changes, if any.
    failures : tuple of ItemFailure
        Items that were ignored.
    era : int or None
        Era of the store; None if it reports none.
    evacuations : tuple of EvacuationChange or None
        Evacuations that were written or deleted; None if they are unknown.
    configuration_era : int
        Era in which the configuration was written, if it is an earlier one;
        else `UNKNOWN_ERA`.
    """

    revision: int
    servers: tuple[ServerChange, ...] = ()
    configuration: RoutingConfiguration | None = None
    failures: tuple[ItemFailure, ...] = ()
    era: int | None = None
    evacuations: tuple[EvacuationChange, ...] | None = None
    configuration_era: int = UNKNOWN_ERA


class ReadFailure(typing.NamedTuple):
    """A failed read of the store.

    Parameters
    ----------
    detail : str
        Description of the error, for the log.
    is_history_lost : bool
        Whether the requested changes cannot be had any more, or not in one
        reply, so that everything must be read again.
    era : int or None
        Era of the store; None if there was no answer or it reports none.
    is_cut : bool
        Whether the connection broke while the store waited for changes. It
        may cut such calls at any time, so that this says nothing about it.
    is_rate_limited : bool
        Whether the store refused the call because it gets too many. It then
        is available to those who write to it.
    """

    detail: str
    is_history_lost: bool = False
    era: int | None = None
    is_cut: bool = False
    is_rate_limited: bool = False
