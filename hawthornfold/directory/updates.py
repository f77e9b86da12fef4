"""Messages with which readers of the store update other nodes."""

import typing

import msgspec

from hawthornfold.directory.departures import DepartedServer
from hawthornfold.directory.evacuations import EvacuationList
from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.positions import StorePosition
from hawthornfold.directory.records import CallerLimits
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import ServiceRecord
from hawthornfold.rules import Rule
from hawthornfold.rules import Then
from hawthornfold.rules import When

# An update that would occupy the reader's link for longer than this is only
# announced by its revision; the followers then read the store themselves.
MAX_BROADCAST_MS = 150.0
# Approximate size of a server's record in a message.
SERVER_RECORD_BYTES = 130


_Pattern = str | list[str] | None


class SentWhen(typing.NamedTuple):
    """A `When` as nodes send it: with None where there is no condition."""

    service: _Pattern = None
    kind: _Pattern = None
    caller_class: _Pattern = None
    method: _Pattern = None
    path: _Pattern = None
    headers: dict[str, str | list[str]] = {}
    data_centre: _Pattern = None


def trim_then(then):
    """Return a `Then` for a message, or None for None.

    Nodes of an older release refuse a decision with more fields than they
    know. Allowed regions are sent only if there are any.
    """
    if then is None or then.allowed_regions:
        return then
    return then[: Then._fields.index('allowed_regions')]


def restore_then(sent):
    """Return the `Then` of what `trim_then` returned."""
    return None if sent is None else Then(*sent)


class SentRule(typing.NamedTuple):
    """A `Rule` as nodes send it."""

    name: str
    when: SentWhen
    then: Then

    def to_rule(self):
        """Return the `Rule`."""
        return Rule(self.name, When(*self.when), restore_then(self.then))


class PublishedConfiguration(typing.NamedTuple):
    """A `RoutingConfiguration` in the form in which nodes send it.

    Parameters
    ----------
    version : int
        Version of the configuration.
    rules : bytes
        The rules document: as JSON in the format of ``hawthornfold check``, or
        as a msgpack array, which is decoded without the checks of rules that
        operators write.
    services : tuple of ServiceRecord
        All services.
    limits : CallerLimits
        Limits for callers.
    """

    version: int
    rules: bytes
    services: tuple[ServiceRecord, ...]
    limits: CallerLimits


class RulesEdit(typing.NamedTuple):
    """A part of a rules document, in relation to an earlier one.

    Parameters
    ----------
    start, end : int
        Range of the rules of the earlier document that come next, end
        exclusive.
    rules : tuple of SentRule
        Rules that follow them and that the earlier document does not have.
    """

    start: int
    end: int
    rules: tuple[SentRule, ...] = ()


class ConfigurationChange(typing.NamedTuple):
    """A configuration in relation to an earlier version of it.

    Parameters
    ----------
    base_version : int
        The earlier version.
    version : int
        Version of the configuration.
    edits : tuple of RulesEdit
        All rules, in their order.
    default : Then or None
        The decision when no rule matches.
    removed_services : tuple of str
        Services of the earlier version that this one does not have.
    services : tuple of ServiceRecord
        Services that are new or have changed.
    limits : CallerLimits
        Limits for callers.
    """

    base_version: int
    version: int
    edits: tuple[RulesEdit, ...]
    default: Then | None
    removed_services: tuple[str, ...]
    services: tuple[ServiceRecord, ...]
    limits: CallerLimits


