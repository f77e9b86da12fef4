"""Limits the load on servers: slots, queues, ramps and budgets."""

from hawthornfold.limits.bucket import TokenBucket
from hawthornfold.limits.bucket import create_token_bucket
from hawthornfold.limits.queue import QueueItem
from hawthornfold.limits.queue import ServerQueue
from hawthornfold.limits.queue import create_server_queue
from hawthornfold.limits.ramp import SlotRamp
from hawthornfold.limits.ramp import create_slot_ramp
from hawthornfold.limits.repeat_budget import RepeatBudget
from hawthornfold.limits.repeat_budget import create_repeat_budget
from hawthornfold.limits.shares import NodeCounts
from hawthornfold.limits.shares import compute_service_share

__all__ = [
    'NodeCounts',
    'RepeatBudget',
    'QueueItem',
    'ServerQueue',
    'SlotRamp',
    'TokenBucket',
    'compute_service_share',
    'create_repeat_budget',
    'create_server_queue',
    'create_slot_ramp',
    'create_token_bucket',
]
