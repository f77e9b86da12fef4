"""Runs one query over the shards of a snapshot and merges the answers."""

from hawthornfold.queries.execution import Cancel
from hawthornfold.queries.execution import QueryExecution
from hawthornfold.queries.execution import Send
from hawthornfold.queries.execution import create_query_execution
from hawthornfold.queries.merging import MergedAnswer
from hawthornfold.queries.merging import merge_answers
from hawthornfold.queries.outcomes import QueryOutcome
from hawthornfold.queries.outcomes import QueryRequest

__all__ = [
    'Cancel',
    'MergedAnswer',
    'QueryExecution',
    'QueryOutcome',
    'QueryRequest',
    'Send',
    'create_query_execution',
    'merge_answers',
]
