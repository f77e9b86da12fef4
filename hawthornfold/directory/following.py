"""Which nodes read the store, and when the others rely on them.

Every read of the store is counted, and all nodes would read the same changes.
In each data centre a few nodes read; they send each change to the others, and
say at a steady pace up to which revision they have read. A node that hears
from none of its readers, or of a revision that it was not sent, reads by
itself.
"""

import typing

import msgspec
import result

from hawthornfold.directory.records import CallerLimits
from hawthornfold.directory.records import RoutingConfiguration
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import ServiceRecord
from hawthornfold.rendezvous import choose_names
from hawthornfold.rules import create_rules
from hawthornfold.rules import describe_rules
from hawthornfold.rules import parse_rules

# Two, so that a reader that fails delays no change.
READERS_PER_NODE = 2
# Bounds the messages of a reader in a large data centre.
NODES_PER_READER = 16
# Readers that can read say so at this pace.
BEAT_MS = 500.0
# A reader counts as lost after three beats.
SILENCE_MS = 1_600.0
# A change that was announced may arrive later by this much, over the other
# reader for example.
GAP_GRACE_MS = 250.0


# A node that the store does not serve asks a reader for everything at most
# this often.
SNAPSHOT_MS = 1_000.0
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
            create_rules(document, published.version),
            {service.name: service for service in published.services},
            published.limits,
            document,
        )
    )


class ReaderRoles(typing.NamedTuple):
    """Who reads, as seen by one node.

    Parameters
    ----------
    is_reader : bool
        Whether the node itself reads.
    followers : tuple of Member
        To whom it sends what it reads.
    readers : tuple of Member
        The other readers of all data centres.
    """

    is_reader: bool
    followers: tuple
    readers: tuple


def assign_roles(members, own, preferred=frozenset()):
    """Assign readers by rendezvous hashing.

    Nodes with the same members assign the same readers.

    Parameters
    ----------
    members : sequence of Member
        Live members of all data centres, `own` included.
    own : Member
        The node that asks.
    preferred : set of str
        Names of nodes with faster links, which read where there are any.

    Returns
    -------
    ReaderRoles

    Examples
    --------
    >>> from collections import namedtuple
    >>> member = namedtuple('member', 'name data_centre')
    >>> fleet = [member(f'm{i}', 'dc') for i in range(20)]
    >>> roles = [assign_roles(fleet, x) for x in fleet]
    >>> sum(role.is_reader for role in roles)
    2
    >>> sum(len(role.followers) for role in roles)
    36
    """
    by_data_centre = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    names = set()
    for data_centre, group in by_data_centre.items():
        amount = max(READERS_PER_NODE, -(-len(group) // NODES_PER_READER))
        first = [x.name for x in group if x.name in preferred]
        rest = [x.name for x in group if x.name not in preferred]
        chosen = choose_names(first, data_centre, amount)
        chosen += choose_names(rest, data_centre, amount - len(chosen))
        names.update(chosen)
    readers = tuple(
        x for x in members if x.name in names and x.name != own.name
    )
    if own.name not in names:
        return ReaderRoles(False, (), readers)
    group = by_data_centre[own.data_centre]
    local = [x.name for x in group if x.name in names]
    followers = tuple(
        x
        for x in group
        if x.name not in names
        and own.name in choose_names(local, x.name, READERS_PER_NODE)
    )
    return ReaderRoles(True, followers, readers)


class Following:
    """When a node relies on its readers.

    A node that has just started has read the store once, and gives its
    readers as much time as those that it has heard from.
    """

    def __init__(self, started_ms):
        self._is_reader = False
        self._heard_ms = started_ms
        self._known_revision = 0
        # Since when a revision is known that the node does not have.
        self._behind_since_ms = None

    @property
    def is_reader(self):
        """Whether the node reads the store for others."""
        return self._is_reader

    @property
    def known_revision(self):
        """The newest revision that any node has told of."""
        return self._known_revision

    def set_reader(self, is_reader):
        """Take over whether this node reads."""
        self._is_reader = is_reader

    def hear(self, revision, now_ms):
        """Take over that a reader has read up to a revision."""
        self._heard_ms = now_ms
        self.note(revision)

    def note(self, revision):
        """Take over that the store has reached a revision."""
        self._known_revision = max(self._known_revision, revision)

    def relies_on_readers(self, own_revision, now_ms):
        """Return whether the node need not read by itself."""
        if self._known_revision <= own_revision:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        return (
            not self._is_reader
            and now_ms - self._heard_ms < SILENCE_MS
            and (
                self._behind_since_ms is None
                or now_ms - self._behind_since_ms < GAP_GRACE_MS
            )
        )


def create_following(started_ms):
    """Create the state of a node that has heard from no reader.

    Examples
    --------
    >>> following = create_following(0.0)
    >>> following.relies_on_readers(7, SILENCE_MS)
    False
    >>> following.hear(7, SILENCE_MS)
    >>> following.relies_on_readers(7, SILENCE_MS)
    True
    >>> following.set_reader(True)
    >>> following.relies_on_readers(7, SILENCE_MS)
    False
    """
    return Following(started_ms)
