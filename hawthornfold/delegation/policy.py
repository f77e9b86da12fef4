"""Decides whether a query is handed over, and to which node.

A query to many shards costs bytes on the node's link and processor time, both
in proportion to the shards. Where that takes a large part of the objective, a
node with a faster link and more cores answers sooner, in spite of the hop.
"""

import math
import random
import typing

from hawthornfold.delegation.messages import Room
from hawthornfold.gathering.merging import RECORD_BYTES

# Head of a response, and the whole request, of one part.
PART_HEAD_BYTES = 250
PART_REQUEST_BYTES = 300
# Proof of origin of a part in an answer, and the answer's head.
PART_SEAL_BYTES = 40
ANSWER_HEAD_BYTES = 250
# Size of a response body until one was seen.
INITIAL_BODY_BYTES = 300
_BODY_SIZE_SMOOTHING = 0.05
# Processor time of a part on one core (docs/decisions/exchanges.md).
PART_CPU_MS = 0.25
# A query that takes more than this share of its objective is handed over.
MAX_LOCAL_SHARE = 0.25
# The other node has to be faster by this factor, the hop included.
MAX_DELEGATE_FACTOR = 0.6
HOP_MS = 3.0
# A node in another data centre has to be faster by this much.
REMOTE_PENALTY_MS = 4.0
# A node's word that it has room holds for this long.
ROOM_TTL_MS = 15_000.0
# After a delegation without an answer, the node is left alone for this long.
UNANSWERED_BACKOFF_MS = 3_000.0
# So long is one that has declined, which may have an older configuration.
DECLINED_BACKOFF_MS = 300.0
MAX_ROOMS = 16
# A query is offered to so many nodes before its own node runs it.
MAX_OFFERS = 3
# A node that others may be asked besides declines what would take more than
# this share of the time that the sender needs by itself.
EARLY_OFFER_SHARE = 0.4
# Equal nodes share the queries of senders that do not know of each other.
ESTIMATE_JITTER = 0.3
# A node that has room is asked by a smaller one at least this often.
CAPACITY_QUERY_TTL_MS = 20_000.0
# A node that was lost may have spent its part, and go on spending it.
QUERY_RATE_TTL_MS = 60_000.0
# Part of the limits of gathered services for the nodes that run the queries
# of others; all nodes share the rest.
DELEGATE_LIMIT_SHARE = 0.7
# The query by which nodes are weighed.
_REFERENCE_PARTS = 100


class Capacity(typing.NamedTuple):
    """What a node can do at once.

    Parameters
    ----------
    link_mbps : float
        Speed of its link, in megabits a second.
    cores : float
        Its processor share, in cores.
    """

    link_mbps: float
    cores: float

    def is_larger_than(self, other):
        """Return whether this is at least twice the other capacity."""
        return (
            self.link_mbps >= 2.0 * other.link_mbps
            and self.cores >= other.cores
        ) or (
            self.cores >= 2.0 * other.cores
            and self.link_mbps >= other.link_mbps
        )


def estimate_query_ms(capacity, parts, body_bytes):
    """Return how long a query occupies a node's link and processor.

    Parameters
    ----------
    parts : int
        Number of shards.
    body_bytes : float
        Size of a shard's response body.

    Examples
    --------
    >>> round(estimate_query_ms(Capacity(7.0, 0.5), 90, 400))
    112
    >>> round(estimate_query_ms(Capacity(70.0, 2.0), 90, 400))
    18
    """
    sent = parts * PART_REQUEST_BYTES
    received = parts * (body_bytes + PART_HEAD_BYTES)
    # The link carries both ways at once.
    link_ms = max(sent, received) * 8.0 / (capacity.link_mbps * 1000.0)
    return link_ms + parts * PART_CPU_MS / capacity.cores


def estimate_answer_transfer_ms(capacity, decision):
    """Return how long the answer to a query takes on a node's link.

    Examples
    --------
    >>> from hawthornfold.rules import Decision, Gather
    >>> decision = Decision(
    ...     'r', 0, 600, True, 89, 'refuse', True, 1, 20, 'pin', 100.0,
    ...     gather=Gather(('a', 'b'), 20),
    ... )
    >>> round(estimate_answer_transfer_ms(Capacity(1.0, 0.5), decision), 1)
    5.2
    """
    size = ANSWER_HEAD_BYTES
    if decision.gather is not None:
        size += PART_SEAL_BYTES * len(decision.gather.shards)
        size += RECORD_BYTES * decision.gather.limit
    return size * 8.0 / (capacity.link_mbps * 1000.0)


