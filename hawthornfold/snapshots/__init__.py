"""Service groups, snapshot layouts, coverage and the choice of snapshot."""

from hawthornfold.snapshots.coverage import Coverage
from hawthornfold.snapshots.coverage import compute_coverage
from hawthornfold.snapshots.layout import BackendServer
from hawthornfold.snapshots.layout import Layout
from hawthornfold.snapshots.layout import ServiceGroup
from hawthornfold.snapshots.layout import Shard
from hawthornfold.snapshots.layout import parse_service_group
from hawthornfold.snapshots.selector import SnapshotSelector
from hawthornfold.snapshots.selector import create_snapshot_selector

__all__ = [
    'BackendServer',
    'Coverage',
    'Layout',
    'ServiceGroup',
    'Shard',
    'SnapshotSelector',
    'compute_coverage',
    'create_snapshot_selector',
    'parse_service_group',
]
