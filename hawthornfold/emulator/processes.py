"""Starts and ends the processes of an emulated fleet by process id."""

import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import typing

import urllib3

# Range of ports to choose from. It lies below the kernel's range for outgoing
# connections (32768 and up), so that no client socket takes a chosen port
# before its server binds it.
_PORT_RANGE = (12_000, 32_000)


class ProcessFailure(Exception):
    """A process of the fleet failed, or did not start or end in time."""


def pick_ports(count, host='127.0.0.1'):
    """Choose `count` distinct free TCP ports of an address of this machine.

    They are outside of the range that the system gives to connections.

    Examples
    --------
    >>> len(set(pick_ports(5)))
    5
    """
    # Not seeded: concurrent runs on one machine must use different ports.
    source = random.SystemRandom()
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            port = source.randrange(*_PORT_RANGE)
            reserved_socket = stack.enter_context(socket.socket())
            try:
                reserved_socket.bind((host, port))
            except OSError:
                continue
            ports.append(port)
        return ports


def call_json(pool, method, port, path, body=None, timeout_s=5.0):
    """Exchange JSON with a control or caller port on the loopback interface.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Connections to use.
    method, port, path
        Method, port and path of the request.
    body : object, optional
        Sent as JSON; bytes are sent unchanged.
    timeout_s : float
        Limit in seconds for connecting and for each read.

    Returns
    -------
    tuple
        Status and decoded body (None when it is empty or not JSON).

    Raises
    ------
    urllib3.exceptions.HTTPError
        When the exchange fails.
    """
    content = {'body' if isinstance(body, bytes) else 'json': body}
    response = pool.request(
        method,
        f'http://127.0.0.1:{port}{path}',
        **content,
        timeout=timeout_s,
        retries=False,
        redirect=False,
    )
    try:
        return response.status, response.json() if response.data else None
    except ValueError:
        return response.status, None


def create_pool(connections=8):
    """Create a connection pool without retries."""
    return urllib3.PoolManager(
        num_pools=256, maxsize=connections, retries=False
    )


class ProcessSpec(typing.NamedTuple):
    """Name of a process and its arguments after ``python -m``."""

    name: str
    arguments: tuple[str, ...]


class ManagedProcess:
    """A process that can be started again under the same name."""

    def __init__(self, spec, directory):
        self._spec = spec
        self._output = pathlib.Path(directory) / f'{spec.name}.log'
        self._process = None
        self._ended_processor_s = 0.0

    @property
    def name(self):
        """Name of the process."""
        return self._spec.name

    @property
    def pid(self):
        """Process id of the latest start."""
        return self._process.pid

    @property
    def output_path(self):
        """Path of the file with the output of all starts."""
        return self._output

    def is_running(self):
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start the process; raise `ProcessFailure` when it is running."""
        if self.is_running():
            raise ProcessFailure(f'{self.name} is already running')
        with open(self._output, 'ab') as output:
            # A separate session keeps the terminal's Ctrl-C from reaching
            # the process before the fleet ends it. PYTHONPATH makes it import
            # the same copy of the package as this process.
            self._process = subprocess.Popen(
                [sys.executable, '-m', *self._spec.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
                start_new_session=True,
            )

    def send_signal(self, number):
        """Send a signal if the process is running."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self):
        """Kill the process with SIGKILL and reap it, unless it has ended."""
        if self._process is not None:
            self._save_processor_time()
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    def pause(self):
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def terminate(self, timeout_s=15.0):
        """Stop the process with SIGTERM and return its exit status.

        Raises
        ------
        ProcessFailure
            When the process is still running after `timeout_s` seconds.
        """
        self._save_processor_time()
        self.send_signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s):
        """Wait until the process ends and return its exit status.

        Raises
        ------
        ProcessFailure
            When the process is still running after `timeout_s` seconds.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessFailure(
                f'{self.name} did not end within {timeout_s} s'
            )

    def read_output(self, limit=2000):
        """Return the last `limit` characters of the output."""
        if not self._output.exists():
            return ''
        return self._output.read_text(errors='replace')[-limit:]

    def processor_seconds(self):
        """Return the user and system time used by all starts, in seconds.

        Time that a process uses after `terminate` is called is not counted.
        """
        if not self.is_running():
            return self._ended_processor_s
        return self._ended_processor_s + self._read_processor_time()

    def _save_processor_time(self):
        if self.is_running():
            self._ended_processor_s += self._read_processor_time()

    def _read_processor_time(self):
        try:
            text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        except OSError:
            return 0.0
        # The second field, the command, may contain spaces.
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')


class ProcessGroup:
    """Processes by name; `stop_all` ends all of them."""

    def __init__(self, directory):
        self._directory = directory
        self._processes = {}

    def __getitem__(self, name):
        return self._processes[name]

    def __iter__(self):
        return iter(self._processes.values())

    def add(self, spec):
        """Add and start a process."""
        process = ManagedProcess(spec, self._directory)
        self._processes[spec.name] = process
        process.start()

    def stop_all(self, grace_s=3.0):
        """Stop all processes; kill those that still run after `grace_s` s."""
        for process in self:
            # A paused process handles SIGTERM only after it is resumed.
            process.send_signal(signal.SIGTERM)
            process.resume()
        for process in self:
            if process.is_running():
                with contextlib.suppress(ProcessFailure):
                    process.wait(grace_s)
            process.kill()


@contextlib.contextmanager
def open_process_group(directory):
    """Open a group whose processes all end when the context exits."""
    group = ProcessGroup(directory)
    try:
        yield group
    finally:
        group.stop_all()
