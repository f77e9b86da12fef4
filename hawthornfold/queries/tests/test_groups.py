import unittest

from hawthornfold import audit
from hawthornfold import clock
from hawthornfold.nodes.measure import create_group_document
from hawthornfold.queries import groups
from hawthornfold.snapshots import parse_service_group


class GroupRegistryTest(unittest.TestCase):
    def setUp(self):
        self.trail = audit.create_audit_trail(clock.create_manual_clock())
        self.registry = groups.create_group_registry(self.trail)
        parsed = parse_service_group('portal', create_group_document(4))
        self.registry.update('services/portal', parsed.ok_value)

    def test_records_a_change_of_snapshot_once(self):
        # Guards against snapshot changes that operators cannot find in the
        # audit trail.
        state = self.registry.find_state('portal')
        self.registry.select_snapshot(state, 0.0)
        self.registry.select_snapshot(state, 1.0)
        recorded = [
            (entry.kind, entry.subject, entry.after)
            for entry in self.trail.entries()
        ]
        self.assertEqual([('snapshot', 'portal', 's1')], recorded)

    def test_removes_the_servers_of_a_deleted_group(self):
        # Guards against nodes that still own servers of a deleted group.
        centres = self.registry.servers_by_data_centre()
        self.assertEqual(4, len(centres['dc']))
        self.registry.update('services/portal', None)
        self.assertEqual({}, self.registry.servers_by_data_centre())
