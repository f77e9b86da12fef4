"""Cluster membership: failure detection and the list of live nodes."""

from hawthornfold.membership.confirmation import LEASE_MS
from hawthornfold.membership.records import ListedVM
from hawthornfold.membership.records import Member
from hawthornfold.membership.service import MembershipService
from hawthornfold.membership.service import create_membership_service
from hawthornfold.membership.state import MembershipState

__all__ = [
    'LEASE_MS',
    'ListedVM',
    'Member',
    'MembershipService',
    'MembershipState',
    'create_membership_service',
]
