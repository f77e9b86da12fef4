"""Sends the parts of a request to servers and merges the answers."""

from hawthornfold.gathering.execution import Cancel
from hawthornfold.gathering.execution import Execution
from hawthornfold.gathering.execution import ExecutionTimes
from hawthornfold.gathering.execution import Send
from hawthornfold.gathering.execution import Verdict
from hawthornfold.gathering.execution import create_execution
from hawthornfold.gathering.margin import AnswerMargin
from hawthornfold.gathering.margin import create_answer_margin
from hawthornfold.gathering.margin import estimate_travel_ms
from hawthornfold.gathering.merging import RecordMerger
from hawthornfold.gathering.outcomes import ExchangeOutcome
from hawthornfold.gathering.outcomes import OutcomeKind
from hawthornfold.gathering.outcomes import ServerResponse

__all__ = [
    'AnswerMargin',
    'Cancel',
    'ExchangeOutcome',
    'Execution',
    'ExecutionTimes',
    'OutcomeKind',
    'RecordMerger',
    'Send',
    'ServerResponse',
    'Verdict',
    'create_answer_margin',
    'create_execution',
    'estimate_travel_ms',
]
