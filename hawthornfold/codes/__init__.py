"""Numbered result codes shared by every part of the tier."""

from hawthornfold.codes.failure import Failure
from hawthornfold.codes.failure import describe_failure
from hawthornfold.codes.registry import ResultCode

__all__ = ['Failure', 'ResultCode', 'describe_failure']
