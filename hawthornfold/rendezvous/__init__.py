"""Rendezvous hashing: all nodes make the same choice, with few changes."""

from hawthornfold.rendezvous.scores import choose_names
from hawthornfold.rendezvous.scores import compute_score

__all__ = ['choose_names', 'compute_score']
