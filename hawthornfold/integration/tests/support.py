import contextlib
import json
import unittest

from hawthornfold import integration
from hawthornfold.emulator import deployment_files
from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.integration.callers import TrialQuery

NODES = 3
SEARCH = TrialQuery('voter-portal', text='oakford')
# The text occurs in documents, so that answers have hits to compare.
PAYOUT = TrialQuery('payout-ledger', text='oakford')


@contextlib.contextmanager
def open_fleet_with_caller(node_count=NODES, **options):
    deployment = deployments.create_small()
    with fleets.open_fleet(deployment, node_count, **options) as fleet:
        caller = integration.create_trial_caller(fleet)
        try:
            yield fleet, caller
        finally:
            caller.close()


def create_reference(fleet):
    keys = deployment_files.build_keys(
        fleet.plan.deployment, fleet.plan.addresses()
    )
    documents = {
        key.removeprefix('services/'): json.loads(value)
        for key, value in keys.items()
        if key.startswith('services/')
    }
    return integration.create_reference_reader(fleet, documents)


class TrialCase(unittest.TestCase):
    def assert_no_violations(self, fleet, caller, reference=None):
        violations = integration.check_claims(
            caller.claims,
            fleet.collect_ledger(),
            reference,
            at_most_once=('payout-ledger',),
        )
        self.assertEqual([], violations)
