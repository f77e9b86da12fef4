"""Signals at each point of the life of the process of ``serve``."""

import concurrent.futures
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

from hawthornfold.emulator.processes import pick_ports
from hawthornfold.integration import waiting

HANG_S = 20.0
SIGNAL_SERIES = ('SIGHUP', 'SIGTERM', 'SIGINT', 'SIGTERM,SIGHUP')
# Points of signal_points, with an excerpt of the log.
STOP_POINTS = {
    'import:eventlet': 'event=stopped cut_requests=0 phase=start',
    'import:hawthornfold.nodes.node': (
        'event=stopped cut_requests=0 phase=start'
    ),
    'socket.bind:127.': 'event=stopped cut_requests=0',
}
LAST_POINTS = ('exit', 'teardown')


def is_open(port):
    """Return whether a port accepts connections."""
    try:
        with socket.create_connection(('127.0.0.1', port), HANG_S):
            return True
    except ConnectionRefusedError:
        return False


class ServeSignalsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def start(self, point, series, name):
        """Start a node; return its process and the path of its log."""
        callers, operators, peers = pick_ports(3)
        document = {
            'cluster': 'c',
            'node': {'name': 'n', 'data_centre': 'd', 'host': '127.0.0.1'},
            'callers': {'port': callers},
            'operators': {'port': operators},
            'peers': {'port': peers},
            'platform': {'addresses': ['127.0.0.1:9']},
            'shutdown': {'linger_ms': 100},
        }
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(document))
        log_path = path.with_suffix('.log')
        with log_path.open('wb') as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'hawthornfold.process_signals.tests.signal_points',
                    'hawthornfold',
                    point,
                    series,
                    'serve',
                    '--settings',
                    str(path),
                ],
                stdout=log,
                stderr=log,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, operators, log_path

    def run_series(self, points, play):
        cases = [(p, s) for p in points for s in SIGNAL_SERIES]
        with concurrent.futures.ThreadPoolExecutor(len(cases)) as pool:
            results = [
                pool.submit(play, point, series, f'node-{number}')
                for number, (point, series) in enumerate(cases)
            ]
        for (point, series), result in zip(cases, results, strict=True):
            with self.subTest(point=point, series=series):
                result.result()

    def test_signals_at_the_start_stop_the_node(self):
        # Guards against a signal that ends a starting node with the status of
        # a failure, or a running one without finishing its requests.
        def play(point, series, name):
            process, _, log_path = self.start(point, series, name)
            status = process.wait(HANG_S)
            log = log_path.read_text()
            self.assertEqual(status, 0, log)
            self.assertIn(STOP_POINTS[point], log)

        self.run_series(STOP_POINTS, play)

    def test_signals_while_the_process_ends(self):
        # Guards against a signal that replaces the exit status of a stop.
        def play(point, series, name):
            process, operators, log_path = self.start(point, series, name)
            waiting.wait_for(lambda: is_open(operators), 'an open port')
            process.send_signal(signal.SIGHUP)
            self.assertEqual(process.wait(HANG_S), 0, log_path.read_text())

        self.run_series(LAST_POINTS, play)
