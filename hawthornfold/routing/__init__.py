"""Selects owners of backend servers, ranks replicas and plans fan-out."""

from hawthornfold.routing.fanout import FanoutPart
from hawthornfold.routing.fanout import plan_fanout
from hawthornfold.routing.owners import OwnerPolicy
from hawthornfold.routing.owners import create_direct_policy
from hawthornfold.routing.owners import create_owner_policy
from hawthornfold.routing.owners import create_rendezvous_policy
from hawthornfold.routing.ranking import ReplicaRanker
from hawthornfold.routing.ranking import create_replica_ranker

__all__ = [
    'FanoutPart',
    'OwnerPolicy',
    'ReplicaRanker',
    'create_direct_policy',
    'create_owner_policy',
    'create_rendezvous_policy',
    'create_replica_ranker',
    'plan_fanout',
]
