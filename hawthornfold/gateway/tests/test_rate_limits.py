"""Played loads: servers that name how many requests a second they take."""

import bisect
import math
import types
import unittest

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.eligibility import create_rate_limit_register
from hawthornfold.eligibility import create_rate_limiter
from hawthornfold.gateway.rate_exchange import RateExchange
from hawthornfold.gateway.tests import loads
from hawthornfold.gateway.tests.fleets import SimulatedFleet
from hawthornfold.gathering import Verdict
from hawthornfold.metrics import create_metrics
from hawthornfold.rendezvous import choose_names

# The bound of the users: in any window of 4 s, one and a half times what the
# limit allows, and five more.
WINDOW_MS = 4_000.0
OVERAGE = 1.5
SLACK = 5.0
# The bound counts the requests of nodes that have known the limit for so long.
TOLD_MS = 500.0
# Time for which a limit is in force before its use is counted.
SETTLE_MS = 4_000.0
# Queries a second of a fleet. Each of a shard's two servers gets half of them.
QUERIES_PER_S = 45.0
LIMIT_PER_S = 11.0
PLAY_MS = 12_000.0
# Each has one server of each shard, and half of the nodes.
DATA_CENTRES = ('dc-0', 'dc-1')
# Least share of the limit that is used while there is more demand.
MIN_USE = 0.8


class LimitedNode(loads.SimulatedNode):
    """A node that keeps the limits that servers name."""

    def __init__(self, load, name, data_centre):
        simulation = load.simulation
        self._register = create_rate_limit_register()
        self.limiter = create_rate_limiter(
            self._register, create_metrics(), simulation.rng
        )
        super().__init__(
            simulation, load.servers, data_centre, rate_limiter=self.limiter
        )
        for server_id in load.servers:
            shard, _, number = server_id.rpartition('/')
            record = ServerRecord(
                server_id, shard, '', DATA_CENTRES[int(number)], loads.SLOTS
            )
            self.directory.apply([ServerChange(server_id, record)], 0.0)
        clock = types.SimpleNamespace(now_ms=lambda: simulation.now_ms)
        load.fleets[name] = SimulatedFleet(load.fleets, simulation, name)
        self._exchange = RateExchange(self.limiter, load.fleets[name], clock)
        # When the node was first told of the limit of a server, by its id.
        self.told_ms = {}
        simulation.schedule(
            simulation.rng.uniform(0.0, 500.0), self._run_exchange
        )

    def handle_response(self, record, signals, sent_ms):
        if signals.rate_limit is None:
            self._register.record_absence(record, sent_ms)
        else:
            now_ms = self.simulation.now_ms
            self.told_ms.setdefault(record.server_id, now_ms)
            self._register.record_limit(
                record, float(signals.rate_limit), now_ms
            )

    def _run_exchange(self):
        self._exchange.report()
        self.simulation.schedule(
            self._exchange.interval_ms, self._run_exchange
        )


class LimitedLoad(loads.Load):
    """A load on a number of nodes, of which some may get no callers.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    node_count, busy_count : int
        Number of nodes, and of those among them that get callers.
    """

    def __init__(self, seed, node_count, busy_count=None):
        super().__init__(seed)
        self.fleets = {}
        self.fleet = {
            f'n{x}': LimitedNode(self, f'n{x}', DATA_CENTRES[x % 2])
            for x in range(node_count)
        }
        for node in self.fleet.values():
            node.limiter.set_nodes(node_count, node_count)
        self.nodes = list(self.fleet.values())[:busy_count]

    def limit(self, shards, rate_limit, servers_per_shard=1):
        """Have servers of some shards name a limit; return their ids."""
        limited = [
            f'{shard}/{number}'
            for shard in shards
            for number in range(servers_per_shard)
        ]
        for server_id in limited:
            self.servers[server_id].rate_limit = rate_limit
        return limited

    def list_arrivals(self, server_id, since_ms):
        """Return the times of arrivals from nodes that know the limit."""
        server = self.servers[server_id]
        return [
            arrived_ms
            for arrived_ms, node in zip(
                server.arrived_ms, server.origins, strict=True
            )
            if arrived_ms >= since_ms
            and node.told_ms.get(server_id, math.inf) <= arrived_ms - TOLD_MS
        ]

    def cut(self, names):
        """Cut some nodes off from the others; nobody knows it yet."""
        for name in names:
            self.fleets[name].is_cut = True

    def detect_cut(self):
        """Have all nodes know which nodes they can reach."""
        for name, fleet in self.fleets.items():
            live = [
                x for x, y in self.fleets.items() if y.is_cut == fleet.is_cut
            ]
            fleet.set_live(live)
            self.fleet[name].limiter.set_nodes(len(live), len(self.fleets))

    def find_collecting(self, shard):
        """Return the name of the node that adds up a shard's demand."""
        return choose_names(self.fleets, shard, 1)[0]

    def play_rate(self, per_s, duration_ms):
        """Play a number of queries a second."""
        capacity_per_s = (
            loads.SERVERS_PER_SHARD * loads.SLOTS * 1_000.0 / loads.SERVICE_MS
        )
        return self.play(per_s / capacity_per_s, duration_ms)


