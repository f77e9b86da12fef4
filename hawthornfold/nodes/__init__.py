"""Wiring and life cycle of one node."""

from hawthornfold.nodes.node import run_node

__all__ = ['run_node']
