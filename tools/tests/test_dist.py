"""Checks dist/hawthornfold; ``make check-dist`` builds the file and runs them.

The checks are not among the unit tests, because a build takes half a minute
and needs a package index.
"""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import unittest

import urllib3

from tools import dist_main

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SHIPPED = ROOT / 'dist' / 'hawthornfold'
# Space that the unpacked libraries need.
_ROOT_BYTES = 256 << 20
# Only ends a test that hangs; no check depends on it.
_LIMIT_SECONDS = 120


def find_free_ports(amount):
    """Return loopback ports that are currently free."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(amount)]
        for item in sockets:
            item.bind(('127.0.0.1', 0))
        return [item.getsockname()[1] for item in sockets]


def list_children(pid):
    """Return the ids of the processes whose parent is `pid`."""
    found = []
    for path in pathlib.Path('/proc').glob('[0-9]*/stat'):
        try:
            # The command's name may contain spaces and ends at the last
            # closing parenthesis.
            fields = path.read_text().rpartition(')')[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(int(path.parent.name))
    return found


def find_memory_directory():
    """Return a writable directory of a memory file system, or None.

    The file system has at least `_ROOT_BYTES` free.
    """
    for line in pathlib.Path('/proc/mounts').read_text().splitlines():
        _, path, kind, *_ = line.split()
        if (
            kind == 'tmpfs'
            and os.access(path, os.W_OK)
            and shutil.disk_usage(path).free >= _ROOT_BYTES
        ):
            return path
    return None


class ShippedFileTestCase(unittest.TestCase):
    """Runs the file as an operator does, in a new directory."""

    def setUp(self):
        self.root = self.enterContext(
            tempfile.TemporaryDirectory(dir=find_memory_directory())
        )
        self.environment = {**os.environ, 'SHIV_ROOT': self.root}
        # The shipped file must not depend on the development environment.
        self.environment.pop('PYTHONPATH', None)

    def run_command(self, *arguments):
        return subprocess.run(
            [SHIPPED, *arguments],
            cwd=self.root,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=_LIMIT_SECONDS,
        )


class TestCommands(ShippedFileTestCase):
    def test_examples_are_valid(self):
        # Guards against a library or native extension missing from the file.
        for path in sorted((ROOT / 'examples').glob('*/*.json')):
            done = self.run_command('check', str(path))
            self.assertEqual((0, 'valid\n'), (done.returncode, done.stdout))
            self.assertEqual('', done.stderr)

    def test_fault_has_its_exit_status(self):
        # Guards against an entry point that loses the exit status.
        path = pathlib.Path(self.root, 'rules.json')
        path.write_text('{"rules": [}')
        done = self.run_command('check', str(path))
        self.assertEqual(2, done.returncode)
        self.assertIn('101', done.stdout)
        self.assertNotIn('Traceback', done.stderr)

    def test_development_parts_are_left_out(self):
        # Guards against shipping the emulator or the tests.
        self.run_command('--version')
        (package,) = pathlib.Path(self.root).glob(
            '*/site-packages/hawthornfold'
        )
        names = {path.name for path in package.rglob('*')}
        self.assertEqual(set(), names & {'tests', 'emulator', 'integration'})


class TestNode(ShippedFileTestCase):
    def setUp(self):
        super().setUp()
        callers, operators, peers, platform = find_free_ports(4)
        self.pool = urllib3.PoolManager(retries=False, timeout=5.0)
        self.operators = f'127.0.0.1:{operators}'
        self.callers = f'http://127.0.0.1:{callers}'
        settings = {
            'cluster': 'dist-check',
            'node': {
                'name': 'entry-1',
                'data_centre': 'zilina-1',
                'host': '127.0.0.1',
            },
            'callers': {'port': callers},
            'operators': {'port': operators},
            'peers': {'port': peers},
            # Nothing listens there, so the node is alive but not ready.
            'platform': {'addresses': [f'127.0.0.1:{platform}']},
            'shutdown': {'linger_ms': 0},
        }
        path = pathlib.Path(self.root, 'settings.json')
        path.write_text(json.dumps(settings))
        log = self.enterContext(
            pathlib.Path(self.root, 'log').open('w+', encoding='utf-8')
        )
        self.process = subprocess.Popen(
            [SHIPPED, 'serve', '--settings', str(path)],
            cwd=self.root,
            env=self.environment,
            stderr=log,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.wait_until_alive()

    def wait_until_alive(self):
        deadline = time.monotonic() + _LIMIT_SECONDS
        while time.monotonic() < deadline:
            self.assertIsNone(self.process.poll(), 'the node exited')
            try:
                if self.pool.request('GET', self.callers + '/healthz').status:
                    return
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
        self.fail('the node does not answer')

    def test_node_is_one_process_and_stops_in_order(self):
        # Guards against a launcher or child process that the platform's
        # supervisor could neither see nor stop.
        command = pathlib.Path(f'/proc/{self.process.pid}/cmdline')
        self.assertIn(str(SHIPPED), command.read_text().split('\0'))
        self.assertEqual([], list_children(self.process.pid))
        done = self.run_command('status', '--node', self.operators)
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn('entry-1', done.stdout)
        url = f'http://{self.operators}/v1/operator/metrics'
        metrics = self.pool.request('GET', url)
        self.assertEqual(200, metrics.status, metrics.data)
        self.assertIn(b'hawthornfold_members', metrics.data)
        self.assertEqual([], list_children(self.process.pid))
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.process.wait(_LIMIT_SECONDS))


class TestRoot(unittest.TestCase):
    def setUp(self):
        self.path = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )

    def test_second_choice_if_first_has_no_parent(self):
        # Guards against a failed start when /run is not writable.
        chosen = dist_main.choose_root(self.path / 'none' / 'x', self.path)
        self.assertEqual(self.path, chosen.parent)

    def test_directory_open_to_others_is_refused(self):
        # Guards against running code that another user put there.
        open_root = self.path / 'open'
        open_root.mkdir()
        open_root.chmod(0o777)
        chosen = dist_main.choose_root(open_root, self.path)
        self.assertNotEqual(open_root, chosen)

    def test_link_is_refused(self):
        # Guards against unpacking through a link into another directory of
        # this user.
        (self.path / 'real').mkdir(mode=0o700)
        link = self.path / 'link'
        link.symlink_to(self.path / 'real')
        with self.assertRaises(SystemExit):
            dist_main.choose_root(link, self.path / 'none')


if __name__ == '__main__':
    unittest.main()
