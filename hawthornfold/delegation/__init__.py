"""Delegation of queries from small nodes to nodes with more capacity."""

from hawthornfold.delegation.messages import Delegate
from hawthornfold.delegation.messages import DelegateCancel
from hawthornfold.delegation.messages import Delegated
from hawthornfold.delegation.messages import Room
from hawthornfold.delegation.messages import RoomQuery
from hawthornfold.delegation.messages import RoomReply
from hawthornfold.delegation.policy import Capacity
from hawthornfold.delegation.policy import DelegationPolicy
from hawthornfold.delegation.policy import create_delegation_policy

__all__ = [
    'Capacity',
    'Delegate',
    'DelegateCancel',
    'Delegated',
    'DelegationPolicy',
    'Room',
    'RoomQuery',
    'RoomReply',
    'create_delegation_policy',
]
