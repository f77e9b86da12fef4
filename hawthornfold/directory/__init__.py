"""Backend servers and configuration, read from a published store."""

from hawthornfold.directory.directory import ServerDirectory
from hawthornfold.directory.directory import create_server_directory
from hawthornfold.directory.evacuations import EvacuationChange
from hawthornfold.directory.evacuations import EvacuationEvent
from hawthornfold.directory.evacuations import EvacuationList
from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.positions import StorePosition
from hawthornfold.directory.readers import ReaderRoles
from hawthornfold.directory.readers import assign_roles
from hawthornfold.directory.records import CallerLimits
from hawthornfold.directory.records import ItemFailure
from hawthornfold.directory.records import ReadFailure
from hawthornfold.directory.records import RoutingConfiguration
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import ServerRecord
from hawthornfold.directory.records import ServiceRecord
from hawthornfold.directory.records import StoreChanges
from hawthornfold.directory.store import PublishedStore
from hawthornfold.directory.updates import SnapshotQuery
from hawthornfold.directory.updates import StoreNews
from hawthornfold.directory.updates import StoreSnapshot
from hawthornfold.directory.watcher import StoreWatcher
from hawthornfold.directory.watcher import create_store_watcher

__all__ = [
    'UNKNOWN_ERA',
    'CallerLimits',
    'EvacuationChange',
    'EvacuationEvent',
    'EvacuationList',
    'ItemFailure',
    'PublishedStore',
    'ReadFailure',
    'ReaderRoles',
    'RoutingConfiguration',
    'ServerChange',
    'ServerDirectory',
    'ServerRecord',
    'ServiceRecord',
    'SnapshotQuery',
    'StoreChanges',
    'StoreNews',
    'StorePosition',
    'StoreSnapshot',
    'StoreWatcher',
    'assign_roles',
    'create_server_directory',
    'create_store_watcher',
]
