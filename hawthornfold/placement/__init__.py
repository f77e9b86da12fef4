"""Chooses the backend server of each request from its observations."""

from hawthornfold.placement.latency import LatencyTracker
from hawthornfold.placement.latency import create_latency_tracker
from hawthornfold.placement.placement import Placement
from hawthornfold.placement.placement import create_placement
from hawthornfold.placement.weights import WeightedRoundRobin
from hawthornfold.placement.weights import create_weighted_round_robin

__all__ = [
    'LatencyTracker',
    'Placement',
    'WeightedRoundRobin',
    'create_latency_tracker',
    'create_placement',
    'create_weighted_round_robin',
]
