"""Reads and checks a node's settings file."""

from hawthornfold.settings.loading import load_settings
from hawthornfold.settings.loading import parse_settings
from hawthornfold.settings.schema import CallerSettings
from hawthornfold.settings.schema import KeyPair
from hawthornfold.settings.schema import LogSettings
from hawthornfold.settings.schema import MembershipSettings
from hawthornfold.settings.schema import NodeSettings
from hawthornfold.settings.schema import OperatorSettings
from hawthornfold.settings.schema import PeerSettings
from hawthornfold.settings.schema import PlatformSettings
from hawthornfold.settings.schema import RoutingSettings
from hawthornfold.settings.schema import Settings
from hawthornfold.settings.schema import ShutdownSettings

__all__ = [
    'CallerSettings',
    'KeyPair',
    'LogSettings',
    'MembershipSettings',
    'NodeSettings',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'RoutingSettings',
    'Settings',
    'ShutdownSettings',
    'load_settings',
    'parse_settings',
]
