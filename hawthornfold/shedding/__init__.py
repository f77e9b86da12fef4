"""Admission control of whole queries at the entry node."""

from hawthornfold.shedding.admission import URGENCY_COUNT
from hawthornfold.shedding.admission import AdmissionController
from hawthornfold.shedding.admission import compute_priority
from hawthornfold.shedding.admission import create_admission_controller

__all__ = [
    'URGENCY_COUNT',
    'AdmissionController',
    'compute_priority',
    'create_admission_controller',
]
