"""Played loads: what callers get while servers or nodes are overloaded."""

import unittest

from hawthornfold.gateway.tests import loads
from hawthornfold.gathering import Verdict

SEEDS = (1, 2)
# The objective of the product: 99 in 100 answers in time.
TARGET_SHARE = 0.99


def compute_share(results, urgency=None):
    """Return the share of the callers that were served in time."""
    in_time = [
        r.is_served and r.elapsed_ms <= loads.OBJECTIVE_MS
        for r in results
        if urgency in (None, r.urgency)
    ]
    return sum(in_time) / len(in_time)


class LoadTest(unittest.TestCase):
    def play_each_seed(self):
        """Yield a warmed-up load for each seed, and check it at its end."""
        for seed in SEEDS:
            with self.subTest(seed):
                load = loads.Load(seed)
                load.play(0.3, 2_000.0)
                yield load
                load.finish()
                self.check_truth(load)
                self.check_budget(load)

    def check_truth(self, load):
        # Guards against a caller that is told "not run" about a request that
        # a server has executed or still executes.
        refused = {
            r.request_id for r in load.results if r.verdict is Verdict.NOT_RUN
        }
        self.assertFalse(refused & load.executed_ids())

    def check_budget(self, load):
        # Guards against repeats that add to the overload that caused them.
        allowed = loads.BUDGET_RATIO * len(load.results) + loads.BUDGET_SLACK
        for shard in loads.SHARDS:
            self.assertLessEqual(load.count_repeats(shard), allowed)

    def test_slow_servers_do_not_make_callers_late(self):
        # A sixth of all servers takes ten times as long.
        for load in self.play_each_seed():
            for server in list(load.servers.values())[::6]:
                server.factor = 10.0
            results = load.play(0.4, 3_000.0)
            self.assertGreaterEqual(compute_share(results), TARGET_SHARE)

    def test_burst_serves_urgent_callers_first_and_then_all(self):
        # 1.8 times what the slots execute, half of it urgent; then clients
        # repeat at once. The slots suffice for all urgent callers and for a
        # ninth of the others.
        for load in self.play_each_seed():
            burst = load.play(1.8, 1_500.0)
            burst += load.play(1.8, 500.0, repeats=1)
            self.assertGreater(
                compute_share(burst, 0),
                3.0 * compute_share(burst, 2),
            )
            # The backlog of requests that are late does not delay later ones
            # for longer than their own deadline.
            load.play(0.3, loads.DEADLINE_MS)
            after = load.play(0.3, 1_000.0)
            self.assertGreaterEqual(compute_share(after), TARGET_SHARE)

    def test_shedding_servers_get_no_more_repeats_than_allowed(self):
        # 0.8 of the servers refuse 0.6 of their requests. The checks are those
        # of every load; callers get an answer or a failure well in time.
        for load in self.play_each_seed():
            for index, server in enumerate(load.servers.values()):
                server.shed_share = 0.6 if index % 5 else 0.0
            results = load.play(0.3, 2_000.0)
            failed_ms = [r.elapsed_ms for r in results if not r.is_served]
            self.assertLess(max(failed_ms), loads.OBJECTIVE_MS)

    def test_query_without_enough_servers_is_refused_at_once(self):
        # All servers of a third of the shards are gone, more than the rule
        # allows to be missing.
        for load in self.play_each_seed():
            for server_id, server in load.servers.items():
                shard = server_id.rpartition('/')[0]
                server.is_gone = shard in loads.SHARDS[::3]
            load.play(0.3, 1_000.0)
            results = load.play(0.3, 1_000.0)
            self.assertEqual({r.verdict for r in results}, {Verdict.NOT_RUN})
            self.assertEqual({r.elapsed_ms for r in results}, {0.0})
