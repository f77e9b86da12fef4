"""Reads the platform's configuration service and VM list."""

from hawthornfold.platforms.reader import PlatformReader
from hawthornfold.platforms.reader import create_platform_reader
from hawthornfold.platforms.replies import MAX_VALUE_BYTES
from hawthornfold.platforms.replies import VM
from hawthornfold.platforms.replies import KeysReply
from hawthornfold.platforms.replies import KeyValue
from hawthornfold.platforms.replies import VMsReply
from hawthornfold.platforms.replies import encode_vms
from hawthornfold.platforms.replies import parse_vms

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
