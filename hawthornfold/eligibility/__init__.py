"""Decides which available backend servers may receive a request now."""

from hawthornfold.eligibility.eligibility import ServerEligibility
from hawthornfold.eligibility.eligibility import create_server_eligibility
from hawthornfold.eligibility.node_roster import FleetNodes
from hawthornfold.eligibility.node_roster import create_node_roster
from hawthornfold.eligibility.pauses import ServerPauses
from hawthornfold.eligibility.pauses import create_server_pauses
from hawthornfold.eligibility.rate_limit_values import RateLimitFault
from hawthornfold.eligibility.rate_limit_values import parse_rate_limit
from hawthornfold.eligibility.rate_limits import create_rate_limit_register
from hawthornfold.eligibility.restrictions import SendRestriction
from hawthornfold.eligibility.retry_after import MAX_PAUSE_MS
from hawthornfold.eligibility.retry_after import PauseFault
from hawthornfold.eligibility.retry_after import parse_retry_after_ms
from hawthornfold.eligibility.warmup import create_warmup_limiter

__all__ = [
    'FleetNodes',
    'MAX_PAUSE_MS',
    'PauseFault',
    'RateLimitFault',
    'SendRestriction',
    'ServerEligibility',
    'ServerPauses',
    'create_node_roster',
    'create_rate_limit_register',
    'create_server_eligibility',
    'create_server_pauses',
    'create_warmup_limiter',
    'parse_rate_limit',
    'parse_retry_after_ms',
]
