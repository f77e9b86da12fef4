"""Requests of signals, without a process."""

import signal
import unittest

from hawthornfold.process_signals import ReceivedSignals
from hawthornfold.process_signals import receive_signals
from hawthornfold.process_signals.received import HANDLED_SIGNALS


def receive(can_reload, *numbers):
    signals = ReceivedSignals(can_reload)
    for number in numbers:
        signals.record(number)
    return signals


class ReceivedSignalsTest(unittest.TestCase):
    def test_request_during_a_reload_is_kept(self):
        # Guards against settings that stay unread because they were written
        # after the reload had read the file.
        signals = receive(True, signal.SIGHUP, signal.SIGHUP)
        signals.begin_reload()
        self.assertFalse(signals.is_reload_requested)
        signals.record(signal.SIGHUP)
        self.assertTrue(signals.is_reload_requested)

    def test_stop_prevails_in_any_order(self):
        # Guards against a stop that waits for a reload or is lost behind it.
        for numbers in (
            (signal.SIGHUP, signal.SIGTERM),
            (signal.SIGINT, signal.SIGHUP),
        ):
            signals = receive(True, *numbers)
            self.assertTrue(signals.is_stop_requested)
            self.assertFalse(signals.is_reload_requested)

    def test_hangup_with_a_stop_signal_is_one_request(self):
        # Guards against a stop that cuts requests off at once because the
        # supervisor sends SIGHUP after SIGTERM.
        for numbers in (
            (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP),
            (signal.SIGHUP, signal.SIGHUP),
        ):
            self.assertEqual(receive(False, *numbers).stop_count, 1)
        signals = receive(False, signal.SIGTERM, signal.SIGINT)
        self.assertEqual(signals.stop_count, 2)


class ReceiveSignalsTest(unittest.TestCase):
    def test_signals_are_ignored_after_the_context(self):
        # Guards against signals that take their default action while the
        # process ends.
        for number in HANDLED_SIGNALS:
            former = signal.getsignal(number)
            self.addCleanup(signal.signal, number, former)
        with receive_signals(can_reload=True) as signals:
            for number in HANDLED_SIGNALS:
                signal.raise_signal(number)
        self.assertEqual(signals.stop_count, 2)
        for number in HANDLED_SIGNALS:
            signal.raise_signal(number)
        self.assertEqual(signals.stop_count, 2)
