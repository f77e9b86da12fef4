"""Emulated platform that serves configuration keys and the list of VMs.

The control paths are on the same port:

* ``PUT /control/keys/<name>`` (raw body), ``DELETE /control/keys/<name>``
* ``PUT /control/vms``: JSON list of `platform_state.Vm`
* ``PUT /control/fault``: fields of `platform_state.PlatformFault`
* ``GET /control/reads``: ``{"reads", "peak_per_second", "waiting",
  "peak_waiting", "reads_per_path"}``
* ``GET /control/state``: revision and fault in force
"""

import collections
import contextlib
import urllib.parse

import eventlet
import msgspec

from hawthornfold import clock as clocks
from hawthornfold.emulator import platform_state
from hawthornfold.emulator import web

MAX_WAIT_MS = 60_000.0


class InitialState(msgspec.Struct, forbid_unknown_fields=True):
    """State file; the values of `keys` are documents as strings."""

    keys: dict[str, str] = {}
    vms: list[platform_state.Vm] = []


class ReadMeter:
    """Counts reads per path, the peak reads per second and pending watches."""

    def __init__(self):
        self._reads = collections.Counter()
        self._second = 0
        self._reads_in_second = 0
        self._peak_per_second = 0
        self._pending_watches = 0
        self._peak_pending_watches = 0

    def count_read(self, path, now_ms):
        """Count one read of `path`."""
        self._reads[path] += 1
        second = int(now_ms // 1000)
        if second != self._second:
            self._second, self._reads_in_second = second, 0
        self._reads_in_second += 1
        self._peak_per_second = max(
            self._peak_per_second, self._reads_in_second
        )

    @contextlib.contextmanager
    def track_watch(self):
        """Count a pending watch while the block runs."""
        self._pending_watches += 1
        self._peak_pending_watches = max(
            self._peak_pending_watches, self._pending_watches
        )
        try:
            yield
        finally:
            self._pending_watches -= 1

    def report_counts(self):
        """Return the counts."""
        return {
            'reads': sum(self._reads.values()),
            'reads_per_path': self._reads,
            'peak_per_second': self._peak_per_second,
            'waiting': self._pending_watches,
            'peak_waiting': self._peak_pending_watches,
        }


class Platform:
    """Serves reads, watches and control requests."""

    def __init__(self, state, clock):
        self._state = state
        self._clock = clock
        self._fault = platform_state.PlatformFault()
        self._meter = ReadMeter()
        self._watches = set()
        self._held_connections = set()

    def handle_request(self, request):
        """Return the reply to one request, as the fault in force allows."""
        if request.path.startswith('/control/'):
            return self._handle_control(request)
        if self._fault.down:
            raise web.ConnectionAborted
        self._meter.count_read(request.path, self._clock.now_ms())
        if self._fault.hang:
            self._hold_connection(request.connection)
        if self._fault.delay_ms:
            eventlet.sleep(self._fault.delay_ms / 1000.0)
        if request.path == '/v1/keys':
            return self._watch_keys(request)
        if request.path == '/v1/vms':
            now_ms = self._clock.now_ms()
            lag_ms = self._fault.vm_lag_ms
            return web.encode_reply(self._state.read_vms(now_ms, lag_ms))
        return web.encode_not_found(request)

    def _watch_keys(self, request):
        since = int(request.query.get('since', 0))
        wait_ms = min(float(request.query.get('wait_ms', 0)), MAX_WAIT_MS)
        due_ms = self._clock.now_ms() + wait_ms
        with self._meter.track_watch():
            while True:
                if self._fault.down:
                    raise web.ConnectionAborted
                if self._fault.hang:
                    self._hold_connection(request.connection)
                changes = self._state.read_keys(
                    since, self._fault.stale_revision
                )
                remaining_ms = due_ms - self._clock.now_ms()
                if changes['keys'] or remaining_ms <= 0:
                    return web.encode_reply(changes)
                self._watches.add(request.connection)
                try:
                    event = request.connection.wait(remaining_ms / 1000.0)
                finally:
                    self._watches.discard(request.connection)
                if event == 'closed':
                    raise web.ConnectionAborted

    def _hold_connection(self, connection):
        """Send no answer; close the connection when the fault ends."""
        self._held_connections.add(connection)
        try:
            while connection.wait() != 'closed':
                pass
        finally:
            self._held_connections.discard(connection)
        raise web.ConnectionAborted

    def _handle_control(self, request):
        action = (request.method, request.path)
        if action == ('GET', '/control/reads'):
            return web.encode_reply(self._meter.report_counts())
        if action == ('GET', '/control/state'):
            state = {'revision': self._state.revision, 'fault': self._fault}
            return web.encode_reply(state)
        if action == ('PUT', '/control/vms'):
            vms = msgspec.json.decode(
                request.body, type=list[platform_state.Vm]
            )
            self._state.put_vms(vms, self._clock.now_ms())
            return web.encode_reply({})
        if action == ('PUT', '/control/fault'):
            self._set_fault(
                msgspec.json.decode(
                    request.body or b'{}', type=platform_state.PlatformFault
                )
            )
            return web.encode_reply({})
        prefix = '/control/keys/'
        if not request.path.startswith(prefix):
            return web.encode_not_found(request)
        if request.method not in ('PUT', 'DELETE'):
            return web.encode_not_found(request)
        name = urllib.parse.unquote(request.path[len(prefix) :])
        value = request.body.decode() if request.method == 'PUT' else None
        self._state.put_key(name, value)
        self._wake_watches()
        return web.encode_reply({'revision': self._state.revision})

    def _set_fault(self, fault):
        self._fault = fault
        self._wake_watches()
        if not fault.hang:
            for connection in tuple(self._held_connections):
                connection.close()

    def _wake_watches(self):
        for connection in tuple(self._watches):
            connection.wake()


@contextlib.contextmanager
def open_platform(port=0, initial=None, clock=None):
    """Run the platform while the block runs; yield its `HttpServer`."""
    clock = clock or clocks.create_system_clock()
    state = platform_state.create_platform_state(clock.now_ms())
    initial = initial or InitialState()
    for name, value in initial.keys.items():
        state.put_key(name, value)
    if initial.vms:
        state.put_vms(initial.vms, clock.now_ms())
    server = web.HttpServer(Platform(state, clock).handle_request, port)
    server.start()
    try:
        yield server
    finally:
        server.stop()


def run_platform(port, state_path):
    """Run the platform until the process is terminated."""
    initial = None
    if state_path is not None:
        with open(state_path, 'rb') as file:
            initial = msgspec.json.decode(file.read(), type=InitialState)
    with open_platform(port, initial) as server:
        web.serve_until_terminated(server.port)
