"""Counters, gauges and histograms."""

from hawthornfold.metrics.registry import Metrics
from hawthornfold.metrics.registry import create_metrics

__all__ = ['Metrics', 'create_metrics']
