"""Reads the platform's configuration service and VM list."""

from hawthornfold.sources.reader import PlatformReader
from hawthornfold.sources.reader import create_platform_reader
from hawthornfold.sources.replies import MAX_VALUE_BYTES
from hawthornfold.sources.replies import VM
from hawthornfold.sources.replies import KeysReply
from hawthornfold.sources.replies import KeyValue
from hawthornfold.sources.replies import VMsReply
from hawthornfold.sources.replies import encode_vms
from hawthornfold.sources.replies import parse_vms

__all__ = [
    'MAX_VALUE_BYTES',
    'VM',
    'KeyValue',
    'KeysReply',
    'PlatformReader',
    'VMsReply',
    'create_platform_reader',
    'encode_vms',
    'parse_vms',
]
