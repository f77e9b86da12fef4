"""Decides which available backend servers may receive a request now."""

from hawthornfold.eligibility.eligibility import ServerEligibility
from hawthornfold.eligibility.eligibility import create_server_eligibility
from hawthornfold.eligibility.node_roster import FleetNodes
from hawthornfold.eligibility.node_roster import create_node_roster
from hawthornfold.eligibility.restrictions import SendRestriction
from hawthornfold.eligibility.warmup import create_warmup_limiter

__all__ = [
    'FleetNodes',
    'SendRestriction',
    'ServerEligibility',
    'create_node_roster',
    'create_server_eligibility',
    'create_warmup_limiter',
]
