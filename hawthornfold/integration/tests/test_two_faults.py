import unittest

from hawthornfold.integration import trials
from hawthornfold.integration import two_faults

# Between them: kill, pause and restart of a node, lost and slow servers,
# wrong snapshots, drains and both platform faults.
SEEDS = (2, 3, 7, 9, 13, 17, 19)


class TwoFaultsTest(unittest.TestCase):
    def test_recorded_seeds(self):
        # Guards against faults that a mechanism meets well alone and badly
        # together, such as a paused node while its servers drain.
        with trials.open_trial() as trial:
            for seed in SEEDS:
                report = two_faults.run_seed(trial, seed)
                with self.subTest(seed=seed, faults=report.faults):
                    self.assertEqual([], report.violations)
