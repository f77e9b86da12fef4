"""What a node that reads the store sends to the others."""

import typing

import msgspec
import result

from hawthornfold.directory.records import CallerLimits
from hawthornfold.directory.records import RoutingConfiguration
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import ServiceRecord
from hawthornfold.rules import compile_document
from hawthornfold.rules import describe_rules
from hawthornfold.rules import parse_rules

# News that would occupy a reader's link for longer than this are only
# announced; the nodes then read by themselves.
MAX_SPREAD_MS = 150.0
# Size of a server's record in a message.
RECORD_BYTES = 130


class PublishedConfiguration(typing.NamedTuple):
    """A `RoutingConfiguration` as nodes send it.

    Parameters
    ----------
    rules : bytes
        The rules document, as ``hawthornfold check`` reads it.
    """

    version: int
    rules: bytes
    services: tuple[ServiceRecord, ...]
    limits: CallerLimits


class StoreNews(typing.NamedTuple):
    """What a reader has read from the store.

    Parameters
    ----------
    after : int
        The changes are complete from this revision of the store on.
    revision : int
        The revision up to which they are; without changes, a beat.
    servers : tuple of ServerChange
        Servers that were written or removed.
    configuration : PublishedConfiguration or None
        The newest configuration among the changes.
    outage_age_ms : float or None
        Time since the store was away for the reader.
    """

    after: int
    revision: int
    servers: tuple[ServerChange, ...] = ()
    configuration: PublishedConfiguration | None = None
    outage_age_ms: float | None = None


class SnapshotQuery(typing.NamedTuple):
    """Asks a reader for all that it knows."""


class StoreSnapshot(typing.NamedTuple):
    """All that a reader knows.

    Parameters
    ----------
    revision : int
        The store's revision up to which it is complete.
    servers : tuple of ServerChange
        All servers.
    configuration : PublishedConfiguration or None
        The configuration in force.
    """

    revision: int
    servers: tuple[ServerChange, ...]
    configuration: PublishedConfiguration | None


def limit_news(news, followers, link_mbps):
    """Return what a reader sends of its news to its followers.

    Parameters
    ----------
    news : StoreNews
        What was read.
    followers : int
        Nodes to which it is sent.
    link_mbps : float
        Speed of the reader's link, in megabits a second.

    Returns
    -------
    StoreNews
        The news, or only its revision where it is too much for the link.

    Examples
    --------
    >>> change = ServerChange('s', None, 12)
    >>> limit_news(StoreNews(10, 12, (change,) * 50), 20, 7.0).after
    10
    >>> limit_news(StoreNews(10, 12, (change,) * 90), 20, 7.0)[:3]
    (12, 12, ())
    """
    size = RECORD_BYTES * len(news.servers)
    if news.configuration is not None:
        size += len(news.configuration.rules)
    if size * followers * 8.0 / (link_mbps * 1000.0) <= MAX_SPREAD_MS:
        return news
    return StoreNews(
        news.revision, news.revision, outage_age_ms=news.outage_age_ms
    )


def pack_configuration(configuration):
    """Return a `RoutingConfiguration` as a `PublishedConfiguration`."""
    if configuration is None:
        return None
    return PublishedConfiguration(
        configuration.version,
        msgspec.json.encode(describe_rules(configuration.document)),
        tuple(configuration.services.values()),
        configuration.limits,
    )


def unpack_configuration(published):
    """Return a `PublishedConfiguration` as a `RoutingConfiguration`.

    Returns
    -------
    result.Result
        Ok with the configuration or None, or Err with the list of `Failure`
        of its rules.
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
