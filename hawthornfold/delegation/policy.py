"""Decides whether a query is handed over, and to which node.

A query to many shards costs bytes on the node's link and processor time, both
in proportion to the shards. Where that takes a large part of the objective, a
node with a faster link and more cores answers sooner, in spite of the hop.
"""

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
# A node's word that it has room holds for this long.
ROOM_AGE_MS = 15_000.0
# After a delegation without an answer, the node is left alone for this long.
DISTRUST_MS = 3_000.0
MAX_ROOMS = 16


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


class _Known(typing.NamedTuple):
    room: Room
    heard_ms: float


class DelegationPolicy:
    """What one node knows of its own room and that of others."""

    def __init__(self, name, data_centre, capacity):
        self._name = name
        self._data_centre = data_centre
        self._capacity = capacity
        self._rooms = {}
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

    def choose(self, decision, now_ms):
        """Return the `Room` that gets a query, or None to keep it.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        now_ms : float
            Current time.
        """
        if not self.needs_room(decision):
            return None
        own_ms = self._estimate(self._capacity, decision)
        best, best_ms = None, GAIN_FACTOR * own_ms
        for room in self.rooms(now_ms):
            if self._distrusted.get(room.name, 0.0) > now_ms:
                continue
            capacity = Capacity(room.link_mbps, room.cores)
            running = self._running.get(room.name, 0)
            room_ms = self._estimate(capacity, decision) * (1.0 + running)
            room_ms += HOP_MS
            if room.data_centre != self._data_centre:
                room_ms += 1.0
            if room_ms < best_ms:
                best, best_ms = room, room_ms
        return best

    def learn(self, rooms, now_ms):
        """Take over what another node knows."""
        for room in rooms:
            heard_ms = now_ms - max(room.age_ms, 0.0)
            known = self._rooms.get(room.name)
            if room.name == self._name or (
                known is not None and known.heard_ms >= heard_ms
            ):
                continue
            capacity = Capacity(room.link_mbps, room.cores)
            if capacity.has_more_than(self._capacity):
                self._rooms[room.name] = _Known(room, heard_ms)
        self._forget(now_ms)

    def record_size(self, decision, body_bytes):
        """Take over the size of a shard's response body."""
        size = self._sizes.get(decision.rule, body_bytes)
        self._sizes[decision.rule] = size + _SIZE_WEIGHT * (body_bytes - size)

    def begin(self, name):
        """Count a query that was handed to a node."""
        self._running[name] = self._running.get(name, 0) + 1

    def end(self, name, has_answered, now_ms):
        """Take over the end of a query that was handed to a node."""
        self._running[name] -= 1
        if not self._running[name]:
            del self._running[name]
        if not has_answered:
            self._distrusted[name] = now_ms + DISTRUST_MS

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


def create_delegation_policy(name, data_centre, capacity):
    """Create the policy of a node that knows no other.

    Examples
    --------
    >>> policy = create_delegation_policy('a', 'dc', Capacity(7.0, 0.5))
    >>> policy.learn([Room('b', 'ip:1', 'dc', 70.0, 2.0, 0.0)], 10.0)
    >>> [room.name for room in policy.rooms(10.0)]
    ['b']
    """
    return DelegationPolicy(name, data_centre, capacity)
