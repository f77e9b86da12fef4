"""Hedge delays and the budgets of hedges and retries."""
