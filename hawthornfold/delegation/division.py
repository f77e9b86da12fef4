"""Divides the shards of a query among nodes.

A query occupies the link and the processor of the node that gathers it for a
time that grows with the number of shards. A node that is too small to gather
all of them within the objective has other nodes gather groups of them and
merges what they have merged. A group of shards whose servers are all in
another data centre is gathered there, so that only merged records travel
between data centres.
"""

import heapq
import math
import random
import typing

from hawthornfold.delegation.backoffs import create_node_backoffs
from hawthornfold.delegation.capacity import PART_SEAL_BYTES
from hawthornfold.gathering.merging import RECORD_BYTES
from hawthornfold.gathering.regions import create_regions
from hawthornfold.rendezvous import compute_score

# Minimum number of shards of a group. The messages of a smaller group cost
# more than its exchanges.
MIN_GROUP_PARTS = 4
# Maximum number of nodes, with the dividing one, for the shards of one data
# centre. Each further node is one more that can fail during the query.
MAX_CHUNKS = 6
# Processor time on one core of the messages of a group at the dividing node.
CALL_CPU_MS = 1.0
# Network time of the two messages and wake-up delays of both nodes.
CALL_HOP_MS = 4.0
# Size of the head of a message with the answers of a group.
REPLY_HEAD_BYTES = 200
# The estimate of a divided query must be below that of the undivided one times
# this factor.
MAX_DIVIDED_FACTOR = 0.6
# A query is divided by data centre if the time of a call is at most this share
# of its objective.
MAX_CALL_SHARE = 0.07
# Number of nodes among which a group's node is chosen. A node keeps links to
# these only; other nodes prefer others.
PREFERRED_NODES = 2


class PlannedGroup(typing.NamedTuple):
    """A group of parts and the node that gathers it.

    Parameters
    ----------
    node : Member
        The node.
    parts : tuple of int
        Indexes of the parts.
    """

    node: typing.Any
    parts: tuple[int, ...]


class _Division(typing.NamedTuple):
    """The parts of a query by the data centre that gathers them."""

    local: tuple[int, ...]
    remote: tuple[tuple[str, tuple[int, ...]], ...]


