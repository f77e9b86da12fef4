"""Receives the signals of a process, from its first statement to its end.

Entry points import this package before any other, so it imports nothing but
two small modules of the standard library.
"""

from hawthornfold.process_signals.received import ReceivedSignals
from hawthornfold.process_signals.received import receive_signals

__all__ = ['ReceivedSignals', 'receive_signals']
