"""Queues sub-requests of owned backend servers and dispatches them."""

from hawthornfold.owners.messages import CancelWork
from hawthornfold.owners.messages import DrainNotice
from hawthornfold.owners.messages import Work
from hawthornfold.owners.messages import WorkPart
from hawthornfold.owners.messages import WorkReply
from hawthornfold.owners.service import OwnerService
from hawthornfold.owners.service import create_owner_service

__all__ = [
    'CancelWork',
    'DrainNotice',
    'OwnerService',
    'Work',
    'WorkPart',
    'WorkReply',
    'create_owner_service',
]
