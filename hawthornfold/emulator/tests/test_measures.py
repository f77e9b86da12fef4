import unittest

from hawthornfold.emulator import deployments
from hawthornfold.emulator import measures
from hawthornfold.emulator import scenarios


def build_record(request_id, server, shards, started_ms=1.0):
    return {
        'request_id': request_id,
        'server': server,
        'shards': shards,
        'started_ms': started_ms,
        'outcome': 'ran',
        'received_ms': 0.0,
        'finished_ms': 20.0,
    }


class ViolationTest(unittest.TestCase):
    """Guards against violations that the experiments do not detect."""

    def test_refused_work_counts_as_sent_only(self):
        records = [
            build_record('q', 'a', ['x']),
            build_record('q', 'b', ['x'], started_ms=None),
        ]
        extra = measures.count_extra_load(records)
        self.assertEqual(extra['extra_sent_percent'], 100.0)
        self.assertEqual(extra['extra_ran_percent'], 0.0)

    def test_hedged_idempotent_work_is_no_violation(self):
        records = [build_record('q', 'a', ['x'])] * 2
        found = measures.count_violations([('q', 'yes')], records, {'b'})
        self.assertEqual(set(found.values()), {0})

    def test_false_claims_are_counted(self):
        records = [build_record('ran', 'a', ['x'])]
        claims = [('ran', 'no'), ('never', 'yes'), ('never', 'no')]
        found = measures.count_violations(claims, records, set())
        self.assertEqual(found['falsely_refused'], 1)
        self.assertEqual(found['falsely_run'], 1)

    def test_added_latency_counts_the_slowest_shard(self):
        slow = build_record('q', 'b', ['y']) | {'finished_ms': 50.0}
        records = [build_record('q', 'a', ['x']), slow]
        added = measures.measure_added_ms(
            [('q', 'yes', 'complete', 51.5, 51.0)], records
        )
        self.assertEqual(added, {'caller': 1.5, 'node': 1.0})


class UpgradeOrderTest(unittest.TestCase):
    """Guards against an upgrade that leaves no snapshot complete.

    The scenario would then measure missing data instead of the tier's
    behaviour.
    """

    def test_one_snapshot_is_complete_after_each_step(self):
        for create in deployments.DEPLOYMENTS.values():
            for group in create().groups:
                self.check_group(group)

    def check_group(self, group):
        shards = deployments.build_layout(group)['shards']
        old = set(deployments.server_names(group))
        new = set()
        for name in scenarios.upgrade_order(group):
            old.remove(name)
            new.add(name)
            self.assertTrue(
                any(
                    all(held & set(shard['replicas']) for shard in shards)
                    for held in (old, new)
                ),
                (group.name, name),
            )
