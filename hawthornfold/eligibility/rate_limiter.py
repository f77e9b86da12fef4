"""Keeps the rate limits of servers, for all nodes together.

A node computes which share of the requests that would go to a server may go
there: the limit divided by the demand of the whole fleet. It needs no whole
request a second for each node, and no request that was not sent is saved for
later (docs/design/rate-limits.md).
"""

import collections
import random

from hawthornfold.eligibility.demand import CLASS_COUNT
from hawthornfold.eligibility.demand import create_demand_estimate
from hawthornfold.eligibility.demand_collector import LIFETIME_PERIODS
from hawthornfold.eligibility.messages import ServerDemand

# Share of a limit that the nodes use. The sums of the demand are late and not
# exact, which makes the requests up to a tenth more.
USED_SHARE = 0.9
# A lower limit counts as this. A server that gets nothing could not announce
# the end of its limit.
MIN_LIMIT_PER_S = 0.5
# Larger limits are no limits in practice; they are reported as this one.
MAX_LIMIT_PER_S = 1e9
# Servers that a node reports on at a time; further ones take turns.
MAX_REPORTED_SERVERS = 8
# In any window of this length a node sends at most its own part of a limit
# times the factor, and one more. The sums follow a burst only after a second.
BURST_WINDOW_MS = 4_000.0
BURST_FACTOR = 1.25
# Least weight of a new sample of a node's part.
PART_SMOOTHING = 0.1
# Demand below this is reported as none, once.
MIN_REPORTED_PER_S = 0.02
# Bounds of the time until room is expected.
MIN_WAIT_MS = 50.0
MAX_WAIT_MS = 2_000.0
_MS_PER_S = 1_000.0
_MILLI = 1_000.0
# Steps of the golden ratio spread any number of draws evenly over 0 to 1.
_GOLDEN_RATIO = 0.6180339887498949


class RateAdmission:
    """Decides for one attempt which servers with a limit take it.

    Servers are to be asked in the order of preference, until one takes it.

    Parameters
    ----------
    limiter : RateLimiter
        Knows the limits.
    demand_class : int
        Class of the attempt.
    place : float
        The number that the request has drawn, from 0 to 1.
    """

    __slots__ = ('_demand_class', '_limiter', '_place')

    def __init__(self, limiter, demand_class, place):
        self._limiter = limiter
        self._demand_class = demand_class
        self._place = place

    def admits(self, record, now_ms):
        """Return whether a server takes the attempt, and record the demand."""
        share = self._limiter.record_demand(record, self._demand_class, now_ms)
        if self._place < share:
            return self._limiter.try_take(record, now_ms)
        # What the servers before did not take is spread over 0 to 1 again.
        self._place = (self._place - share) / (1.0 - share)
        return False


class _LimitedServer:
    """Demand for a server: the node's own, and that of the fleet."""

    __slots__ = (
        'estimate',
        'has_reported',
        'own_part',
        'reported_ms',
        'sample_count',
        'taken_ms',
        'totals',
    )

    def __init__(self, since_ms, own_part):
        self.estimate = create_demand_estimate(since_ms)
        # By the node that added them up: requests a second of each class, and
        # until when they count.
        self.totals = {}
        # Part of the limit that this node has, as the sums were last known.
        self.own_part = own_part
        self.sample_count = 0
        # Times of the requests that the server has taken, in the last window.
        self.taken_ms = collections.deque()
        self.reported_ms = 0.0
        # Whether the last report had any demand.
        self.has_reported = False

    def find_totals(self, now_ms):
        """Return the greatest sums that are not out of date, or None.

        A node that does not get the reports of all nodes has a lower sum.
        """
        greatest = None
        for rates, expiry_ms in self.totals.values():
            if now_ms < expiry_ms and (
                greatest is None or sum(rates) > sum(greatest)
            ):
                greatest = rates
        return greatest


