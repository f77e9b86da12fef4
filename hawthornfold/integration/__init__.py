"""End-to-end trials under faults, checked against the backends' ledger."""

from hawthornfold.integration.callers import Claim
from hawthornfold.integration.callers import TrialCaller
from hawthornfold.integration.callers import create_trial_caller
from hawthornfold.integration.checks import check_claims
from hawthornfold.integration.references import ReferenceReader
from hawthornfold.integration.references import create_reference_reader

__all__ = [
    'Claim',
    'ReferenceReader',
    'TrialCaller',
    'check_claims',
    'create_reference_reader',
    'create_trial_caller',
]
