"""Numbered result codes that all packages share."""

from hawthornfold.codes.failure import Failure
from hawthornfold.codes.failure import describe_failure
from hawthornfold.codes.registry import ResultCode

__all__ = ['Failure', 'ResultCode', 'describe_failure']
