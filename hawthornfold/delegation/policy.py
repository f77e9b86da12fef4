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
HEAD_BYTES = 250
REQUEST_BYTES = 300
# Proof of origin of a part in an answer, and the answer's head.
PROOF_BYTES = 40
ANSWER_HEAD_BYTES = 250
# Size of a response body until one was seen.
INITIAL_BODY_BYTES = 300
_SIZE_WEIGHT = 0.05
# Processor time of a part on one core (docs/decisions/exchanges.md).
PART_CPU_MS = 0.25
# A query that takes more than this share of its objective is handed over.
NEED_SHARE = 0.25
# The other node has to be faster by this factor, the hop included.
GAIN_FACTOR = 0.6
HOP_MS = 3.0
# A node in another data centre has to be faster by this much.
REMOTE_MS = 4.0
# A node's word that it has room holds for this long.
ROOM_AGE_MS = 15_000.0
# After a delegation without an answer, the node is left alone for this long.
DISTRUST_MS = 3_000.0
# So long is one that has declined, which may have an older configuration.
DECLINED_MS = 300.0
MAX_ROOMS = 16
# A query is offered to so many nodes before its own node runs it.
MAX_OFFERS = 3
# A node that others may be asked besides declines what would take more than
# this share of the time that the sender needs by itself.
EARLY_SHARE = 0.4
# Equal nodes share the queries of senders that do not know of each other.
SPREAD = 0.3
# A node that has room is asked by a smaller one at least this often.
ASKED_MS = 20_000.0
# A node that was lost may have spent its part, and go on spending it.
LOST_MS = 60_000.0
# Part of the limits of gathered services for the nodes that run the queries
# of others; all nodes share the rest.
DELEGATE_SHARE = 0.7
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

    def has_more_than(self, other):
        """Return whether this is at least twice the other capacity."""
        return (
            self.link_mbps >= 2.0 * other.link_mbps
            and self.cores >= other.cores
        ) or (
            self.cores >= 2.0 * other.cores
            and self.link_mbps >= other.link_mbps
        )


def estimate_ms(capacity, parts, body_bytes):
    """Return how long a query occupies a node's link and processor.

    Parameters
    ----------
    parts : int
        Number of shards.
    body_bytes : float
        Size of a shard's response body.

    Examples
    --------
    >>> round(estimate_ms(Capacity(7.0, 0.5), 90, 400))
    112
    >>> round(estimate_ms(Capacity(70.0, 2.0), 90, 400))
    18
    """
    sent = parts * REQUEST_BYTES
    received = parts * (body_bytes + HEAD_BYTES)
    # The link carries both ways at once.
    link_ms = max(sent, received) * 8.0 / (capacity.link_mbps * 1000.0)
    return link_ms + parts * PART_CPU_MS / capacity.cores


def estimate_answer_ms(capacity, decision):
    """Return how long the answer to a query takes on a node's link.

    Examples
    --------
    >>> from hawthornfold.rules import Decision, Gather
    >>> decision = Decision(
    ...     'r', 0, 600, True, 89, 'refuse', True, 1, 20, 'pin', 100.0,
    ...     gather=Gather(('a', 'b'), 20),
    ... )
    >>> round(estimate_answer_ms(Capacity(1.0, 0.5), decision), 1)
    5.2
    """
    size = ANSWER_HEAD_BYTES
    if decision.gather is not None:
        size += PROOF_BYTES * len(decision.gather.shards)
        size += RECORD_BYTES * decision.gather.limit
    return size * 8.0 / (capacity.link_mbps * 1000.0)


def weigh(capacity):
    """Return the queries to 100 shards that a node takes in a second.

    Examples
    --------
    >>> round(weigh(Capacity(7.0, 0.5)), 1), round(weigh(Capacity(70.0, 2.0)))
    (8.9, 53)
    """
    one_ms = estimate_ms(capacity, _REFERENCE_PARTS, INITIAL_BODY_BYTES)
    return 1000.0 / one_ms


class _Known(typing.NamedTuple):
    room: Room
    heard_ms: float


