"""Chooses the backend server of each request from what it has observed."""

from hawthornfold.placement.latency import LatencyBook
from hawthornfold.placement.latency import create_latency_book
from hawthornfold.placement.placement import Placement
from hawthornfold.placement.placement import create_placement
from hawthornfold.placement.weights import WeightedTurns
from hawthornfold.placement.weights import create_weighted_turns

__all__ = [
    'LatencyBook',
    'Placement',
    'WeightedTurns',
    'create_latency_book',
    'create_placement',
    'create_weighted_turns',
]
