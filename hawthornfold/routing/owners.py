"""Selects the nodes that may send work to a backend server.

With the rendezvous policy a server has a few owners, whatever the size of
the fleet; the first of them holds the server's only queue. With the direct
policy every node sends work to every server and the limits are divided by the
number of nodes. docs/decisions/owners.md compares the two.
"""

import abc
import heapq

from hawthornfold.rendezvous import compute_score

# Number of partition sides that the connection shares allow for. Each side of
# a partitioned fleet selects its own owners; the shares of all owners together
# must stay within the server's connection limit.
PARTITION_SIDES = 2


class OwnerPolicy(abc.ABC):
    """Maps a backend server to the nodes that may send work to it."""

    @abc.abstractmethod
    def owners(self, server):
        """Return the names of the owners of `server`, preferred first."""

    def may_own(self, name, data_centre):
        """Return False when the node cannot own any server of a data centre.

        The caller can then skip all servers of that data centre without a
        look-up: at the target size this skips ten of eleven data centres.
        """
        return True

    def is_owner(self, name, server):
        """Return whether the node called `name` is an owner of `server`."""
        return self.may_own(name, server.data_centre) and (
            name in self.owners(server)
        )

    @abc.abstractmethod
    def connection_share(self, server):
        """Return how many connections one owner may open to `server`."""

    @abc.abstractmethod
    def slot_share(self, server):
        """Return how many requests one owner may have in flight."""

    @abc.abstractmethod
    def update_members(self, members):
        """Replace the live members."""


class RendezvousPolicy(OwnerPolicy):
    """Selects the members with the highest rendezvous scores as owners.

    Members of the server's data centre come before all others. The owners of
    each server are cached. When a member leaves, only the servers that it
    owned are computed again; when one joins, each cached server costs one
    hash. Both matter at 7,200 members and 58,000 servers.
    """

    def __init__(self, owners_per_server):
        self._owners_per_server = owners_per_server
        self._members = {}
        self._by_data_centre = {}
        self._cache = {}

    def owners(self, server):
        """Return the names of the owners of `server`, preferred first."""
        cached = self._cache.get(server.name)
        if cached is None or cached[0].data_centre != server.data_centre:
            cached = self._compute_owners(server)
            self._cache[server.name] = (server, cached)
            return cached
        return cached[1]

    def may_own(self, name, data_centre):
        """Return whether the node may own servers of a data centre.

        Members of other data centres own its servers only while it has too
        few members of its own.
        """
        local = self._by_data_centre.get(data_centre, ())
        return (
            len(local) < self._owners_per_server
            or self._members.get(name) == data_centre
        )

    def connection_share(self, server):
        """Return how many connections one owner may open to `server`."""
        owners = PARTITION_SIDES * self._owners_per_server
        return max(1, server.connections // owners)

    def slot_share(self, server):
        """Return how many requests one owner may have in flight."""
        return server.slots

    def update_members(self, members):
        """Replace the live members and update the cached owners."""
        current = {member.name: member.data_centre for member in members}
        removed = [
            name
            for name, centre in self._members.items()
            if current.get(name) != centre
        ]
        added = [
            name
            for name, centre in current.items()
            if self._members.get(name) != centre
        ]
        self._members = current
        self._by_data_centre = {}
        for name, data_centre in current.items():
            self._by_data_centre.setdefault(data_centre, []).append(name)
        if removed:
            self._evict_servers_owned_by(frozenset(removed))
        for name in added:
            self._insert_member(name)

    def _evict_servers_owned_by(self, names):
        self._cache = {
            server_name: entry
            for server_name, entry in self._cache.items()
            if names.isdisjoint(entry[1])
        }

    def _insert_member(self, name):
        """Add a new member to the cached owners that it outranks."""
        for server_name, (server, owners) in self._cache.items():
            ranked = sorted(
                {*owners, name},
                key=lambda owner: self._owner_sort_key(server, owner),
            )
            top = tuple(ranked[: self._owners_per_server])
            self._cache[server_name] = (server, top)

    def _owner_sort_key(self, server, name):
        is_remote = self._members[name] != server.data_centre
        return (is_remote, -compute_score(name, server.name))

    def _compute_owners(self, server):
        local = self._by_data_centre.get(server.data_centre, ())
        candidates = local
        if len(local) < self._owners_per_server:
            candidates = self._members
        return tuple(
            heapq.nsmallest(
                self._owners_per_server,
                candidates,
                key=lambda name: self._owner_sort_key(server, name),
            )
        )


class DirectPolicy(OwnerPolicy):
    """Makes every node an owner of every server.

    Each node sends its own work and has an equal share of each limit.
    """

    def __init__(self, node_name):
        self._node_name = node_name
        self._member_count = 1

    def owners(self, server):
        """Return only this node."""
        return (self._node_name,)

    def connection_share(self, server):
        """Return the limit divided by the number of nodes, at least 1."""
        return max(1, server.connections // self._member_count)

    def slot_share(self, server):
        """Return the slots divided by the number of nodes, at least 1."""
        return max(1, server.slots // self._member_count)

    def update_members(self, members):
        """Update the number of live members."""
        self._member_count = max(1, len(members))


def create_rendezvous_policy(owners_per_server=2):
    """Create the policy with a few owners for each server."""
    return RendezvousPolicy(owners_per_server)


def create_direct_policy(node_name):
    """Create the policy in which every node owns every server."""
    return DirectPolicy(node_name)


def create_owner_policy(settings):
    """Create the policy that `routing.owner_policy` selects."""
    if settings.routing.owner_policy == 'direct':
        return create_direct_policy(settings.node.name)
    return create_rendezvous_policy(settings.routing.owners_per_server)