class RateLimiter:
    """Admits requests to servers with a rate limit.

    Parameters
    ----------
    register : RateLimitRegister
        The limits in force.
    metrics : Metrics
        Receives counters.
    rng : random.Random
        Starts the sequences of draws.
    """

    def __init__(self, register, metrics, rng):
        self._register = register
        self._metrics = metrics
        self._draws = [rng.random() for _ in range(CLASS_COUNT)]
        self._servers = {}
        self._known_count = 1
        self._live_share = 1.0

    @property
    def has_limits(self):
        """Whether any server has a limit."""
        return self._register.count > 0

    def is_limited(self, server_id):
        """Return whether a server has a limit."""
        return self._register.get(server_id) is not None

    def set_nodes(self, live_count, known_count):
        """Set how many nodes share the limits.

        Parameters
        ----------
        live_count : int
            Nodes that this one can reach, itself included.
        known_count : int
            The same and those that may only be cut off.
        """
        self._known_count = max(known_count, 1)
        self._live_share = min(live_count / self._known_count, 1.0)

    def draw_place(self, demand_class):
        """Return the next number of a class, from 0 to 1."""
        place = (self._draws[demand_class] + _GOLDEN_RATIO) % 1.0
        self._draws[demand_class] = place
        return place

    def admits_waiting(self, record, chosen_ms, demand_class, now_ms):
        """Return whether a request that waited for a connection may be sent.

        A limit that was known when the server was chosen has been applied.

        Parameters
        ----------
        record : ServerRecord
            The server.
        chosen_ms : float
            When the server was chosen.
        demand_class : int
            Class of the attempt.
        now_ms : float
            Current time on the node's clock.
        """
        limit = self._register.get(record.server_id)
        if limit is None or limit.since_ms <= chosen_ms:
            return True
        admission = RateAdmission(
            self, demand_class, self.draw_place(demand_class)
        )
        return admission.admits(record, now_ms)

    def record_demand(self, record, demand_class, now_ms):
        """Record that a server is wanted; return the share that it takes.

        Returns
        -------
        float
            From 0 to 1; 1 if the server has no limit.
        """
        limit = self._register.get(record.server_id)
        if limit is None:
            return 1.0
        server = self._get_server(limit)
        server.estimate.record(demand_class, now_ms)
        share = self._compute_share(limit, server, demand_class, now_ms)
        self._metrics.count('rate_limit_demand')
        return share

    def try_take(self, record, now_ms):
        """Record that a server takes a request, unless in a burst.

        Returns
        -------
        bool
            Whether the request may be sent.
        """
        limit = self._register.get(record.server_id)
        if limit is None:
            return True
        server = self._get_server(limit)
        taken_ms = server.taken_ms
        while taken_ms and taken_ms[0] <= now_ms - BURST_WINDOW_MS:
            taken_ms.popleft()
        own_per_s = server.own_part * max(limit.per_s, MIN_LIMIT_PER_S)
        allowed = BURST_FACTOR * own_per_s * BURST_WINDOW_MS / _MS_PER_S + 1.0
        if len(taken_ms) >= allowed:
            return False
        taken_ms.append(now_ms)
        return True

    def estimate_wait_ms(self, record, demand_class, now_ms):
        """Return how long it takes until there is room for one more request.

        Returns
        -------
        float
            Milliseconds, at most `MAX_WAIT_MS`; 0 if the server has no limit.
        """
        limit = self._register.get(record.server_id)
        if limit is None:
            return 0.0
        server = self._get_server(limit)
        share = self._compute_share(limit, server, demand_class, now_ms)
        own_per_s = server.estimate.compute_rates(now_ms)[demand_class]
        room_per_s = share * own_per_s
        if room_per_s <= _MS_PER_S / MAX_WAIT_MS:
            return MAX_WAIT_MS
        return max(_MS_PER_S / room_per_s, MIN_WAIT_MS)

    def create_reports(self, now_ms):
        """Return the demand to be reported.

        At most `MAX_REPORTED_SERVERS` are returned, those first whose last
        report is the oldest.

        Returns
        -------
        tuple of (int, list of (str, ServerDemand))
            In how many turns all servers are reported, and for each server
            its service and demand.
        """
        wanted = []
        for server_id, server in self._servers.items():
            limit = self._register.get(server_id)
            if limit is None:
                continue
            rates = server.estimate.compute_rates(now_ms)
            if sum(rates) < MIN_REPORTED_PER_S:
                rates = (0.0,) * CLASS_COUNT
            if any(rates) or server.has_reported:
                wanted.append((server.reported_ms, server_id, limit, rates))
        wanted.sort(key=lambda x: x[:2])
        reports = []
        for _, server_id, limit, rates in wanted[:MAX_REPORTED_SERVERS]:
            server = self._servers[server_id]
            server.reported_ms, server.has_reported = now_ms, any(rates)
            demand = ServerDemand(
                server_id,
                limit.record.born_ms,
                int(min(limit.per_s, MAX_LIMIT_PER_S) * _MILLI),
                int(now_ms - limit.heard_ms),
                tuple(int(rate * _MILLI) for rate in rates),
            )
            reports.append((limit.record.service, demand))
        turns = -(-len(wanted) // MAX_REPORTED_SERVERS)
        return turns, reports

    def apply_totals(self, node_name, totals, now_ms):
        """Apply the demand of the fleet.

        Parameters
        ----------
        node_name : str
            The node that has added it up.
        totals : DemandTotals
            The sums.
        now_ms : float
            Current time on the node's clock.
        """
        expiry_ms = now_ms + LIFETIME_PERIODS * max(totals.period_ms, 1)
        for demand in totals.servers:
            limit = self._register.get(demand.server_id)
            if limit is None or limit.record.born_ms != demand.born_ms:
                continue
            rates = [max(x, 0) / _MILLI for x in demand.demand_milli]
            rates += [0.0] * (CLASS_COUNT - len(rates))
            server = self._get_server(limit)
            server.totals[node_name] = (tuple(rates), expiry_ms)
            self._update_own_part(server, now_ms)
            heard_ms = now_ms - max(demand.age_ms, 0)
            if heard_ms > limit.heard_ms:
                self._register.record_limit(
                    limit.record, max(demand.limit_milli, 0) / _MILLI, heard_ms
                )

    def expire(self, now_ms):
        """Forget what is out of date, and servers whose limit has ended."""
        for server_id, server in list(self._servers.items()):
            if not self.is_limited(server_id):
                del self._servers[server_id]
                continue
            server.totals = {
                name: totals
                for name, totals in server.totals.items()
                if now_ms < totals[1]
            }

    def _update_own_part(self, server, now_ms):
        own_rates = server.estimate.compute_rates(now_ms)
        fleet_per_s = sum(server.find_totals(now_ms))
        own_part = min(sum(own_rates) / max(fleet_per_s, 1e-9), 1.0)
        server.sample_count += 1
        weight = max(PART_SMOOTHING, 1.0 / server.sample_count)
        server.own_part += weight * (own_part - server.own_part)

    def _get_server(self, limit):
        server_id = limit.record.server_id
        server = self._servers.get(server_id)
        if server is None:
            server = self._servers[server_id] = _LimitedServer(
                limit.since_ms, 1.0 / self._known_count
            )
        return server

    def _compute_share(self, limit, server, demand_class, now_ms):
        """Return the share of the requests of a class that a server takes."""
        left_per_s = USED_SHARE * max(limit.per_s, MIN_LIMIT_PER_S)
        rates = server.find_totals(now_ms)
        if rates is not None:
            left_per_s *= self._live_share
        else:
            own_rates = server.estimate.compute_rates(now_ms)
            rates = [rate * self._known_count for rate in own_rates]
        for rate in rates[:demand_class]:
            left_per_s -= min(left_per_s, rate)
        rate = rates[demand_class]
        return left_per_s / rate if rate > left_per_s else 1.0


def create_rate_limiter(register, metrics, rng=None):
    """Create a limiter of a node that knows no other nodes.

    Parameters
    ----------
    register : RateLimitRegister
        The limits in force.
    metrics : Metrics
        Receives counters.
    rng : random.Random, optional
        Starts the sequences of draws.
    """
    return RateLimiter(register, metrics, rng or random.Random())
