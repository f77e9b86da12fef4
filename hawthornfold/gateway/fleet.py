"""Membership of the gateway nodes and the messages between them."""

import collections
import contextlib
import random
import typing

import eventlet

from hawthornfold.directory import UNKNOWN_ERA
from hawthornfold.directory import ReaderRoles
from hawthornfold.directory import StorePosition
from hawthornfold.directory import assign_roles
from hawthornfold.eligibility import create_node_roster
from hawthornfold.gateway.settings import split_address
from hawthornfold.limits import NodeCounts
from hawthornfold.membership import ListedVM
from hawthornfold.membership.actions import Options
from hawthornfold.membership.records import ALIVE
from hawthornfold.membership.service import MembershipService
from hawthornfold.membership.state import MembershipState
from hawthornfold.peers.links import open_peer_links
from hawthornfold.peers.messages import Update
from hawthornfold.settings import MembershipSettings
from hawthornfold.settings import NodeSettings
from hawthornfold.settings import PeerSettings

CLUSTER = 'gateway'
# A node that was lost without notice is counted for this long. It may have
# used its share of the repeat budget; one that is only cut off still uses it.
LOST_NODE_RETENTION_MS = 60_000.0
# Number of store readers that a node notifies of a newer revision. Every node
# that reads the revision notifies as many, so that a reader that has missed it
# is notified with near certainty.
HINTED_READER_COUNT = 2
# Share of the membership probes that stay in the data centre.
LOCAL_PROBE_SHARE = 0.8
# Interval at which each node's share of the limits is updated.
COUNT_INTERVAL_MS = 1_000.0


class PeerSetup(typing.NamedTuple):
    """The settings that `open_peer_links` needs."""

    cluster: str
    node: NodeSettings
    peers: PeerSettings
    membership: MembershipSettings


class StoreRevision(typing.NamedTuple):
    """Reports the position of the store up to which the sender has read.

    Parameters
    ----------
    revision : int
        Revision of the store.
    era : int
        Era of the store; `UNKNOWN_ERA` if it reports none, or if the sender
        runs an older release.
    """

    revision: int
    era: int = UNKNOWN_ERA

    @property
    def position(self):
        """The `StorePosition`."""
        return StorePosition(self.era, self.revision)


class NodeCounter:
    """Counts the nodes that share the servers' limits.

    Counts the nodes seen within `LOST_NODE_RETENTION_MS`, except those that
    have announced that they leave.

    Parameters
    ----------
    min_count : int
        Lower bound of the count.
    """

    def __init__(self, min_count):
        self._min_count = min_count
        # By name: data centre and when the node was last seen.
        self._seen = {}

    def count(self, live, has_left, now_ms):
        """Return the `NodeCounts`, this node included.

        Parameters
        ----------
        live : iterable of Member
            The live members, this node included.
        has_left : callable
            Takes the name of a node; returns whether it has announced that
            it leaves.
        now_ms : float
            Current time.
        """
        for member in live:
            self._seen[member.name] = (member.data_centre, now_ms)
        for name, (_, seen_ms) in list(self._seen.items()):
            if now_ms - seen_ms > LOST_NODE_RETENTION_MS or (
                seen_ms < now_ms and has_left(name)
            ):
                del self._seen[name]
        known = collections.Counter(x for x, _ in self._seen.values())
        return NodeCounts(
            dict(known), max(0, self._min_count - len(self._seen))
        )