class StoreNews(typing.NamedTuple):
    """Store update that a reader sends to its followers.

    An update without changes is a heartbeat.

    Parameters
    ----------
    after : int
        Revision of the store from which the changes are complete, exclusive.
    revision : int
        Revision up to which the changes are complete, inclusive.
    servers : tuple of ServerChange
        Servers that were written or removed.
    configuration : PublishedConfiguration or None
        The newest configuration among the changes.
    outage_age_ms : float or None
        Time since the reader last failed to reach the store, in
        milliseconds; None if there was no recent failure.
    era : int
        Era of the store; `UNKNOWN_ERA` if it reports none, or if the reader
        runs an older release.
    change : ConfigurationChange or None
        The newest configuration among the changes, if it is sent in relation
        to the one that the reader held before.
    evacuations : EvacuationList or None
        All evacuations that the reader knows of, at a position of their own;
        None if it says nothing about them.
    """

    after: int
    revision: int
    servers: tuple[ServerChange, ...] = ()
    configuration: PublishedConfiguration | None = None
    outage_age_ms: float | None = None
    era: int = UNKNOWN_ERA
    change: ConfigurationChange | None = None
    evacuations: EvacuationList | None = None

    @property
    def position(self):
        """The position up to which the changes are complete."""
        return StorePosition(self.era, self.revision)


class SnapshotQuery(typing.NamedTuple):
    """Requests a `StoreSnapshot` from a reader.

    Parameters
    ----------
    accepts_msgpack : bool
        Whether the rules of the configuration may be a msgpack array.
    needs_evacuations : bool
        Whether the snapshot must say that there are no evacuations. Nodes of
        an older release refuse a message with this field.
    """

    accepts_msgpack: bool = False
    needs_evacuations: bool = False


class StoreSnapshot(typing.NamedTuple):
    """All servers and the configuration of a reader.

    Parameters
    ----------
    revision : int
        Revision of the store up to which the snapshot is complete.
    servers : tuple of ServerChange
        All servers.
    configuration : PublishedConfiguration or None
        The configuration in force.
    era : int
        As in `StoreNews`.
    evacuations : EvacuationList or None
        As in `StoreNews`.
    configuration_era : int
        Era in which the configuration was written, if it is an earlier one
        than that of the snapshot; else `UNKNOWN_ERA`. Nodes of an older
        release refuse a message with this field or the next one.
    departed : tuple of DepartedServer
        Servers that have left although the store lists them as ready, since
        it has returned from an older copy.
    """

    revision: int
    servers: tuple[ServerChange, ...]
    configuration: PublishedConfiguration | None
    era: int = UNKNOWN_ERA
    evacuations: EvacuationList | None = None
    configuration_era: int = UNKNOWN_ERA
    departed: tuple[DepartedServer, ...] = ()

    @property
    def position(self):
        """The position up to which the snapshot is complete."""
        return StorePosition(self.era, self.revision)


def limit_update(update, followers, link_mbps):
    """Reduce an update to its revision if it is too large for the link.

    Parameters
    ----------
    update : StoreNews
        The update that was read.
    followers : int
        Number of nodes to which it is sent.
    link_mbps : float
        Link speed of the reader, in megabits per second.

    Returns
    -------
    StoreNews
        The update, or one with only its revision if sending it to all
        followers would take longer than `MAX_BROADCAST_MS`.

    Examples
    --------
    >>> change = ServerChange('s', None, 12)
    >>> limit_update(StoreNews(10, 12, (change,) * 50), 20, 7.0).after
    10
    >>> limit_update(StoreNews(10, 12, (change,) * 90), 20, 7.0)[:3]
    (12, 12, ())
    """
    size = SERVER_RECORD_BYTES * len(update.servers)
    if update.configuration is not None:
        size += len(update.configuration.rules)
    if update.change is not None:
        size += len(msgspec.msgpack.encode(update.change))
    if size * followers * 8.0 / (link_mbps * 1000.0) <= MAX_BROADCAST_MS:
        return update
    return StoreNews(
        update.revision,
        update.revision,
        outage_age_ms=update.outage_age_ms,
        era=update.era,
        evacuations=update.evacuations,
    )


def estimate_snapshot_bytes(snapshot):
    """Estimate the size of a `StoreSnapshot` in a message."""
    size = SERVER_RECORD_BYTES * len(snapshot.servers)
    if snapshot.configuration is not None:
        size += len(snapshot.configuration.rules)
    return size
