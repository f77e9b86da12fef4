"""Defines what is notified of the progress of a request."""

import abc


class RelayObserver(abc.ABC):
    """Reports the progress of a request while it runs."""

    @abc.abstractmethod
    def handle_progress(self, execution, now_ms):
        """Handle that answers have arrived, or that a report may be due."""

    @abc.abstractmethod
    def handle_repeats(self, execution):
        """Handle that parts are about to be sent a second time."""

    @abc.abstractmethod
    def handle_leaving(self, record):
        """Handle that a response announces that its server leaves."""

    @abc.abstractmethod
    def next_report_ms(self, now_ms):
        """Return when a report is due, or None."""
