"""Decides which available backend servers may receive a request now."""

from hawthornfold.eligibility.eligibility import ServerEligibility
from hawthornfold.eligibility.eligibility import create_server_eligibility
from hawthornfold.eligibility.restrictions import SendRestriction

__all__ = [
    'SendRestriction',
    'ServerEligibility',
    'create_server_eligibility',
]
