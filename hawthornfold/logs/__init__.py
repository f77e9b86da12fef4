"""Sets up structured log lines."""

from hawthornfold.logs.setup import setup_logs

__all__ = ['setup_logs']
