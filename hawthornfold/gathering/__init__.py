"""Sends the parts of a request to servers and merges the answers."""

from hawthornfold.gathering.actions import Cancel
from hawthornfold.gathering.actions import ExecutionTimes
from hawthornfold.gathering.actions import GroupEnd
from hawthornfold.gathering.actions import Send
from hawthornfold.gathering.actions import SendGroup
from hawthornfold.gathering.actions import Verdict
from hawthornfold.gathering.creation import create_execution
from hawthornfold.gathering.execution import Execution
from hawthornfold.gathering.failover import UnservedServices
from hawthornfold.gathering.margin import AnswerMargin
from hawthornfold.gathering.margin import create_answer_margin
from hawthornfold.gathering.margin import estimate_travel_ms
from hawthornfold.gathering.merging import RecordMerger
from hawthornfold.gathering.outcomes import NO_SIGNALS
from hawthornfold.gathering.outcomes import ExchangeOutcome
from hawthornfold.gathering.outcomes import OutcomeKind
from hawthornfold.gathering.outcomes import ServerResponse
from hawthornfold.gathering.outcomes import ServerSignals
from hawthornfold.gathering.regions import Regions
from hawthornfold.gathering.regions import create_regions
from hawthornfold.gathering.regions import report_regions

__all__ = [
    'NO_SIGNALS',
    'AnswerMargin',
    'Cancel',
    'ExchangeOutcome',
    'Execution',
    'ExecutionTimes',
    'GroupEnd',
    'OutcomeKind',
    'RecordMerger',
    'Regions',
    'Send',
    'SendGroup',
    'ServerResponse',
    'ServerSignals',
    'UnservedServices',
    'Verdict',
    'create_answer_margin',
    'create_execution',
    'create_regions',
    'estimate_travel_ms',
    'report_regions',
]
