import types
import unittest

from hawthornfold.eligibility.node_roster import JOIN_MS
from hawthornfold.eligibility.node_roster import LEFT_RETENTION_MS
from hawthornfold.eligibility.node_roster import LOST_RETENTION_MS
from hawthornfold.eligibility.node_roster import create_node_roster


class NodeRosterTest(unittest.TestCase):
    def setUp(self):
        self.roster = create_node_roster('bcxy', 0.0)
        self.left = set()
        self.now_ms = 0.0

    def play(self, names, duration_ms):
        """Update each second; return whether the fleet was ever known."""
        live = [
            types.SimpleNamespace(name=x, address=x, data_centre='dc')
            for x in names
        ]
        end_ms = self.now_ms + duration_ms
        was_complete = False
        while self.now_ms < end_ms:
            self.now_ms += 1_000.0
            self.roster.update(live, self.left.__contains__, self.now_ms)
            was_complete |= self.roster.nodes.is_complete
        return was_complete

    def test_node_waits_for_others_until_it_sends(self):
        # Guards against a node that has found only a part of its fleet, as one
        # that starts in the smaller part of a partition.
        self.assertFalse(self.play('a', 60_000.0))
        self.assertFalse(self.play('abdef', 60_000.0))
        self.assertFalse(self.play('abc', 3_000.0))
        self.assertTrue(self.play('abc', 1_000.0))
        # Later ones don't make it silent, nor does a fleet that shrinks.
        self.assertTrue(self.play('abcd', 1_000.0))
        self.left.update('bcdef')
        self.play('a', LOST_RETENTION_MS + LEFT_RETENTION_MS)
        self.assertTrue(self.roster.nodes.is_complete)
        self.assertEqual(set(self.roster.nodes.data_centres), {'a'})

    def test_lost_and_left_nodes_are_counted_for_a_while(self):
        # Guards against an allotment that two nodes use within one second.
        self.play('abcd', 20_000.0)
        self.left.add('d')
        self.play('ab', LEFT_RETENTION_MS)
        self.assertEqual(set(self.roster.nodes.data_centres), set('abcd'))
        self.play('ab', 1_000.0)
        self.assertEqual(set(self.roster.nodes.data_centres), set('abc'))
        self.play('ab', LOST_RETENTION_MS)
        self.assertEqual(set(self.roster.nodes.data_centres), set('ab'))

    def test_suspended_node_is_silent_until_it_has_learnt_of_changes(self):
        # Guards against a node that uses the allotment of one that joined
        # while it was suspended.
        self.play('abcd', 20_000.0)
        self.now_ms += 6_000.0
        self.assertFalse(self.play('abcd', JOIN_MS))
        self.assertTrue(self.play('abcd', 1_000.0))
