"""Creates, runs and stops one entry node."""

from hawthornfold.nodes.node import run_node

__all__ = ['run_node']
