import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from hawthornfold.emulator.tests.test_fleet import is_alive

# Runs a process until a signal ends this program; prints its id.
PROGRAM = """
import sys, time
from hawthornfold.emulator import demo, processes
demo.raise_on_stop_signals()
with processes.open_process_group(sys.argv[1]) as group:
    command = ('timeit', '-n', '1', '-r', '1', 'import time; time.sleep(60)')
    group.add(processes.ProcessSpec('one', command))
    group['one'].pause()
    print(group['one'].pid, flush=True)
    time.sleep(60)
"""


class StopSignalsTest(unittest.TestCase):
    def test_processes_end_with_the_demo(self):
        # Guards against processes that stay because SIGHUP ends the demo
        # without clean-up, or a further signal interrupts it.
        for number in (signal.SIGHUP, signal.SIGTERM):
            with self.subTest(number), tempfile.TemporaryDirectory() as path:
                program = subprocess.Popen(
                    [sys.executable, '-c', PROGRAM, path],
                    stdout=subprocess.PIPE,
                    cwd=pathlib.Path(__file__).parents[3],
                )
                self.addCleanup(program.wait)
                self.addCleanup(program.kill)
                with program.stdout:
                    pid = int(program.stdout.readline())
                while program.poll() is None:
                    program.send_signal(number)
                self.assertEqual(program.wait(), 128 + number)
                self.assertFalse(is_alive(pid))
