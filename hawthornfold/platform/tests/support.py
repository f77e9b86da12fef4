"""Test doubles of the platform: its store, settings file and processes."""

import base64
import contextlib
import http.server
import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import tarfile
import tempfile
import threading
import time
import unittest
import urllib.parse

from hawthornfold.emulator.processes import pick_ports
from hawthornfold.gateway.tests.support import HANG_S

ROOT = pathlib.Path(__file__).resolve().parents[3]
SETTINGS = """
NodeName = "{name}"
Zone = "{zone}"
Region = "{region}"
SeedNodes = [{seeds}]
[Listen]
Front = "{ip}:{front}"
ReadyAddr = "{ip}:{ready}"
Control = "{ip}:{control}"
[Bounds]
GraceS = {grace_s}
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = {slack}
[Limits]
CpuShare = {cores}
CpuCores = 1
LinkMbps = {link_mbps}
[platform]
Address = "{store}"
[Zones]
{regions}
"""
# Processor time within which a process reaches its first statement. Importing
# the modules of a node takes several times as much.
INTERPRETER_START_S = 0.2
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 262144,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


class _QuietServer(http.server.ThreadingHTTPServer):
    """Reports no error when a node closes a connection early."""

    def handle_error(self, request, client_address):
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class MetadataStoreStub:
    """Serves the HTTP calls of the platform's store from memory."""

    def __init__(self):
        self._changed = threading.Condition()
        self._revision = 100
        self._items = {}
        self._events = []
        self._oldest_revision = 0
        self._cut_count = 0
        # Raised by each restore; None for a store that reports no era. May be
        # set to any text, to send an invalid header.
        self.era = 1
        # Time, revision and items after each change, to restore them.
        self._copies = [(time.monotonic(), 100, {})]
        # How calls are answered: 'ok', 'busy' (503) or 'silent'.
        self.mode = 'ok'
        self.calls = []
        self.queries = []
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_GET(self):
                store._handle_request(self)

            def log_message(self, *arguments):
                """Log nothing, to keep the output of tests readable."""

        self._server = _QuietServer(('127.0.0.1', 0), Handler)
        self._server.daemon_threads = True
        self.address = f'127.0.0.1:{self._server.server_port}'
        threading.Thread(target=self._server.serve_forever).start()

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        """Write an item; a `value` that is not bytes is encoded as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value)
        data = data if isinstance(data, bytes) else data.encode()
        with self._changed:
            self._revision += 1
            item = {
                'Key': key,
                'Value': base64.b64encode(data).decode(),
                'Revision': self._revision,
                'Created': self._revision,
                'LeaseId': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._keep_copy()
            self._changed.notify_all()

    def delete(self, key):
        """Remove an item."""
        with self._changed:
            self._revision += 1
            del self._items[key]
            self._events.append(
                {'Key': key, 'Revision': self._revision, 'Deleted': True}
            )
            self._keep_copy()
            self._changed.notify_all()

    @property
    def position(self):
        """The era and the current revision."""
        return self.era, self._revision

    def read(self, key):
        """Return the decoded value of an item, or None."""
        with self._changed:
            item = self._items.get(key)
        return item and json.loads(base64.b64decode(item['Value']))

    def _keep_copy(self):
        copy = (time.monotonic(), self._revision, dict(self._items))
        self._copies.append(copy)

    def restore(self, age_s):
        """Return from a copy that is some seconds old; raise the era."""
        with self._changed:
            end = time.monotonic() - age_s
            while len(self._copies) > 1 and self._copies[-1][0] > end:
                self._copies.pop()
            _, self._revision, items = self._copies[-1]
            self._items = dict(items)
            self._events = [
                event
                for event in self._events
                if event['Revision'] <= self._revision
            ]
            self._oldest_revision = min(self._oldest_revision, self._revision)
            self.era += 1
            self._changed.notify_all()

    def discard_history(self):
        """Drop all events; answer watches of older revisions with 410."""
        with self._changed:
            self._oldest_revision = self._revision
            self._events = []
            self._changed.notify_all()

    def cut_waiting_calls(self):
        """Close the connections of all watches that wait."""
        with self._changed:
            self._cut_count += 1
            self._changed.notify_all()

    def _handle_request(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        self.calls.append(url.path)
        self.queries.append(url.query)
        if self.mode == 'silent':
            time.sleep(HANG_S)
            return
        status, document = 503, {}
        if self.mode == 'ok':
            call = (
                self._read_range
                if url.path.endswith('range')
                else self._wait_for_events
            )
            try:
                status, document = call(query)
            except ConnectionAbortedError:
                handler.close_connection = True
                return
        body = json.dumps(document).encode()
        with contextlib.suppress(OSError):
            handler.send_response(status)
            handler.send_header('Content-Type', 'application/json')
            handler.send_header('Content-Length', str(len(body)))
            if self.era is not None:
                handler.send_header('Store-Era', str(self.era))
            handler.end_headers()
            handler.wfile.write(body)

    def _read_range(self, query):
        with self._changed:
            after = query.get('after', '')
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query['Prefix']) and key > after
            )
            # Pages are small so that every test reads several.
            page = [self._items[key] for key in keys[:3]]
            return 200, {
                'items': page,
                'HasMore': len(keys) > 3,
                'CurrentRev': self._revision,
            }

    def _wait_for_events(self, query):
        after = int(query['after'])
        end = time.monotonic() + int(query['WaitMs']) / 1000.0
        with self._changed:
            era, cut_count = self.era, self._cut_count
            while True:
                if cut_count != self._cut_count:
                    raise ConnectionAbortedError
                if era != self.era:
                    # The restore cut the connection of this watch.
                    return 503, {}
                if not self._oldest_revision <= after <= self._revision:
                    return 410, {}
                events = [e for e in self._events if e['Revision'] > after]
                left = end - time.monotonic()
                if events or left <= 0 or self.mode != 'ok':
                    return 200, {
                        'events': events,
                        'CurrentRev': self._revision,
                    }
                self._changed.wait(left)


def choose_ip(number):
    """Return a loopback address that differs between processes.

    All nodes use the same port for metrics, so runs at the same time need
    different addresses.
    """
    process = os.getpid()
    return f'127.{1 + process % 250}.{process // 250 % 250}.{number}'


def has_begun(pid):
    """Return whether a process has reached its first statement.

    Until it has, signals take their default actions. Processor time tells
    this on a busy machine too.
    """
    try:
        text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    except OSError:
        return False
    # The second field, the command, may contain spaces.
    user, system = text.rpartition(')')[2].split()[11:13]
    ticks = int(user) + int(system)
    return ticks / os.sysconf('SC_CLK_TCK') >= INTERPRETER_START_S


def find_free_port(ip):
    """Return a port that is currently free on an address."""
    return pick_ports(1, ip)[0]


def export_release(release, directory):
    """Write the sources of an earlier release to a directory.

    Parameters
    ----------
    release : str
        Its commit.

    Raises
    ------
    unittest.SkipTest
        The sources come without the history of the repository.
    """
    try:
        archive = subprocess.run(
            ['git', 'archive', '--format=tar', release, 'hawthornfold'],
            cwd=ROOT,
            check=True,
            capture_output=True,
        ).stdout
    except (OSError, subprocess.CalledProcessError):
        raise unittest.SkipTest(f'the history of {release} is missing')
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(directory, filter='data')


class Node:
    """Runs a gateway node in its own process.

    Parameters
    ----------
    store : MetadataStoreStub
        The store that the node reads.
    number : int
        Distinguishes the nodes of a test.
    seeds : sequence of str
        Peer addresses of other nodes.
    root : path
        Folder with the sources to run.
    program : sequence of str
        The module that the process runs, and its arguments, in which
        ``{settings}`` is the path of the settings file.
    """

    def __init__(
        self,
        store,
        number=1,
        seeds=(),
        slack=54,
        root=ROOT,
        program=('hawthornfold.platform',),
        **fields,
    ):
        self._root = root
        self._program = program
        self.ip = choose_ip(number)
        self.ports = {
            name: find_free_port(self.ip)
            for name in ('front', 'ready', 'control')
        }
        self.control = f'{self.ip}:{self.ports["control"]}'
        self._directory = tempfile.TemporaryDirectory()
        # Number of times that the settings file was replaced.
        self._writes = 0
        self.settings_path = pathlib.Path(self._directory.name, 'node.toml')
        self._fields = {
            'name': f'node-{number}',
            'ip': self.ip,
            'store': store.address,
            'slack': slack,
            'grace_s': 6,
            'seeds': ', '.join(f'"{seed}"' for seed in seeds),
            'cores': 1.0,
            'link_mbps': 1000.0,
            'zone': 'hall-a',
            'region': '',
            # Lines of the table from data centres to regions.
            'regions': '',
            **fields,
        }
        self.write_settings()
        self.log_path = pathlib.Path(self._directory.name, 'log')
        # Faults that overlap start and kill the process from several threads.
        self._process_lock = threading.Lock()
        self._process = None
        self.start()

    @property
    def root(self):
        """Folder with the sources that run from the next start on."""
        return self._root

    def set_root(self, root):
        """Set the folder with the sources to run."""
        self._root = root

    def write_settings(self, **fields):
        """Rewrite the settings file with some fields changed."""
        self._fields.update(fields)
        self.settings_path.write_text(
            SETTINGS.format(**self._fields, **self.ports)
        )

    def rewrite_settings(self, text=None):
        """Write the settings file again, with a new comment or another text.

        The file is replaced, so that it is never read in part.
        """
        self._writes += 1
        if text is None:
            text = SETTINGS.format(**self._fields, **self.ports)
        new_path = self.settings_path.with_suffix(f'.{self._writes}')
        new_path.write_text(f'# {self._writes}\n{text}')
        new_path.replace(self.settings_path)

    def start(self):
        """Start the process."""
        environment = {
            **os.environ,
            'HAWTHORNFOLD_NODE_FILE': str(self.settings_path),
            'EVENTLET_NO_GREENDNS': 'yes',
        }
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    '-W',
                    'ignore',
                    '-m',
                    *(
                        argument.format(settings=self.settings_path)
                        for argument in self._program
                    ),
                ],
                cwd=self._root,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def process(self):
        """The latest process, a `subprocess.Popen`."""
        return self._process

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    def ensure_running(self):
        """Start the process again if it has ended."""
        with self._process_lock:
            if self._process.poll() is not None:
                self.start()

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait_for_exit(self):
        """Wait until the process ends; return its exit status."""
        return self._process.wait(HANG_S)

    def kill(self):
        """Kill the process with SIGKILL, so that it cannot clean up."""
        with self._process_lock:
            if self._process.poll() is None:
                self._process.kill()
                self._process.wait(HANG_S)

    def close(self):
        """Kill the process and remove its files."""
        self.kill()
        self._directory.cleanup()

    def read_log(self):
        """Return what the process has written."""
        return self.log_path.read_text(errors='replace')

    def send_request(
        self, path, headers=(), method='GET', body=b'', port='front'
    ):
        """Send a request on a new connection; return the answer."""
        connection = http.client.HTTPConnection(
            self.ip, self.ports[port], timeout=HANG_S
        )
        with contextlib.closing(connection):
            connection.request(method, path, body or None, dict(headers))
            response = connection.getresponse()
            response.data = response.read()
            return response

    def query(self, path, request_id, deadline_ms=2000, **options):
        """Send a request with the headers that the platform's clients set."""
        headers = {
            'Host': 'a.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
        }
        return self.send_request(path, headers, **options)

    def is_ready(self):
        """Return whether the node reports itself ready to the balancer."""
        try:
            return self.send_request('/api/ready', port='ready').status == 200
        except OSError:
            return False

    def wait_until(self, condition):
        """Wait until a condition holds; fail after `HANG_S` seconds."""
        end = time.monotonic() + HANG_S
        while not condition():
            if time.monotonic() > end:
                raise AssertionError(f'timed out; log:\n{self.read_log()}')
            time.sleep(0.02)

    def terminate(self):
        """Send the platform's stop signal."""
        self.send_signal(signal.SIGTERM)
