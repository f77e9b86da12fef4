"""Messages with which readers of the store update other nodes."""

import typing

import msgspec
import result

from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.positions import StorePosition
from hawthornfold.directory.records import CallerLimits
from hawthornfold.directory.records import RoutingConfiguration
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import ServiceRecord
from hawthornfold.rules import compile_document
from hawthornfold.rules import describe_rules
from hawthornfold.rules import parse_rules

# An update that would occupy the reader's link for longer than this is only
# announced by its revision; the followers then read the store themselves.
MAX_BROADCAST_MS = 150.0
# Approximate size of a server's record in a message.
SERVER_RECORD_BYTES = 130


class PublishedConfiguration(typing.NamedTuple):
    """A `RoutingConfiguration` in the form in which nodes send it.

    Parameters
    ----------
    version : int
        Version of the configuration.
    rules : bytes
        The rules document, in the format of ``hawthornfold check``.
    services : tuple of ServiceRecord
        All services.
    limits : CallerLimits
        Limits for callers.
    """

    version: int
    rules: bytes
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
    """

    after: int
    revision: int
    servers: tuple[ServerChange, ...] = ()
    configuration: PublishedConfiguration | None = None
    outage_age_ms: float | None = None
    era: int = UNKNOWN_ERA

    @property
    def position(self):
        """The position up to which the changes are complete."""
        return StorePosition(self.era, self.revision)


class SnapshotQuery(typing.NamedTuple):
    """Requests a `StoreSnapshot` from a reader."""


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
    """

    revision: int
    servers: tuple[ServerChange, ...]
    configuration: PublishedConfiguration | None
    era: int = UNKNOWN_ERA

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
    if size * followers * 8.0 / (link_mbps * 1000.0) <= MAX_BROADCAST_MS:
        return update
    return StoreNews(
        update.revision,
        update.revision,
        outage_age_ms=update.outage_age_ms,
        era=update.era,
    )


def estimate_snapshot_bytes(snapshot):
    """Estimate the size of a `StoreSnapshot` in a message."""
    size = SERVER_RECORD_BYTES * len(snapshot.servers)
    if snapshot.configuration is not None:
        size += len(snapshot.configuration.rules)
    return size


def encode_configuration(configuration):
    """Convert a `RoutingConfiguration` to a `PublishedConfiguration`.

    Returns None for None.
    """
    if configuration is None:
        return None
    return PublishedConfiguration(
        configuration.version,
        msgspec.json.encode(describe_rules(configuration.document)),
        tuple(configuration.services.values()),
        configuration.limits,
    )


def decode_configuration(published):
    """Convert a `PublishedConfiguration` to a `RoutingConfiguration`.

    Returns
    -------
    result.Result
        Ok with the configuration, or with None for None; Err with the list
        of `Failure` of its rules.
    """
    if published is None:
        return result.Ok(None)
    return parse_rules(published.rules).map(
        lambda document: RoutingConfiguration(
            published.version,
            compile_document(document, published.version),
            {service.name: service for service in published.services},
            published.limits,
            document,
        )
    )
