"""Structured log lines for changes of state."""

from hawthornfold.logs.setup import setup_logs

__all__ = ['setup_logs']
