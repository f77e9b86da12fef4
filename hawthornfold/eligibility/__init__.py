"""Decides which available backend servers may receive a request now."""

from hawthornfold.eligibility.eligibility import ServerEligibility
from hawthornfold.eligibility.eligibility import create_server_eligibility
from hawthornfold.eligibility.pauses import ServerPauses
from hawthornfold.eligibility.pauses import create_server_pauses
from hawthornfold.eligibility.restrictions import SendRestriction
from hawthornfold.eligibility.retry_after import MAX_PAUSE_MS
from hawthornfold.eligibility.retry_after import PauseFault
from hawthornfold.eligibility.retry_after import parse_retry_after_ms

__all__ = [
    'MAX_PAUSE_MS',
    'PauseFault',
    'SendRestriction',
    'ServerEligibility',
    'ServerPauses',
    'create_server_eligibility',
    'create_server_pauses',
    'parse_retry_after_ms',
]
