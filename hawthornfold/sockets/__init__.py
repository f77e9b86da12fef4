"""Provides socket and HTTP body functions for all clients and servers."""

from hawthornfold.sockets.bodies import read_body
from hawthornfold.sockets.limited_pool import ReplyLimits
from hawthornfold.sockets.limited_pool import create_limited_pool
from hawthornfold.sockets.limited_pool import create_response_class
from hawthornfold.sockets.read_budget import ReadBudget
from hawthornfold.sockets.read_budget import ReadBudgetError
from hawthornfold.sockets.read_budget import RevocationObserver
from hawthornfold.sockets.read_budget import create_read_budget
from hawthornfold.sockets.readiness import is_readable
from hawthornfold.sockets.round_trip import read_round_trip_ms

__all__ = [
    'ReadBudget',
    'ReadBudgetError',
    'ReplyLimits',
    'RevocationObserver',
    'create_limited_pool',
    'create_read_budget',
    'create_response_class',
    'is_readable',
    'read_body',
    'read_round_trip_ms',
]
