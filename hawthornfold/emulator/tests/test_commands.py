import json
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

from hawthornfold.emulator.tests import clients


class CommandsTest(unittest.TestCase):
    def _start(self, *arguments):
        """Start the emulator; return the process and its control port."""
        process = subprocess.Popen(
            [sys.executable, '-m', 'hawthornfold.emulator', *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        word, port = process.stdout.readline().split()
        self.assertEqual('ready', word)
        return process, int(port)

    def _write(self, value):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / 'spec.json'
        path.write_text(json.dumps(value))
        return str(path)

    # Guards against idle processes that keep running after a signal: the
    # handler runs, but the event loop sleeps until its next timer.
    def test_processes_start_answer_and_end_on_signal(self):
        state = self._write({'keys': {'rules': '{}'}})
        shards = {'s1': [{'name': 'a', 'weight': 5}]}
        server = {'name': 'b1', 'group': 'p', 'port': 0, 'shards': shards}
        servers = self._write([{**server, 'held': ['s1']}])
        link = {'name': 'b1', 'listen': 0, 'target': '127.0.0.1:1'}
        links = self._write([link])
        started = [
            ('/control/reads', ('platform', '--port=0', f'--state={state}')),
            ('/control/ledger', ('backends', f'--spec={servers}')),
            ('/control/listeners', ('proxy', f'--spec={links}')),
        ]
        for path, arguments in started:
            if arguments[0] != 'platform':
                arguments = (*arguments, '--control-port=0')
            process, port = self._start(*arguments)
            self.assertEqual(200, clients.call(port, 'GET', path)[0])
            # Let the process become idle: a busy event loop wakes up anyway.
            time.sleep(0.3)
            process.terminate()
            self.assertEqual(0, process.wait(clients.TIMEOUT_S))
