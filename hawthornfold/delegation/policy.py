"""Decides whether to delegate a query, and to which node.

A query uses the node's link and processor in proportion to its number of
shards. If that takes a large part of the query's objective, a node with a
faster link and more cores answers sooner despite the additional hop.
"""

import math
import random
import typing

from hawthornfold.delegation.capacity import Capacity
from hawthornfold.delegation.capacity import QueryCostModel
from hawthornfold.delegation.capacity import estimate_query_rate
from hawthornfold.delegation.messages import Room
from hawthornfold.gathering.regions import create_regions

# The delegate's estimate, including the hop, must be below the local estimate
# times this factor.
MAX_DELEGATE_FACTOR = 0.6
# Estimated time that the additional hop takes.
HOP_MS = 3.0
# Added to the estimate of a node in another data centre.
REMOTE_PENALTY_MS = 4.0
# A node's capacity report expires after this long.
ROOM_TTL_MS = 15_000.0
# A node that left a delegation unanswered gets no offers for this long.
UNANSWERED_BACKOFF_MS = 3_000.0
# A node that declined a query gets no offers for this long; it may have an
# older configuration.
DECLINED_BACKOFF_MS = 300.0
# Maximum number of capacity reports held; the oldest are evicted first.
MAX_ROOMS = 16
# A query is offered to at most this many nodes; if all decline, it runs
# locally.
MAX_OFFERS = 3
# While further nodes remain to be asked, an offer limits the query to this
# share of the sender's local estimate, so that a busy node declines.
EARLY_OFFER_SHARE = 0.4
# Each estimate is increased at random by up to this share, so that senders
# unaware of each other spread their queries over equal nodes.
ESTIMATE_JITTER = 0.3
# A node counts itself as a delegate node for this long after a smaller node
# queried its capacity. Smaller nodes repeat the query at least this often.
CAPACITY_QUERY_TTL_MS = 20_000.0
# A node that stopped sending reports keeps its share of the limits for this
# long: it may have used that share already, and may still be using it.
QUERY_RATE_TTL_MS = 60_000.0
# Share of the limits of gathered services that is reserved for delegate nodes;
# all nodes share the rest equally.
DELEGATE_LIMIT_SHARE = 0.7


class _KnownRoom(typing.NamedTuple):
    room: Room
    reported_ms: float


class DelegationOffer(typing.NamedTuple):
    """A node to ask, and the limit for its estimate.

    Parameters
    ----------
    node : Room
        The node that is asked to run the query.
    limit_ms : float
        The node declines if the query would occupy it for longer.
    """

    node: Room
    limit_ms: float


