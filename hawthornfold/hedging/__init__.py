"""Hedge delays and the budget of hedges and retries."""

from hawthornfold.hedging.budget import ExtraLoadBudget
from hawthornfold.hedging.budget import create_extra_load_budget
from hawthornfold.hedging.delay import HedgeDelayEstimator
from hawthornfold.hedging.delay import create_hedge_delay_estimator

__all__ = [
    'ExtraLoadBudget',
    'HedgeDelayEstimator',
    'create_extra_load_budget',
    'create_hedge_delay_estimator',
]
