"""Played loads: servers that name how many requests a second they take."""

import bisect
import unittest

from hawthornfold.gateway.tests import loads
from hawthornfold.gathering import Verdict

# The bound of the users: in any window of 4 s, one and a half times what the
# limit allows, and five more.
WINDOW_MS = 4_000.0
OVERAGE = 1.5
SLACK = 5.0
# Time after which the bound holds once a server has named its limit.
SETTLE_MS = 4_000.0
# Queries a second of a fleet. Each of a shard's two servers gets half of them.
QUERIES_PER_S = 45.0
LIMIT_PER_S = 11.0
PLAY_MS = 12_000.0
# Least share of the limit that is used while there is more demand.
MIN_USE = 0.8


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
        self.fleet = [self._create_node(f'n{x}') for x in range(node_count)]
        self.nodes = self.fleet[:busy_count]

    def limit(self, shards, rate_limit, servers_per_shard=1):
        """Have servers of some shards name a limit; return these servers."""
        limited = [
            self.servers[f'{shard}/{number}']
            for shard in shards
            for number in range(servers_per_shard)
        ]
        for server in limited:
            server.rate_limit = rate_limit
        return limited

    def play_rate(self, per_s, duration_ms):
        """Play a number of queries a second."""
        capacity_per_s = (
            loads.SERVERS_PER_SHARD * loads.SLOTS * 1_000.0 / loads.SERVICE_MS
        )
        return self.play(per_s / capacity_per_s, duration_ms)

    def _create_node(self, name):
        return loads.SimulatedNode(self.simulation, self.servers)


def find_worst_window(arrived_ms, since_ms):
    """Return the most arrivals in any window from a time on."""
    times = [t for t in arrived_ms if t >= since_ms]
    return max(
        (
            bisect.bisect_right(times, t + WINDOW_MS) - index
            for index, t in enumerate(times)
        ),
        default=0,
    )


class RateLimitTest(unittest.TestCase):
    def check_bound(self, servers, since_ms, rate_limit=LIMIT_PER_S):
        bound = OVERAGE * rate_limit * WINDOW_MS / 1_000.0 + SLACK
        for server in servers:
            self.assertLessEqual(
                find_worst_window(server.arrived_ms, since_ms), bound
            )

    def check_use(self, servers, since_ms, until_ms, rate_limit=LIMIT_PER_S):
        taken = rate_limit * (until_ms - since_ms) / 1_000.0
        for server in servers:
            used = sum(since_ms <= t < until_ms for t in server.arrived_ms)
            self.assertGreaterEqual(used, MIN_USE * taken)

    def check_one_limited_server_a_shard(self, node_count, busy_count=None):
        load = LimitedLoad(1, node_count, busy_count)
        load.play_rate(QUERIES_PER_S, 2_000.0)
        limited = load.limit(loads.SHARDS[:4], LIMIT_PER_S)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        results = load.play_rate(QUERIES_PER_S, PLAY_MS)
        self.check_bound(limited, since_ms)
        self.check_use(limited, since_ms, load.simulation.now_ms)
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
        limited = load.limit(loads.SHARDS[:6], LIMIT_PER_S, 2)
        load.play_rate(QUERIES_PER_S, SETTLE_MS)
        since_ms = load.simulation.now_ms
        results = load.play_rate(QUERIES_PER_S, PLAY_MS)
        until_ms = load.simulation.now_ms
        load.finish()
        self.check_bound(limited, since_ms)
        self.check_use(limited, since_ms, until_ms)
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
        for server in limited:
            used = sum(t >= since_ms for t in server.arrived_ms)
            self.assertGreater(used, 1.4 * LIMIT_PER_S * PLAY_MS / 1_000.0)


if __name__ == '__main__':
    unittest.main()