class DelegationPolicy:
    """Chooses delegate nodes by their capacity reports.

    Parameters
    ----------
    name, data_centre : str
        The local node's.
    capacity : Capacity
        The local node's.
    cost_model : QueryCostModel
        Estimates how long queries occupy nodes.
    rng : random.Random
        Spreads queries over equal nodes.
    regions : Regions
        The regions of the nodes' data centres.
    """

    def __init__(self, name, data_centre, capacity, cost_model, rng, regions):
        self._name = name
        self._data_centre = data_centre
        self._capacity = capacity
        self._cost_model = cost_model
        self._rng = rng
        self._regions = regions
        self._rooms = {}
        # By node name: (queries per second, time of the last report).
        self._query_rates = {}
        self._capacity_query_ms = -math.inf
        self._delegated_counts = {}
        self._backoff_until_ms = {}

    @property
    def capacity(self):
        """The local node's `Capacity`."""
        return self._capacity

    def should_delegate(self, decision):
        """Return whether a rule's queries take too long to run locally."""
        if decision.gather is None or decision.objective_ms is None:
            return False
        return self._cost_model.is_too_long(self._capacity, decision)

    def list_rooms(self, now_ms):
        """Return the unexpired `Room` reports, with their current ages."""
        self._evict_rooms(now_ms)
        return [
            known.room._replace(age_ms=now_ms - known.reported_ms)
            for known in self._rooms.values()
        ]

    def choose_delegate(self, decision, declined_count, is_live, now_ms):
        """Return the next `DelegationOffer`, or None to run locally.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        declined_count : int
            Number of nodes that have declined the query.
        is_live : callable
            Returns whether the node with a given name is a live member.
        now_ms : float
            Current time.
        """
        if declined_count >= MAX_OFFERS or not self.should_delegate(decision):
            return None
        local_ms = self._cost_model.estimate_ms(self._capacity, decision)
        best, best_ms, eligible_count = None, MAX_DELEGATE_FACTOR * local_ms, 0
        allowed_regions = decision.allowed_regions
        for room in self.list_rooms(now_ms):
            capacity = Capacity(room.link_mbps, room.cores)
            if (
                not capacity.is_larger_than(self._capacity)
                or self._backoff_until_ms.get(room.name, 0.0) > now_ms
                or not is_live(room.name)
                or (
                    allowed_regions
                    and not self._regions.allows_node_in(
                        room.data_centre, allowed_regions
                    )
                )
            ):
                continue
            eligible_count += 1
            running = self._delegated_counts.get(room.name, 0)
            delegate_ms = self._cost_model.estimate_ms(capacity, decision) * (
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
        """Return whether this node runs a query for another node.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        running : int
            Number of delegated queries in progress on this node.
        limit_ms : float
            As in `Delegate`.
        """
        local_ms = self._cost_model.estimate_ms(self._capacity, decision)
        return local_ms * (1.0 + running) <= limit_ms

    def record_capacity_query(self, now_ms):
        """Record that a smaller node queried this node's capacity."""
        self._capacity_query_ms = now_ms

    def list_delegate_names(self, now_ms):
        """Return the names of the delegate nodes, as a frozenset."""
        names = set(self._query_rates)
        if now_ms - self._capacity_query_ms <= CAPACITY_QUERY_TTL_MS:
            names.add(self._name)
        return frozenset(names)

    def compute_limit_share(self, node_count, now_ms):
        """Return this node's share of the limits of gathered services.

        Delegate nodes divide most of the limits in proportion to their query
        rates; all nodes share the rest equally.

        Parameters
        ----------
        node_count : int
            Number of nodes in the fleet.
        now_ms : float
            Current time.

        Returns
        -------
        float or None
            Between 0 and 1; None if there are no delegate nodes.
        """
        for name, (_, reported_ms) in list(self._query_rates.items()):
            if now_ms - reported_ms > QUERY_RATE_TTL_MS:
                del self._query_rates[name]
        own = 0.0
        if now_ms - self._capacity_query_ms <= CAPACITY_QUERY_TTL_MS:
            own = estimate_query_rate(self._capacity)
        total = own + sum(rate for rate, _ in self._query_rates.values())
        if not total:
            return None
        return (
            DELEGATE_LIMIT_SHARE * own / total
            + (1.0 - DELEGATE_LIMIT_SHARE) / node_count
        )

    def merge_rooms(self, rooms, now_ms):
        """Merge another node's reports; newer reports replace older ones."""
        for room in rooms:
            if not _is_usable(room):
                continue
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

    def record_delegation_start(self, name):
        """Record that a query was delegated to a node."""
        self._delegated_counts[name] = self._delegated_counts.get(name, 0) + 1

    def record_delegation_end(self, name, now_ms, backoff_ms=0.0):
        """Record that a delegation to a node has ended.

        Parameters
        ----------
        backoff_ms : float
            How long the node gets no further offers.
        """
        self._delegated_counts[name] -= 1
        if not self._delegated_counts[name]:
            del self._delegated_counts[name]
        if backoff_ms:
            self._backoff_until_ms[name] = now_ms + backoff_ms

    def _evict_rooms(self, now_ms):
        for name, known in list(self._rooms.items()):
            if now_ms - known.reported_ms > ROOM_TTL_MS:
                del self._rooms[name]
        while len(self._rooms) > MAX_ROOMS:
            oldest = min(self._rooms.values(), key=lambda k: k.reported_ms)
            del self._rooms[oldest.room.name]


def _is_usable(room):
    """Return whether a report has numbers to compute with.

    A capacity of zero or NaN would make every later choice of a node fail.
    """
    return (
        0.0 < room.link_mbps < math.inf
        and 0.0 < room.cores < math.inf
        and math.isfinite(room.age_ms)
    )


def create_delegation_policy(
    name, data_centre, capacity, cost_model=None, rng=None, regions=None
):
    """Create a policy without capacity reports.

    Parameters
    ----------
    cost_model : QueryCostModel, optional
        Estimates how long queries occupy nodes; one without measurements by
        default.
    rng : random.Random, optional
        Spreads queries over equal nodes.
    regions : Regions, optional
        The regions of the nodes' data centres; none by default.

    Examples
    --------
    >>> policy = create_delegation_policy('a', 'dc', Capacity(7.0, 0.5))
    >>> policy.merge_rooms([Room('b', 'ip:1', 'dc', 70.0, 2.0, 0.0)], 10.0)
    >>> [room.name for room in policy.list_rooms(10.0)]
    ['b']
    """
    return DelegationPolicy(
        name,
        data_centre,
        capacity,
        cost_model or QueryCostModel(capacity),
        rng or random.Random(),
        regions or create_regions(),
    )