class Fleet:
    """Membership of the gateway nodes and their messages to each other."""

    def __init__(
        self,
        membership,
        links,
        clock,
        metrics,
        counter,
        roster,
        has_seeds=False,
    ):
        self._has_seeds = has_seeds
        self._metrics = metrics
        self._membership = membership
        self._links = links
        self._clock = clock
        self._counter = counter
        self._roster = roster
        self._live = frozenset()
        self._live_version = None
        self._roles = ReaderRoles(False, (), ())
        self._roles_inputs = None

    def is_live(self, name):
        """Return whether the node with a name is a live member."""
        if self._live_version != self._membership.version:
            self._live_version = self._membership.version
            self._live = frozenset(m.name for m in self._membership.members)
        return name in self._live

    @property
    def has_seeds(self):
        """Whether the settings name other nodes."""
        return self._has_seeds

    @property
    def version(self):
        """Number that changes with the members."""
        return self._membership.version

    @property
    def nodes(self):
        """The `FleetNodes` as of the last call of `update_nodes`."""
        nodes = self._roster.nodes
        if self._membership.is_superseded:
            # The newer process with this name has the allotments.
            return nodes._replace(is_complete=False)
        return nodes

    def update_nodes(self):
        """Update `nodes`; to be called each second."""
        self._roster.update(
            self._membership.members,
            self._membership.has_left,
            self._clock.now_ms(),
        )

    def count_nodes(self):
        """Return the `NodeCounts` that share the servers' limits."""
        return self._counter.count(
            self._membership.members,
            self._membership.has_left,
            self._clock.now_ms(),
        )

    @property
    def roles(self):
        """The `ReaderRoles` of this node."""
        return self._roles

    def assign_roles(self, preferred):
        """Update which nodes read the store, and for which followers.

        Parameters
        ----------
        preferred : frozenset of str
            Names of nodes with faster links, which are readers if there are
            any.
        """
        inputs = (self._membership.version, preferred)
        if self._roles_inputs != inputs:
            self._roles_inputs = inputs
            members = self._membership.members
            self._roles = assign_roles(members, members[0], preferred)

    @property
    def own_name(self):
        """Name of this node."""
        return self._membership.members[0].name

    def list_live(self):
        """Return the live nodes as `Member` tuples, this one first."""
        return list(self._membership.members)

    def list_others(self):
        """Return the other live nodes as `Member` tuples."""
        return list(self._membership.members[1:])

    def send(self, name, address, body, keeps_open=False):
        """Send a message to a node without blocking.

        Parameters
        ----------
        keeps_open : bool
            Whether the link stays open for further messages.
        """
        self._links.send(name, address, body, keeps_open)

    def reply(self, sender, body):
        """Send a reply to the process that sent a message.

        If the node has started another process since then, the reply is
        dropped. That process has the same address, and one of an older
        release takes the reply for that to a call of its own.

        Parameters
        ----------
        sender : Sender
            The sender in the envelope of the message.
        body : NamedTuple
            The reply.
        """
        if self._links.has_newer_process(
            sender
        ) or self._membership.has_newer_process(sender):
            self._metrics.count('replies_withheld')
            return
        self.send(sender.name, sender.address, body)

    def register(self, body_type, handler):
        """Call ``handler(sender, body)`` for each message of a type."""
        self._links.register(body_type, handler)

    def send_to_readers(self, body):
        """Send a message to a few random readers of the store."""
        readers = self._roles.readers
        for member in random.sample(
            readers, min(HINTED_READER_COUNT, len(readers))
        ):
            self.send(member.name, member.address, body)

    def send_to_followers(self, body):
        """Send a message to the nodes that follow this one as a reader."""
        for member in self._roles.followers:
            self.send(member.name, member.address, body)

    def leave(self):
        """Announce to the other nodes that this one leaves."""
        self._membership.leave()


@contextlib.contextmanager
def open_fleet(settings, clock, metrics, audit):
    """Keep the node a member of the fleet while the context is active.

    Parameters
    ----------
    settings : GatewaySettings
        Contain the node's peer address and the seeds.
    audit : AuditTrail
        Records membership changes.

    Yields
    ------
    Fleet
    """
    host, port = split_address(settings.peer_address)
    setup = PeerSetup(
        CLUSTER,
        NodeSettings(settings.node_name, settings.data_centre, host),
        PeerSettings(port),
        MembershipSettings(),
    )
    incarnation = clock.wall_ms()
    with open_peer_links(setup, incarnation, clock, metrics) as links:
        own = Update(
            settings.node_name,
            settings.peer_address,
            settings.data_centre,
            incarnation,
            0,
            ALIVE,
        )
        # No list of VMs is published, so any node may join.
        options = Options(is_open=True, local_probe_share=LOCAL_PROBE_SHARE)
        state = MembershipState(own, options, random.Random(), clock.now_ms())
        membership = MembershipService(state, clock, links, audit, metrics)
        membership.set_listed_vms(_list_seeds(settings))
        loop = eventlet.spawn(membership.run)
        try:
            min_count = max(1, len(settings.seed_addresses))
            roster = create_node_roster(
                [seed.address for seed in _list_seeds(settings)],
                clock.now_ms(),
            )
            yield Fleet(
                membership,
                links,
                clock,
                metrics,
                NodeCounter(min_count),
                roster,
                bool(_list_seeds(settings)),
            )
        finally:
            loop.kill()


def _list_seeds(settings):
    """Return the seeds as listed VMs, named by address."""
    return [
        ListedVM(address, address, '')
        for address in settings.seed_addresses
        if address != settings.peer_address
    ]