class DivisionPolicy:
    """Chooses which nodes gather which shards of a query.

    Parameters
    ----------
    name, data_centre : str
        The local node's.
    capacity : Capacity
        The local node's.
    cost_model : QueryCostModel
        Estimates how long parts occupy a node.
    rng : random.Random
        Spreads groups over equal nodes.
    regions : Regions
        The regions of the data centres of nodes and servers.
    """

    def __init__(self, name, data_centre, capacity, cost_model, rng, regions):
        self._name = name
        self._data_centre = data_centre
        self._capacity = capacity
        self._cost_model = cost_model
        self._rng = rng
        self._regions = regions
        self._backoffs = create_node_backoffs()
        # By rule: the version of the directory and the division.
        self._divisions = {}

    def may_divide(self, decision):
        """Return whether a rule's queries have enough shards to be divided."""
        return (
            decision.gather is not None
            and decision.objective_ms is not None
            and len(decision.gather.shards) >= 2 * MIN_GROUP_PARTS
        )

    def plan(self, decision, directory, members, now_ms):
        """Return the groups of a query that other nodes gather.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        directory : ServerDirectory
            Lists the servers of each shard.
        members : sequence of Member
            The nodes that may gather groups.
        now_ms : float
            Current time.

        Returns
        -------
        tuple of PlannedGroup
            Empty if the node gathers all parts itself.
        """
        if not self.may_divide(decision):
            return ()
        nodes = self._list_nodes(members, now_ms)
        if decision.allowed_regions:
            nodes = {
                data_centre: group
                for data_centre, group in nodes.items()
                if self._regions.allows_node_in(
                    data_centre, decision.allowed_regions
                )
            }
        if not nodes:
            return ()
        division = self._divide_by_data_centre(decision, directory, now_ms)
        groups = []
        local = list(division.local)
        for data_centre, parts in division.remote:
            if data_centre in nodes:
                groups += self._plan_chunks(
                    decision, parts, nodes[data_centre], False
                )
            else:
                local += parts
        local_nodes = nodes.get(self._data_centre)
        if local_nodes is None:
            local_nodes = [x for group in nodes.values() for x in group]
        groups += self._plan_chunks(decision, local, local_nodes, True)
        return tuple(groups)

    def record_silence(self, name, now_ms):
        """Record that a node did not reply."""
        self._backoffs.record_silence(name, now_ms)

    def record_isolated(self, name, now_ms):
        """Record that a node has lost its links to all servers."""
        self._backoffs.record_isolated(name, now_ms)

    def record_decline(self, name, now_ms):
        """Record that a node declined a group."""
        self._backoffs.record_decline(name, now_ms)

    def _list_nodes(self, members, now_ms):
        """Return the nodes that may gather groups, by data centre."""
        excluded = set(self._backoffs.list_names(now_ms))
        nodes = {}
        for member in members:
            if member.name not in excluded:
                nodes.setdefault(member.data_centre, []).append(member)
        return nodes

    def _divide_by_data_centre(self, decision, directory, now_ms):
        known = self._divisions.get(decision.rule)
        key = (
            directory.version,
            decision.gather,
            decision.allowed_regions,
            self._regions.version,
        )
        if known is not None and known[0] == key:
            return known[1]
        shards = decision.gather.shards
        division = _Division(tuple(range(len(shards))), ())
        if MAX_CALL_SHARE * decision.objective_ms >= CALL_HOP_MS:
            division = _divide(
                [
                    self._locate(shard, decision, directory, now_ms)
                    for shard in shards
                ],
                self._data_centre,
            )
        self._divisions[decision.rule] = (key, division)
        return division

    def _locate(self, shard, decision, directory, now_ms):
        """Return the data centres with servers of a shard."""
        servers = directory.available_servers(shard, now_ms)
        if decision.allowed_regions:
            servers = self._regions.filter_servers(
                shard, servers, decision.allowed_regions
            )
        return frozenset(record.data_centre for record in servers)

    def _plan_chunks(self, decision, parts, nodes, is_local):
        """Divide the parts of one data centre among its nodes."""
        if not parts:
            return []
        max_chunks = min(
            MAX_CHUNKS,
            len(nodes) + is_local,
            max(1, len(parts) // MIN_GROUP_PARTS),
        )
        count = self._choose_chunk_count(decision, len(parts), max_chunks)
        chunks = [tuple(parts[start::count]) for start in range(count)]
        if is_local:
            # The node keeps the chunk that it gathers for others as well.
            del chunks[_find_home(self._name, count)]
        homes = {}
        for node in nodes:
            homes.setdefault(_find_home(node.name, count), []).append(node)
        groups, used = [], set()
        own_home = _find_home(self._name, count) if is_local else count
        for number, chunk in enumerate(chunks):
            home = number + (number >= own_home)
            candidates = [
                x for x in homes.get(home, ()) if x.name not in used
            ] or [x for x in nodes if x.name not in used]
            node = self._choose_node(candidates)
            used.add(node.name)
            groups.append(PlannedGroup(node, chunk))
        return groups

    def _choose_node(self, candidates):
        """Return one of the few nodes that this node prefers."""
        preferred = heapq.nsmallest(
            PREFERRED_NODES,
            candidates,
            key=lambda node: compute_score(self._name, node.name),
        )
        return self._rng.choice(preferred)

    def _choose_chunk_count(self, decision, part_count, max_chunks):
        """Return the number of nodes with the lowest estimated time."""
        if not self._cost_model.is_too_long(
            self._capacity, decision, part_count
        ):
            return 1
        undivided_ms = self._estimate_ms(decision, part_count, 1)
        best, best_ms = 1, MAX_DIVIDED_FACTOR * undivided_ms
        for count in range(2, max_chunks + 1):
            estimate_ms = self._estimate_ms(decision, part_count, count)
            if estimate_ms < best_ms:
                best, best_ms = count, estimate_ms
        return best

    def _estimate_ms(self, decision, part_count, chunk_count):
        own_ms = self._cost_model.estimate_ms(
            self._capacity, decision, math.ceil(part_count / chunk_count)
        )
        if chunk_count == 1:
            return own_ms
        reply_bytes = (
            REPLY_HEAD_BYTES
            + PART_SEAL_BYTES * part_count / chunk_count
            + RECORD_BYTES * decision.gather.limit
        )
        call_ms = CALL_CPU_MS / self._capacity.cores
        call_ms += reply_bytes * 8.0 / (self._capacity.link_mbps * 1000.0)
        return own_ms + CALL_HOP_MS + (chunk_count - 1) * call_ms


def _divide(located, own_data_centre):
    """Divide parts by the data centres of their servers.

    Parameters
    ----------
    located : list of frozenset of str
        The data centres with servers of each part.
    own_data_centre : str
        Gathers all parts that have a server there, and those that no other
        data centre has enough of.

    Returns
    -------
    _Division

    Examples
    --------
    >>> a, b = frozenset('a'), frozenset('b')
    >>> _divide([a, b, a | b, b, b, b, frozenset('c')], 'a')
    _Division(local=(0, 2, 6), remote=(('b', (1, 3, 4, 5)),))
    """
    local = [i for i, x in enumerate(located) if own_data_centre in x]
    left = [i for i, x in enumerate(located) if own_data_centre not in x]
    remote = []
    while left:
        counts = {}
        for index in left:
            for data_centre in located[index]:
                counts[data_centre] = counts.get(data_centre, 0) + 1
        # The name decides between equals, so that the choice is stable.
        best = max(counts, key=lambda x: (counts[x], x), default=None)
        if best is None or counts[best] < MIN_GROUP_PARTS:
            break
        remote.append((best, tuple(i for i in left if best in located[i])))
        left = [i for i in left if best not in located[i]]
    return _Division(tuple(sorted(local + left)), tuple(remote))


def _find_home(name, count):
    """Return the chunk that a node gathers for all others.

    A node that always gathers the same shards needs connections to their
    servers only.
    """
    return compute_score(name, 'chunk') % count


def create_division_policy(
    name, data_centre, capacity, cost_model, rng=None, regions=None
):
    """Create a policy that knows of no failed nodes.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads groups over equal nodes.
    regions : Regions, optional
        The regions of the data centres; none by default.
    """
    return DivisionPolicy(
        name,
        data_centre,
        capacity,
        cost_model,
        rng or random.Random(),
        regions or create_regions(),
    )
