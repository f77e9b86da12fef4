"""Played loads: a data centre whose servers all return cold."""

import unittest

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.eligibility import FleetNodes
from hawthornfold.eligibility import create_warmup_limiter
from hawthornfold.eligibility.warmup import WINDOW_MS
from hawthornfold.gateway.tests import loads
from hawthornfold.gathering import Verdict
from hawthornfold.limits.ramp import RAMP_MS
from hawthornfold.metrics import create_metrics

SEEDS = (1, 2)
DATA_CENTRES = ('dc-0', 'dc-1')
NODE_NAMES = tuple(f'n{number}' for number in range(6))
WARMUP_MS = 3_000.0
WARMUP_PER_S = 10.0
# The limit with the overage and slack of the users.
LIMIT = WARMUP_PER_S * 1.5 + 5.0
# A quarter of what the slots of both data centres execute: 125 queries/s.
LOAD = 0.25


class ReturningLoad(loads.Load):
    """A load on two data centres, of which the first has no servers yet."""

    def __init__(self, seed):
        super().__init__(seed)
        for server_id, server in self.servers.items():
            server.data_centre = f'dc-{server_id[-1]}'
        self.limiters = []
        self.nodes = [self._create_node(name) for name in NODE_NAMES]
        for data_centre in DATA_CENTRES:
            self.write_entries(data_centre, None)
        self._refresh()

    def write_entries(self, data_centre, warmup_ms):
        """Write or remove the entries of all servers of a data centre."""
        now_ms = self.simulation.now_ms
        for server_id, server in self.servers.items():
            if server.data_centre != data_centre:
                continue
            record = None
            if warmup_ms is not None:
                shard = server_id.rpartition('/')[0]
                record = ServerRecord(
                    server_id,
                    shard,
                    '',
                    data_centre,
                    loads.SLOTS,
                    warmup_ms=warmup_ms,
                )
            for node in self.nodes:
                node.directory.apply([ServerChange(server_id, record)], now_ms)

    def find_worst_second(self, start_ms, end_ms):
        """Return the greatest number of arrivals at a server in a second."""
        worst = 0
        for server in self.servers.values():
            times = [t for t in server.arrived_ms if start_ms <= t < end_ms]
            for first in times:
                count = sum(first <= t <= first + 1_000.0 for t in times)
                worst = max(worst, count)
        return worst

    def count_arrivals(self, data_centre, since_ms):
        return sum(
            arrived_ms >= since_ms
            for server in self.servers.values()
            if server.data_centre == data_centre
            for arrived_ms in server.arrived_ms
        )

    def _create_node(self, name):
        limiter = create_warmup_limiter(name, 1.5, 5.0, create_metrics())
        limiter.set_services(
            {
                shard: ServiceRecord(shard, '/', 4, WARMUP_MS, WARMUP_PER_S)
                for shard in loads.SHARDS
            }
        )
        self.limiters.append(limiter)
        return loads.SimulatedNode(
            self.simulation,
            self.servers,
            DATA_CENTRES[int(name[1:]) % 2],
            (limiter,),
            on_record=limiter.record_entry,
        )

    def _refresh(self):
        now_ms = self.simulation.now_ms
        data_centres = {
            name: DATA_CENTRES[int(name[1:]) % 2] for name in NODE_NAMES
        }
        for limiter in self.limiters:
            limiter.set_nodes(FleetNodes(data_centres, True, now_ms))
            limiter.check(now_ms)
        self.simulation.schedule(1_000.0, self._refresh)


class ColdServersTest(unittest.TestCase):
    def test_others_serve_while_a_data_centre_returns_cold(self):
        # Guards against servers that crash because they get their share of
        # the load when they return, or as soon as they are warm.
        for seed in SEEDS:
            with self.subTest(seed):
                load = ReturningLoad(seed)
                load.write_entries('dc-1', 0.0)
                load.play(LOAD, 2_000.0)
                start_ms = load.simulation.now_ms
                load.write_entries('dc-0', WARMUP_MS)
                results = load.play(LOAD, WARMUP_MS)
                for server in load.servers.values():
                    if server.data_centre == 'dc-1':
                        server.arrived_ms.clear()
                worst = load.find_worst_second(start_ms, start_ms + WARMUP_MS)
                self.assertLessEqual(worst, LIMIT)
                self.assertGreater(worst, 0)
                served = sum(r.is_served for r in results)
                self.assertGreaterEqual(served, 0.99 * len(results))
                shares = []
                for duration_ms in (RAMP_MS / 4.0, RAMP_MS, 2_000.0):
                    start_ms = load.simulation.now_ms
                    load.play(LOAD, duration_ms)
                    counts = [
                        load.count_arrivals(x, start_ms) for x in DATA_CENTRES
                    ]
                    shares.append(counts[0] / sum(counts))
                self.assertLess(shares[0], 0.25)
                self.assertLess(shares[0], shares[1])
                self.assertGreater(shares[2], 0.4)

    def test_callers_are_refused_at_once_while_all_servers_are_cold(self):
        # Guards against cold servers that get more than the limit because
        # there are no others, and against callers that wait for nothing.
        for seed in SEEDS:
            with self.subTest(seed):
                load = ReturningLoad(seed)
                load.write_entries('dc-0', WARMUP_MS)
                results = load.play(LOAD, WARMUP_MS)
                self.assertLessEqual(
                    load.find_worst_second(0.0, WARMUP_MS), LIMIT
                )
                refused = [r for r in results if not r.is_served]
                self.assertGreater(len(refused), 0.5 * len(results))
                # Room for about 16 queries/s: the limit per window.
                self.assertGreater(len(results) - len(refused), 30)
                self.assertEqual(
                    {r.verdict for r in refused}, {Verdict.NOT_RUN}
                )
                for result in refused:
                    self.assertLessEqual(result.elapsed_ms, 10.0)
                    self.assertTrue(0.0 < result.retry_after_ms <= WINDOW_MS)
                load.play(LOAD, RAMP_MS)
                results = load.play(LOAD, 1_000.0)
                served = sum(r.is_served for r in results)
                self.assertGreaterEqual(served, 0.99 * len(results))
