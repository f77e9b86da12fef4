import unittest

from hawthornfold.integration import trials
from hawthornfold.integration import two_faults

# Together they have slow, silent, stalled, stopped and draining servers, a
# killed backends process, wrong snapshots and a stale platform.
SEEDS = (3, 9, 13, 17)
# Killed, paused and restarted nodes, with a slow server or no platform.
NODE_SEEDS = (2, 7, 19)


class TwoFaultsTest(unittest.TestCase):
    def test_two_server_faults_violate_nothing(self):
        # Guards against faults that are handled correctly alone but not
        # together, such as a silent server and a wrong snapshot.
        self.run_seeds(SEEDS)

    def test_two_faults_with_a_node_violate_nothing(self):
        # Guards against the same when an entry node or owner is killed,
        # paused or restarted, such as a paused node while another is down.
        self.run_seeds(NODE_SEEDS)

    def run_seeds(self, seeds):
        with trials.open_trial() as trial:
            for seed in seeds:
                report = two_faults.run_seed(trial, seed)
                with self.subTest(seed=seed, faults=report.faults):
                    self.assertEqual([], report.violations)
