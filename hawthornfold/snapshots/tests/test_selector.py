import unittest

from hawthornfold import snapshots
from hawthornfold.snapshots import selector as selectors


def create_group():
    servers = {
        name: snapshots.BackendServer(name, '127.0.0.1:1', 'dc', 2, 25)
        for name in ('a', 'b', 'c', 'd')
    }
    shards = (
        snapshots.Shard('x', 5, ('a', 'b')),
        snapshots.Shard('y', 5, ('c', 'd')),
    )
    return snapshots.ServiceGroup(
        'g',
        servers,
        (snapshots.Layout('old', shards), snapshots.Layout('new', shards)),
    )


class SnapshotSelectorTest(unittest.TestCase):
    def setUp(self):
        self.selector = snapshots.create_snapshot_selector(create_group())
        for name in 'abcd':
            self.selector.record_held_snapshots(name, ('old',), 0.0)
        self.selector.update_choice(0.0)

    def test_cuts_over_when_the_new_snapshot_is_as_reachable(self):
        # Guards against queries that lose coverage in a rolling upgrade.
        self.assertEqual('old', self.selector.current_snapshot)
        self.selector.record_held_snapshots('a', ('new',), 100.0)
        self.selector.update_choice(5000.0)
        self.assertEqual('old', self.selector.current_snapshot)
        self.selector.record_held_snapshots('c', ('new',), 5000.0)
        self.selector.update_choice(5000.0)
        self.assertEqual('old', self.selector.current_snapshot)
        self.selector.update_choice(5000.0 + selectors.CUTOVER_DELAY_MS)
        self.assertEqual('new', self.selector.current_snapshot)

    def test_a_brief_report_does_not_cut_over(self):
        # Guards against switching back and forth at each server that
        # restarts.
        self.selector.record_held_snapshots('a', ('new',), 100.0)
        self.selector.record_held_snapshots('c', ('new',), 100.0)
        self.selector.update_choice(100.0)
        self.selector.record_held_snapshots('c', ('old',), 200.0)
        self.selector.update_choice(5000.0)
        self.assertEqual('old', self.selector.current_snapshot)

    def test_report_of_a_missing_snapshot_expires(self):
        # Guards against coverage that stays at 57% after an upgrade is
        # reverted, because no node asks the server again.
        self.assertIs(False, self.selector.holds('a', 'new', 1000.0))
        later_ms = selectors.NEGATIVE_REPORT_LIFETIME_MS + 1.0
        self.assertIsNone(self.selector.holds('a', 'new', later_ms))

    def test_an_unusable_server_does_not_count_for_a_while(self):
        # Guards against a cutover to a snapshot whose servers are draining.
        layout = create_group().layouts[0]
        self.selector.mark_unusable('a', 0.0)
        self.selector.mark_unusable('b', 0.0)
        self.assertEqual(
            5, self.selector.compute_reachable_weight(layout, 10.0)
        )
        later_ms = selectors.NEGATIVE_REPORT_LIFETIME_MS
        self.assertEqual(
            10, self.selector.compute_reachable_weight(layout, later_ms)
        )
