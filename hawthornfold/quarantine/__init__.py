"""Keeps requests that end the servers that run them away from servers."""

from hawthornfold.quarantine.fingerprints import RequestFingerprints
from hawthornfold.quarantine.fingerprints import create_request_fingerprints
from hawthornfold.quarantine.messages import SuspectNews
from hawthornfold.quarantine.messages import SuspectReport
from hawthornfold.quarantine.suspects import EndedServer
from hawthornfold.quarantine.suspects import SuspectState
from hawthornfold.quarantine.table import SuspectChange
from hawthornfold.quarantine.table import SuspectTable
from hawthornfold.quarantine.table import create_suspect_table

__all__ = [
    'EndedServer',
    'RequestFingerprints',
    'SuspectChange',
    'SuspectNews',
    'SuspectReport',
    'SuspectState',
    'SuspectTable',
    'create_request_fingerprints',
    'create_suspect_table',
]
