"""Chooses the server of a request by its estimated cost in time."""

import math
import random

from hawthornfold.eligibility import create_server_eligibility
from hawthornfold.placement.costs import estimate_cost_ms
from hawthornfold.placement.health import ServerHealth
from hawthornfold.placement.health import compute_silence_limit_ms
from hawthornfold.placement.isolation import compute_suspicion_limit_ms
from hawthornfold.placement.isolation import create_isolation_detector
from hawthornfold.placement.silence import block_silent_servers
from hawthornfold.placement.silence import find_silent_ids

# Additional cost of a server in another data centre, as a share of the
# objective: traffic between data centres is expensive, and time within the
# objective is not. Without an objective, the cost is the constant, which is
# the network time to the other data centre.
REMOTE_OBJECTIVE_SHARE = 0.1
REMOTE_COST_MS = 3.0
# Additional cost for the requests that a restricted share of the load leaves
# to other servers, as a multiple of the cost of another data centre: the
# servers there are preferred while they are not overloaded.
DIVERSION_REMOTE_FACTOR = 2.0
# Estimated time to open a connection, before the first measurement.
INITIAL_CONNECT_MS = 6.0
_CONNECT_WEIGHT = 0.05
# A service's chosen server is used again without a comparison for this long,
# while it has an open connection and nothing has disturbed it. Comparing all
# servers of each shard is a large part of the processor time of a query. A
# server in another data centre is compared with the local ones more often.
CHOICE_LIFETIME_MS = 4_000.0
REMOTE_CHOICE_LIFETIME_MS = 500.0


