"""Delegation of queries, or parts of them, to other nodes."""

from hawthornfold.delegation.capacity import Capacity
from hawthornfold.delegation.capacity import QueryCostModel
from hawthornfold.delegation.division import DivisionPolicy
from hawthornfold.delegation.division import PlannedGroup
from hawthornfold.delegation.division import create_division_policy
from hawthornfold.delegation.failover import FailoverPolicy
from hawthornfold.delegation.failover import create_failover_policy
from hawthornfold.delegation.messages import Delegate
from hawthornfold.delegation.messages import DelegateCancel
from hawthornfold.delegation.messages import Delegated
from hawthornfold.delegation.messages import GatherCancel
from hawthornfold.delegation.messages import GatherParts
from hawthornfold.delegation.messages import PartsReply
from hawthornfold.delegation.messages import Room
from hawthornfold.delegation.messages import RoomQuery
from hawthornfold.delegation.messages import RoomReply
from hawthornfold.delegation.messages import ServerNotice
from hawthornfold.delegation.policy import DelegationPolicy
from hawthornfold.delegation.policy import create_delegation_policy

__all__ = [
    'Capacity',
    'Delegate',
    'DelegateCancel',
    'Delegated',
    'DelegationPolicy',
    'DivisionPolicy',
    'FailoverPolicy',
    'GatherCancel',
    'GatherParts',
    'PartsReply',
    'PlannedGroup',
    'QueryCostModel',
    'Room',
    'RoomQuery',
    'RoomReply',
    'ServerNotice',
    'create_delegation_policy',
    'create_division_policy',
    'create_failover_policy',
]
