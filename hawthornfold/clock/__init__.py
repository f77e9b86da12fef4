"""Provides the time in milliseconds, for production and tests."""

from hawthornfold.clock.clock import Clock
from hawthornfold.clock.clock import ManualClock
from hawthornfold.clock.clock import create_manual_clock
from hawthornfold.clock.clock import create_system_clock

__all__ = [
    'Clock',
    'ManualClock',
    'create_manual_clock',
    'create_system_clock',
]
