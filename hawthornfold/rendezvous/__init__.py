"""Rendezvous hashing: the same choice on all nodes, moved in small steps."""

from hawthornfold.rendezvous.scores import choose_names
from hawthornfold.rendezvous.scores import compute_score

__all__ = ['choose_names', 'compute_score']