class Offer(typing.NamedTuple):
    """A node that is asked to run a query.

    Parameters
    ----------
    room : Room
        The node.
    limit_ms : float
        It declines if the query would occupy it for longer.
    """

    room: Room
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
        self._weights = {}
        self._asked_ms = -math.inf
        self._sizes = {}
        self._running = {}
        self._distrusted = {}

    @property
    def capacity(self):
        """The node's own `Capacity`."""
        return self._capacity

    def needs_room(self, decision):
        """Return whether a query of a rule is too much for this node."""
        if decision.gather is None or decision.objective_ms is None:
            return False
        own_ms = self._estimate(self._capacity, decision)
        return own_ms > NEED_SHARE * decision.objective_ms

    def rooms(self, now_ms):
        """Return the `Room` of each node that is known to have one."""
        self._forget(now_ms)
        return [
            known.room._replace(age_ms=now_ms - known.heard_ms)
            for known in self._rooms.values()
        ]

    def choose(self, decision, offers, is_live, now_ms):
        """Return the `Offer` of a query to a node, or None to keep it.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        offers : int
            How many nodes have declined it.
        is_live : callable
            Tells whether the node of a name is a live member.
        now_ms : float
            Current time.
        """
        if offers >= MAX_OFFERS or not self.needs_room(decision):
            return None
        own_ms = self._estimate(self._capacity, decision)
        best, best_ms, others = None, GAIN_FACTOR * own_ms, 0
        for room in self.rooms(now_ms):
            capacity = Capacity(room.link_mbps, room.cores)
            if (
                not capacity.has_more_than(self._capacity)
                or self._distrusted.get(room.name, 0.0) > now_ms
                or not is_live(room.name)
            ):
                continue
            others += 1
            running = self._running.get(room.name, 0)
            room_ms = self._estimate(capacity, decision) * (1.0 + running)
            room_ms += HOP_MS
            if room.data_centre != self._data_centre:
                room_ms += REMOTE_MS
            room_ms *= 1.0 + SPREAD * self._rng.random()
            if room_ms < best_ms:
                best, best_ms = room, room_ms
        if best is None:
            return None
        is_last = others == 1 or offers + 1 == MAX_OFFERS
        return Offer(best, own_ms * (1.0 if is_last else EARLY_SHARE))

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
        own_ms = self._estimate(self._capacity, decision)
        return own_ms * (1.0 + running) <= limit_ms

    def note_asked(self, now_ms):
        """Take note that a smaller node has asked for room."""
        self._asked_ms = now_ms

    def delegates(self, now_ms):
        """Return the names of the nodes that run the queries of others."""
        names = set(self._weights)
        if now_ms - self._asked_ms <= ASKED_MS:
            names.add(self._name)
        return frozenset(names)

    def share(self, node_count, now_ms):
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
        for name, (_, seen_ms) in list(self._weights.items()):
            if now_ms - seen_ms > LOST_MS:
                del self._weights[name]
        own = 0.0
        if now_ms - self._asked_ms <= ASKED_MS:
            own = weigh(self._capacity)
        total = own + sum(weight for weight, _ in self._weights.values())
        if not total:
            return 1.0 / node_count
        return (
            DELEGATE_SHARE * own / total + (1.0 - DELEGATE_SHARE) / node_count
        )

    def learn(self, rooms, now_ms):
        """Take over what another node knows."""
        for room in rooms:
            heard_ms = now_ms - max(room.age_ms, 0.0)
            known = self._rooms.get(room.name)
            if room.name == self._name or (
                known is not None and known.heard_ms >= heard_ms
            ):
                continue
            if now_ms - heard_ms > ROOM_AGE_MS:
                continue
            capacity = Capacity(room.link_mbps, room.cores)
            self._rooms[room.name] = _Known(room, heard_ms)
            self._weights[room.name] = (weigh(capacity), heard_ms)
        self._forget(now_ms)

    def record_size(self, decision, body_bytes):
        """Take over the size of a shard's response body."""
        size = self._sizes.get(decision.rule, body_bytes)
        self._sizes[decision.rule] = size + _SIZE_WEIGHT * (body_bytes - size)

    def begin(self, name):
        """Count a query that was handed to a node."""
        self._running[name] = self._running.get(name, 0) + 1

    def end(self, name, now_ms, pause_ms=0.0):
        """Take over the end of a query that was handed to a node.

        Parameters
        ----------
        pause_ms : float
            How long the node is left alone.
        """
        self._running[name] -= 1
        if not self._running[name]:
            del self._running[name]
        if pause_ms:
            self._distrusted[name] = now_ms + pause_ms

    def _estimate(self, capacity, decision):
        size = self._sizes.get(decision.rule, INITIAL_BODY_BYTES)
        return estimate_ms(capacity, len(decision.gather.shards), size)

    def _forget(self, now_ms):
        for name, known in list(self._rooms.items()):
            if now_ms - known.heard_ms > ROOM_AGE_MS:
                del self._rooms[name]
        while len(self._rooms) > MAX_ROOMS:
            oldest = min(self._rooms.values(), key=lambda k: k.heard_ms)
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
    >>> policy.learn([Room('b', 'ip:1', 'dc', 70.0, 2.0, 0.0)], 10.0)
    >>> [room.name for room in policy.rooms(10.0)]
    ['b']
    """
    return DelegationPolicy(
        name, data_centre, capacity, rng or random.Random()
    )
