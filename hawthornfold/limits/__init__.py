"""Slots, queues, ramp-up and token buckets."""

from hawthornfold.limits.arrivals import ArrivalWindow
from hawthornfold.limits.arrivals import create_arrival_window
from hawthornfold.limits.bucket import TokenBucket
from hawthornfold.limits.bucket import create_token_bucket
from hawthornfold.limits.queue import QueueItem
from hawthornfold.limits.queue import ServerQueue
from hawthornfold.limits.queue import create_server_queue
from hawthornfold.limits.ramp import SlotRamp
from hawthornfold.limits.ramp import create_slot_ramp

__all__ = [
    'ArrivalWindow',
    'QueueItem',
    'ServerQueue',
    'SlotRamp',
    'TokenBucket',
    'create_arrival_window',
    'create_server_queue',
    'create_slot_ramp',
    'create_token_bucket',
]
