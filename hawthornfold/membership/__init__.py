"""Which nodes are alive, by probing."""

from hawthornfold.membership.confirmation import LEASE_MS
from hawthornfold.membership.records import KnownVM
from hawthornfold.membership.records import Member
from hawthornfold.membership.service import MembershipService
from hawthornfold.membership.service import create_membership_service
from hawthornfold.membership.state import MembershipState

__all__ = [
    'LEASE_MS',
    'KnownVM',
    'Member',
    'MembershipService',
    'MembershipState',
    'create_membership_service',
]