def find_worst_window(times):
    """Return the most arrivals in any window."""
    return max(
        (
            bisect.bisect_right(times, t + WINDOW_MS) - index
            for index, t in enumerate(times)
        ),
        default=0,
    )


class RateLimitTest(unittest.TestCase):
    def check_bound(self, load, server_ids, since_ms):
        bound = OVERAGE * LIMIT_PER_S * WINDOW_MS / 1_000.0 + SLACK
        for server_id in server_ids:
            arrivals = load.list_arrivals(server_id, since_ms)
            self.assertLessEqual(find_worst_window(arrivals), bound)

    def check_use(self, load, server_ids, since_ms):
        taken = LIMIT_PER_S * (load.simulation.now_ms - since_ms) / 1_000.0
        for server_id in server_ids:
            arrived_ms = load.servers[server_id].arrived_ms
            used = sum(t >= since_ms for t in arrived_ms)
            self.assertGreaterEqual(used, MIN_USE * taken)

    def check_one_limited_server_a_shard(self, node_count, busy_count=None):
        load = LimitedLoad(1, node_count, busy_count)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        named_ms = load.simulation.now_ms
        limited = load.limit(loads.SHARDS[:4], LIMIT_PER_S)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        results = load.play_rate(QUERIES_PER_S, PLAY_MS)
        self.check_bound(load, limited, named_ms)
        self.check_use(load, limited, since_ms)
        served = sum(result.is_served for result in results)
        self.assertGreaterEqual(served, 0.99 * len(results))

    def test_limit_holds_over_9_nodes_while_other_servers_are_free(self):
        # Guards against nodes that ignore a limit, or keep it each by itself,
        # and against callers that are refused although a server is free.
        self.check_one_limited_server_a_shard(9)

    def test_limit_holds_over_80_nodes_while_other_servers_are_free(self):
        self.check_one_limited_server_a_shard(80)

    def test_limit_holds_over_200_nodes_while_other_servers_are_free(self):
        self.check_one_limited_server_a_shard(200)

    def test_limit_is_used_where_2_of_9_nodes_have_all_callers(self):
        # Guards against equal parts of a limit, of which most are not used.
        self.check_one_limited_server_a_shard(9, 2)

    def test_queries_without_room_are_refused_whole_and_at_once(self):
        # Guards against parts that are sent to some shards while another has
        # no room, and against callers that wait, or return at no known time.
        load = LimitedLoad(1, 9)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        # With three of twelve shards left out an answer is still sufficient.
        named_ms = load.simulation.now_ms
        limited = load.limit(loads.SHARDS[:6], LIMIT_PER_S, 2)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        results = load.play_rate(QUERIES_PER_S, PLAY_MS)
        self.check_bound(load, limited, named_ms)
        self.check_use(load, limited, since_ms)
        load.finish()
        refused = [r for r in results if not r.is_served]
        self.assertGreater(len(refused), 0)
        executed_ids = load.executed_ids()
        for result in refused:
            self.assertIs(result.verdict, Verdict.NOT_RUN)
            self.assertNotIn(result.request_id, executed_ids)
            self.assertLess(result.elapsed_ms, 5.0)
            self.assertIsNotNone(result.retry_after_ms)
            self.assertGreater(result.retry_after_ms, 0.0)

    def test_urgent_queries_get_the_room_first(self):
        # Guards against background queries that use up a limit.
        load = LimitedLoad(1, 9)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        load.limit(loads.SHARDS[:6], LIMIT_PER_S, 2)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        results = load.play_rate(QUERIES_PER_S, PLAY_MS)
        shares = {
            urgency: sum(r.is_served for r in results if r.urgency == urgency)
            / sum(r.urgency == urgency for r in results)
            for urgency in (0, 2)
        }
        self.assertGreater(shares[0], 0.8)
        self.assertLess(shares[2], 0.5 * shares[0])

    def check_burst(self, node_count, factor):
        load = LimitedLoad(1, node_count)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        limited = load.limit(loads.SHARDS[:4], LIMIT_PER_S)
        load.play_rate(QUERIES_PER_S, 2.0 * SETTLE_MS)
        since_ms = load.simulation.now_ms
        load.play_rate(factor * QUERIES_PER_S, 6_000.0)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        self.check_bound(load, limited, since_ms)

    def test_limit_holds_over_9_nodes_when_5_times_the_callers_come(self):
        # Guards against shares that follow the demand too late.
        self.check_burst(9, 5.0)

    def test_limit_holds_over_80_nodes_when_3_times_the_callers_come(self):
        self.check_burst(80, 3.0)

    def test_limit_holds_when_the_collecting_node_ends(self):
        # Guards against sums of some reports only, and against old sums.
        load = LimitedLoad(1, 9)
        shard = loads.SHARDS[0]
        load.play_rate(QUERIES_PER_S, 2_000.0)
        limited = load.limit([shard], LIMIT_PER_S, 2)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        name = load.find_collecting(shard)
        load.cut([name])
        load.nodes.remove(load.fleet[name])
        load.play_rate(QUERIES_PER_S, 3_000.0)
        load.detect_cut()
        load.play_rate(QUERIES_PER_S, 2.0 * SETTLE_MS)
        self.check_bound(load, limited, since_ms)

    def test_limit_holds_while_nodes_disagree_on_the_collecting_node(self):
        # Guards against sums of a part of the fleet after a node's restart,
        # which some nodes know earlier than others.
        load = LimitedLoad(1, 9)
        shard = loads.SHARDS[0]
        load.play_rate(QUERIES_PER_S, 2_000.0)
        limited = load.limit([shard], LIMIT_PER_S, 2)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        restarted = load.find_collecting(shard)
        names = list(load.fleets)
        for fleet in load.fleets.values():
            fleet.set_live([x for x in names if x != restarted])
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        for name in names[::2]:
            load.fleets[name].set_live(names)
        load.play_rate(QUERIES_PER_S, 2.0 * SETTLE_MS)
        self.check_bound(load, limited, since_ms)

    def test_limit_holds_in_sum_over_both_sides_of_a_partition(self):
        # Guards against sides that each use the whole limit.
        load = LimitedLoad(1, 9)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        limited = load.limit(loads.SHARDS[:4], LIMIT_PER_S, 2)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        load.cut(['n0', 'n1', 'n2', 'n3'])
        load.play_rate(QUERIES_PER_S, 2_000.0)
        load.detect_cut()
        load.play_rate(QUERIES_PER_S, 2.0 * SETTLE_MS)
        self.check_bound(load, limited, since_ms)
        self.check_use(load, limited, since_ms)

    def test_limit_ends_with_the_first_response_that_names_none(self):
        # Guards against a server that stays without its share of the load.
        load = LimitedLoad(1, 9)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        limited = load.limit(loads.SHARDS[:4], LIMIT_PER_S)
        load.play_rate(QUERIES_PER_S, PLAY_MS)
        load.limit(loads.SHARDS[:4], None)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        load.play_rate(QUERIES_PER_S, PLAY_MS)
        for server_id in limited:
            arrived_ms = load.servers[server_id].arrived_ms
            used = sum(t >= since_ms for t in arrived_ms)
            self.assertGreater(used, 1.4 * LIMIT_PER_S * PLAY_MS / 1_000.0)
