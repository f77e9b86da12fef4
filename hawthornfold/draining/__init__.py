"""Tracks from several signals which backend servers drain."""

from hawthornfold.draining.tracker import DrainTracker
from hawthornfold.draining.tracker import create_drain_tracker

__all__ = ['DrainTracker', 'create_drain_tracker']
