"""Exchanges requests with backend servers over HTTP."""

from hawthornfold.backends.codec import BackendHealth
from hawthornfold.backends.codec import BackendReply
from hawthornfold.backends.codec import Hit
from hawthornfold.backends.codec import Ran
from hawthornfold.backends.codec import ShardAnswer
from hawthornfold.backends.codec import SubRequest
from hawthornfold.backends.codec import decode_answers
from hawthornfold.backends.connection import BackendConnection
from hawthornfold.backends.connection import ExchangeFailure
from hawthornfold.backends.diagnosis import PathDiagnosis
from hawthornfold.backends.diagnosis import Verdict
from hawthornfold.backends.diagnosis import create_path_diagnosis
from hawthornfold.backends.pool import ConnectionPool
from hawthornfold.backends.pool import create_connection_pool

__all__ = [
    'BackendConnection',
    'BackendHealth',
    'BackendReply',
    'ConnectionPool',
    'ExchangeFailure',
    'Hit',
    'PathDiagnosis',
    'Ran',
    'ShardAnswer',
    'SubRequest',
    'Verdict',
    'create_connection_pool',
    'create_path_diagnosis',
    'decode_answers',
]