def estimate_query_rate(capacity):
    """Return the queries to 100 shards that a node takes in a second.

    Examples
    --------
    >>> round(estimate_query_rate(Capacity(7.0, 0.5)), 1)
    8.9
    >>> round(estimate_query_rate(Capacity(70.0, 2.0)))
    53
    """
    query_ms = estimate_query_ms(
        capacity, _REFERENCE_PARTS, INITIAL_BODY_BYTES
    )
    return 1000.0 / query_ms


class _KnownRoom(typing.NamedTuple):
    room: Room
    reported_ms: float


class DelegationOffer(typing.NamedTuple):
    """A node that is asked to run a query.

    Parameters
    ----------
    node : Room
        The node.
    limit_ms : float
        It declines if the query would occupy it for longer.
    """

    node: Room
    limit_ms: float


class DelegationPolicy:
    """What one node knows of its own room and that of others."""

    def __init__(self, name, data_centre, capacity, rng):
        self._name = name
        self._data_centre = data_centre
        self._capacity = capacity
        self._rng = rng
        self._rooms = {}
        # By name: weight and when it was last heard of.
        self._query_rates = {}
        self._capacity_query_ms = -math.inf
        self._body_sizes = {}
        self._delegated_counts = {}
        self._backoff_until_ms = {}

    @property
    def capacity(self):
        """The node's own `Capacity`."""
        return self._capacity

    def should_delegate(self, decision):
        """Return whether a query of a rule is too much for this node."""
        if decision.gather is None or decision.objective_ms is None:
            return False
        local_ms = self._estimate_query_ms(self._capacity, decision)
        return local_ms > MAX_LOCAL_SHARE * decision.objective_ms

    def list_rooms(self, now_ms):
        """Return the `Room` of each node that is known to have one."""
        self._evict_rooms(now_ms)
        return [
            known.room._replace(age_ms=now_ms - known.reported_ms)
            for known in self._rooms.values()
        ]

    def choose_delegate(self, decision, declined_count, is_live, now_ms):
        """Return a `DelegationOffer`, or None to run the query locally.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        declined_count : int
            How many nodes have declined it.
        is_live : callable
            Tells whether the node of a name is a live member.
        now_ms : float
            Current time.
        """
        if declined_count >= MAX_OFFERS or not self.should_delegate(decision):
            return None
        local_ms = self._estimate_query_ms(self._capacity, decision)
        best, best_ms, eligible_count = None, MAX_DELEGATE_FACTOR * local_ms, 0
        for room in self.list_rooms(now_ms):
            capacity = Capacity(room.link_mbps, room.cores)
            if (
                not capacity.is_larger_than(self._capacity)
                or self._backoff_until_ms.get(room.name, 0.0) > now_ms
                or not is_live(room.name)
            ):
                continue
            eligible_count += 1
            running = self._delegated_counts.get(room.name, 0)
            delegate_ms = self._estimate_query_ms(capacity, decision) * (
                1.0 + running
            )
            delegate_ms += HOP_MS
            if room.data_centre != self._data_centre:
                delegate_ms += REMOTE_PENALTY_MS
            delegate_ms *= 1.0 + ESTIMATE_JITTER * self._rng.random()
            if delegate_ms < best_ms:
                best, best_ms = room, delegate_ms
        if best is None:
            return None
        is_last = eligible_count == 1 or declined_count + 1 == MAX_OFFERS
        return DelegationOffer(
            best, local_ms * (1.0 if is_last else EARLY_OFFER_SHARE)
        )

    def accepts(self, decision, running, limit_ms):
        """Return whether this node takes a query of another.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        running : int
            Queries of others that are in progress.
        limit_ms : float
            As in `Delegate`.
        """
        local_ms = self._estimate_query_ms(self._capacity, decision)
        return local_ms * (1.0 + running) <= limit_ms

    def record_capacity_query(self, now_ms):
        """Take note that a smaller node has asked for room."""
        self._capacity_query_ms = now_ms

    def list_delegate_names(self, now_ms):
        """Return the names of the nodes that run the queries of others."""
        names = set(self._query_rates)
        if now_ms - self._capacity_query_ms <= CAPACITY_QUERY_TTL_MS:
            names.add(self._name)
        return frozenset(names)

    def compute_limit_share(self, node_count, now_ms):
        """Return this node's share of the limits of gathered services.

        Nodes that run the queries of others get most of it, by what they
        can take. Without such nodes, all get equal shares.

        Parameters
        ----------
        node_count : int
            Nodes of the fleet.
        now_ms : float
            Current time.
        """
        for name, (_, reported_ms) in list(self._query_rates.items()):
            if now_ms - reported_ms > QUERY_RATE_TTL_MS:
                del self._query_rates[name]
        own = 0.0
        if now_ms - self._capacity_query_ms <= CAPACITY_QUERY_TTL_MS:
            own = estimate_query_rate(self._capacity)
        total = own + sum(rate for rate, _ in self._query_rates.values())
        if not total:
            return 1.0 / node_count
        return (
            DELEGATE_LIMIT_SHARE * own / total
            + (1.0 - DELEGATE_LIMIT_SHARE) / node_count
        )

    def merge_rooms(self, rooms, now_ms):
        """Take over what another node knows."""
        for room in rooms:
            reported_ms = now_ms - max(room.age_ms, 0.0)
            known = self._rooms.get(room.name)
            if room.name == self._name or (
                known is not None and known.reported_ms >= reported_ms
            ):
                continue
            if now_ms - reported_ms > ROOM_TTL_MS:
                continue
            capacity = Capacity(room.link_mbps, room.cores)
            self._rooms[room.name] = _KnownRoom(room, reported_ms)
            self._query_rates[room.name] = (
                estimate_query_rate(capacity),
                reported_ms,
            )
        self._evict_rooms(now_ms)

    def record_body_size(self, decision, body_bytes):
        """Take over the size of a shard's response body."""
        size = self._body_sizes.get(decision.rule, body_bytes)
        self._body_sizes[decision.rule] = size + _BODY_SIZE_SMOOTHING * (
            body_bytes - size
        )

    def record_delegation_start(self, name):
        """Count a query that was handed to a node."""
        self._delegated_counts[name] = self._delegated_counts.get(name, 0) + 1

    def record_delegation_end(self, name, now_ms, backoff_ms=0.0):
        """Take over the end of a query that was handed to a node.

        Parameters
        ----------
        backoff_ms : float
            How long the node is left alone.
        """
        self._delegated_counts[name] -= 1
        if not self._delegated_counts[name]:
            del self._delegated_counts[name]
        if backoff_ms:
            self._backoff_until_ms[name] = now_ms + backoff_ms

    def _estimate_query_ms(self, capacity, decision):
        size = self._body_sizes.get(decision.rule, INITIAL_BODY_BYTES)
        return estimate_query_ms(capacity, len(decision.gather.shards), size)

    def _evict_rooms(self, now_ms):
        for name, known in list(self._rooms.items()):
            if now_ms - known.reported_ms > ROOM_TTL_MS:
                del self._rooms[name]
        while len(self._rooms) > MAX_ROOMS:
            oldest = min(self._rooms.values(), key=lambda k: k.reported_ms)
            del self._rooms[oldest.room.name]


def create_delegation_policy(name, data_centre, capacity, rng=None):
    """Create the policy of a node that knows no other.

    Parameters
    ----------
    rng : random.Random, optional
        Spreads the queries over equal nodes.

    Examples
    --------
    >>> policy = create_delegation_policy('a', 'dc', Capacity(7.0, 0.5))
    >>> policy.merge_rooms([Room('b', 'ip:1', 'dc', 70.0, 2.0, 0.0)], 10.0)
    >>> [room.name for room in policy.list_rooms(10.0)]
    ['b']
    """
    return DelegationPolicy(
        name, data_centre, capacity, rng or random.Random()
    )
