"""Decides which available backend servers may receive a request now."""

from hawthornfold.eligibility.demand import get_demand_class
from hawthornfold.eligibility.demand_collector import create_demand_collector
from hawthornfold.eligibility.eligibility import ServerEligibility
from hawthornfold.eligibility.eligibility import create_server_eligibility
from hawthornfold.eligibility.messages import DemandReport
from hawthornfold.eligibility.messages import DemandTotals
from hawthornfold.eligibility.node_roster import FleetNodes
from hawthornfold.eligibility.node_roster import create_node_roster
from hawthornfold.eligibility.pauses import ServerPauses
from hawthornfold.eligibility.pauses import create_server_pauses
from hawthornfold.eligibility.rate_limit_values import RateLimitFault
from hawthornfold.eligibility.rate_limit_values import parse_rate_limit
from hawthornfold.eligibility.rate_limiter import RateAdmission
from hawthornfold.eligibility.rate_limiter import create_rate_limiter
from hawthornfold.eligibility.rate_limits import create_rate_limit_register
from hawthornfold.eligibility.restrictions import SendRestriction
from hawthornfold.eligibility.retry_after import MAX_PAUSE_MS
from hawthornfold.eligibility.retry_after import PauseFault
from hawthornfold.eligibility.retry_after import parse_retry_after_ms
from hawthornfold.eligibility.return_times import create_return_schedule
from hawthornfold.eligibility.warmup import create_warmup_limiter

__all__ = [
    'DemandReport',
    'DemandTotals',
    'FleetNodes',
    'MAX_PAUSE_MS',
    'PauseFault',
    'RateAdmission',
    'RateLimitFault',
    'SendRestriction',
    'ServerEligibility',
    'ServerPauses',
    'create_demand_collector',
    'create_node_roster',
    'create_rate_limit_register',
    'create_rate_limiter',
    'create_return_schedule',
    'create_server_eligibility',
    'create_server_pauses',
    'create_warmup_limiter',
    'get_demand_class',
    'parse_rate_limit',
    'parse_retry_after_ms',
]
