"""Configuration revisions and their spread over nodes."""

from hawthornfold.configuration.messages import Announce
from hawthornfold.configuration.messages import Delta
from hawthornfold.configuration.messages import Pull
from hawthornfold.configuration.service import VMS_KEY
from hawthornfold.configuration.service import ConfigurationService
from hawthornfold.configuration.service import create_configuration_service
from hawthornfold.configuration.spread import SpreadState
from hawthornfold.configuration.store import ConfigurationStore
from hawthornfold.configuration.store import create_configuration_store
from hawthornfold.configuration.watchers import choose_watchers

__all__ = [
    'VMS_KEY',
    'Announce',
    'ConfigurationService',
    'ConfigurationStore',
    'Delta',
    'Pull',
    'SpreadState',
    'choose_watchers',
    'create_configuration_service',
    'create_configuration_store',
]
