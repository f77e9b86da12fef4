"""Hedge delays and the budgets of hedges and retries."""

from hawthornfold.hedging.budget import ExtraLoadBudget
from hawthornfold.hedging.budget import create_extra_load_budget
from hawthornfold.hedging.delay import HedgeDelay
from hawthornfold.hedging.delay import create_hedge_delay

__all__ = [
    'ExtraLoadBudget',
    'HedgeDelay',
    'create_extra_load_budget',
    'create_hedge_delay',
]
