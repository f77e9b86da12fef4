"""One request to one server of each of its parts, and the merged answer."""

from hawthornfold.gathering.execution import Cancel
from hawthornfold.gathering.execution import Execution
from hawthornfold.gathering.execution import ExecutionTimes
from hawthornfold.gathering.execution import Send
from hawthornfold.gathering.execution import Verdict
from hawthornfold.gathering.execution import create_execution
from hawthornfold.gathering.merging import merge_records
from hawthornfold.gathering.outcomes import ExchangeOutcome
from hawthornfold.gathering.outcomes import OutcomeKind
from hawthornfold.gathering.outcomes import ServerResponse

__all__ = [
    'Cancel',
    'ExchangeOutcome',
    'Execution',
    'ExecutionTimes',
    'OutcomeKind',
    'Send',
    'ServerResponse',
    'Verdict',
    'create_execution',
    'merge_records',
]