class Placement:
    """Tracks the health of all servers and chooses among them."""

    def __init__(
        self, data_centre, latency_tracker, has_connection, rng, eligibility
    ):
        self._data_centre = data_centre
        self._latency_tracker = latency_tracker
        self._has_connection = has_connection
        self._rng = rng
        self._eligibility = eligibility
        self._connect_ms = INITIAL_CONNECT_MS
        self._health = {}
        self._isolation = create_isolation_detector()
        # By service: the candidates, the chosen server and its expiry time.
        self._choices = {}

    def health(self, server_id):
        """Return the `ServerHealth` of a server."""
        health = self._health.get(server_id)
        if health is None:
            health = self._health[server_id] = ServerHealth()
        return health

    @property
    def isolation(self):
        """The node's `IsolationDetector`."""
        return self._isolation

    @property
    def is_isolated(self):
        """Whether the node has lost its links to all servers."""
        return self._isolation.is_isolated

    def is_any_blocked(self, candidates):
        """Return whether this node may lack a link to a candidate."""
        return any(
            self.health(record.server_id).is_blocked for record in candidates
        )

    def list_silent(self, now_ms):
        """Return the ids of servers that are suspiciously silent."""
        return find_silent_ids(
            self._health, self._isolation.last_contact_ms, now_ms
        )

    def block_all(self, server_ids, now_ms):
        """Exclude servers that an isolated node does not reach."""
        for server_id in server_ids:
            self.health(server_id).block(now_ms)

    def expect_return(self, spread_ms, now_ms):
        """Forget failures of the node's links; probe the blocked servers.

        Parameters
        ----------
        spread_ms : float
            Time over which the probes are spread.
        now_ms : float
            Current time on the node's clock.
        """
        for health in self._health.values():
            if health.is_blocked:
                health.expect_return(self._rng.random() * spread_ms, now_ms)

    def remove_server(self, server_id):
        """Remove the observations of a server that left or restarted."""
        self._health.pop(server_id, None)
        self._choices = {
            service: choice
            for service, choice in self._choices.items()
            if choice[1].server_id != server_id
        }

    def blocked_server_ids(self):
        """Return the ids of the servers excluded from selection."""
        return [i for i, health in self._health.items() if health.is_blocked]

    @property
    def rate_limiter(self):
        """The `RateLimiter`, or None while no server has a rate limit."""
        return self._eligibility.rate_limiter

    def choose_first_server(
        self, service, candidates, decision, now_ms, admission=None
    ):
        """Return the server of the first attempt of a part.

        Parameters
        ----------
        service : str
            The service of the part.
        candidates : tuple of ServerRecord
            Its servers, as the same object while they do not change.
        decision, now_ms, admission : Decision, float, RateAdmission
            As for `choose_server`.

        Returns
        -------
        ServerRecord or None
            As for `choose_server`.
        """
        choice = self._choices.get(service)
        if choice is not None:
            chosen_from, record, expiry_ms = choice
            if (
                chosen_from is candidates
                and now_ms < expiry_ms
                and self._health[record.server_id].is_undisturbed
                and self._has_connection(record.server_id)
                and self._eligibility.allows(record, now_ms)
                and not self._is_rate_limited(record)
            ):
                return record
        record = self.choose_server(candidates, decision, now_ms, admission)
        if record is None:
            self._choices.pop(service, None)
        elif self._has_restricted_share(candidates, now_ms):
            # Each request is to decide anew, or the share would be all or
            # nothing for the lifetime of the choice.
            self._choices.pop(service, None)
        else:
            lifetime_ms = CHOICE_LIFETIME_MS
            if record.data_centre != self._data_centre:
                lifetime_ms = REMOTE_CHOICE_LIFETIME_MS
            self._choices[service] = (
                candidates,
                record,
                now_ms + lifetime_ms,
            )
        return record

    def choose_server(self, candidates, decision, now_ms, admission=None):
        """Return the candidate with the lowest estimated cost.

        If it has a rate limit without room for the request, the next one
        follows.

        Parameters
        ----------
        candidates : list of ServerRecord
            Servers that may execute the request.
        decision : Decision
            What the rules decided for the request.
        now_ms : float
            Current time.
        admission : RateAdmission, optional
            Decides which servers with a rate limit take the request. Without
            it, no limit is applied.

        Returns
        -------
        ServerRecord or None
            None if there is no candidate, or all of them are blocked or may
            receive no request now.
        """
        costs = self._estimate_costs(candidates, decision, now_ms)
        if admission is None:
            return min(costs, key=_get_cost, default=(0.0, None))[1]
        costs.sort(key=_get_cost)
        for _, record in costs:
            if admission.admits(record, now_ms):
                return record
        return None

    def _estimate_costs(self, candidates, decision, now_ms):
        """Return the costs of the candidates that may get the request.

        Returns
        -------
        list of (float, ServerRecord)
            In the order of the candidates.
        """
        typical_ms = self._latency_tracker.typical_ms(decision)
        remote_ms = REMOTE_COST_MS
        if decision.objective_ms is not None:
            remote_ms = REMOTE_OBJECTIVE_SHARE * decision.objective_ms
        costs = []
        for record in candidates:
            health = self.health(record.server_id)
            if health.is_blocked:
                continue
            if not self._eligibility.allows(record, now_ms):
                continue
            share = self._eligibility.estimate_share(record, now_ms)
            is_slow = share is None and record.warmup_ms > 0
            cost = estimate_cost_ms(
                record, health, typical_ms, now_ms, is_slow
            )
            if not self._has_connection(record.server_id):
                # Where there are more nodes than connections, this cost makes
                # each node use the servers that it is connected to.
                cost += self._connect_ms
            if share is not None and self._rng.random() >= share:
                cost += typical_ms + DIVERSION_REMOTE_FACTOR * remote_ms
            if record.data_centre != self._data_centre:
                cost += remote_ms
            # The random factor spreads requests over equal servers.
            cost *= 1.0 + 0.02 * self._rng.random()
            costs.append((cost, record))
        return costs

    def free_ms(self, candidates, now_ms):
        """Return when one of the candidates is expected to be allowed.

        Blocked candidates are left out: it is unknown when they recover.

        Returns
        -------
        float
            A time on the node's clock; infinity if it is unknown.
        """
        return min(
            (
                self._eligibility.free_ms(record, now_ms)
                for record in candidates
                if not self.health(record.server_id).is_blocked
            ),
            default=math.inf,
        )

    def rate_wait_ms(self, candidates, demand_class, now_ms):
        """Return how long it takes until a rate limit has room for a request.

        Parameters
        ----------
        candidates : iterable of ServerRecord
            Servers that may execute the request.
        demand_class : int
            Class of the request.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        float
            Milliseconds; 0 if a candidate without a limit is available,
            infinity if none is available for another reason.
        """
        limiter = self.rate_limiter
        return min(
            (
                0.0
                if limiter is None
                else limiter.estimate_wait_ms(record, demand_class, now_ms)
                for record in candidates
                if not self.health(record.server_id).is_blocked
                and self._eligibility.allows(record, now_ms)
            ),
            default=math.inf,
        )

    def may_other_nodes_use(self, candidates, now_ms):
        """Return whether another node may be allowed to use a candidate."""
        return any(
            self._eligibility.allows_other_nodes(record, now_ms)
            for record in candidates
        )

    def _is_rate_limited(self, record):
        limiter = self.rate_limiter
        return limiter is not None and limiter.is_limited(record.server_id)

    def _has_restricted_share(self, candidates, now_ms):
        for record in candidates:
            if self._is_rate_limited(record):
                return True
            share = self._eligibility.estimate_share(record, now_ms)
            if share is not None and share < 1.0:
                return True
        return False

    def record_connect(self, elapsed_ms):
        """Record the time that it took to open a connection."""
        self._connect_ms += _CONNECT_WEIGHT * (elapsed_ms - self._connect_ms)

    def record_start(self, server_id, attempt, decision, now_ms):
        """Record the start of an exchange."""
        typical_ms = self._latency_tracker.typical_ms(decision)
        self.health(server_id).record_start(
            attempt,
            compute_silence_limit_ms(typical_ms),
            now_ms,
            compute_suspicion_limit_ms(typical_ms),
        )

    def excuse_silence(self, duration_ms):
        """Record that the node itself received nothing for some time.

        A node that was suspended or had no processor time finds all running
        exchanges unanswered; that is not the servers' silence.
        """
        self._isolation.excuse_silence(duration_ms)
        for health in self._health.values():
            if health.in_flight:
                health.excuse_silence(duration_ms)

    def block_silent_servers(self, now_ms):
        """Block the servers that have been silent for too long.

        Returns
        -------
        list of str
            Ids of the servers that were not blocked before.
        """
        return block_silent_servers(self._health, now_ms)

    def record_cancelled(
        self, server_id, attempt, decision, elapsed_ms, now_ms
    ):
        """Record the elapsed time of an exchange that was cancelled."""
        ratio = elapsed_ms / self._latency_tracker.typical_ms(decision)
        self.health(server_id).record_cancelled(attempt, ratio, now_ms)

    def record_answer(
        self, server_id, attempt, decision, elapsed_ms, waiting, now_ms
    ):
        """Record the latency of an answered exchange."""
        typical_ms = self._latency_tracker.typical_ms(decision)
        self._latency_tracker.record_latency(decision, elapsed_ms)
        self.health(server_id).record_answer(
            attempt, elapsed_ms / typical_ms, waiting, now_ms
        )


def _get_cost(cost_and_record):
    return cost_and_record[0]


def create_placement(
    data_centre,
    latency_tracker,
    has_connection=lambda server_id: True,
    rng=None,
    eligibility=None,
):
    """Create the placement of a node.

    Parameters
    ----------
    data_centre : str
        Data centre in which the node runs.
    latency_tracker : LatencyTracker
        Typical latencies of exchanges.
    has_connection : callable
        Takes a server id and returns whether an idle connection to the
        server is open.
    rng : random.Random, optional
        Source of randomness for the choice among equal servers.
    eligibility : ServerEligibility, optional
        Decides which servers may receive a request now.
    """
    return Placement(
        data_centre,
        latency_tracker,
        has_connection,
        rng or random.Random(),
        eligibility or create_server_eligibility(),
    )
