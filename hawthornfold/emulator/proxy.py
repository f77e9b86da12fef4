"""A TCP proxy that injects faults between two ends of a connection.

It passes bytes and knows no protocol, so it serves HTTP and zmq alike. The
control port answers:

* ``GET /control/listeners``: port, open and total connections, fault
* ``PUT /control/listeners/<name>/fault``: fields of `LinkFault`; an empty
  object clears; ``*`` names all listeners
"""

import contextlib
import dataclasses
import socket
import struct
import typing

import cappa
import eventlet
from eventlet import queue
import msgspec

from hawthornfold import clock as clocks
from hawthornfold.emulator import pacing
from hawthornfold.emulator import web

CHUNK_BYTES = 65536

# Chunks in flight in one direction of a connection before reading stops.
MAX_CHUNKS = 256

# With SO_LINGER of zero seconds, close sends a reset.
_RESET = struct.pack('ii', 1, 0)


class LinkSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A listener: its port (0 for any), and ``host:port`` of the target."""

    name: str
    listen: int
    target: str
    seed: int = 1


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of one listener; the defaults pass bytes on at once.

    Parameters
    ----------
    delay_ms, jitter_ms : float
        Fixed and uniformly random delay of each chunk, per direction.
    stall : bool
        Connections that exist when the fault is set pass nothing on for
        good, not even their end; new ones work.
    cut : bool
        Connections are closed and new ones are refused.
    reset : bool
        Connections, new ones included, are ended with a TCP reset.
    one_way : str or None
        Bytes ``to_target``, ``to_client`` or ``both`` are lost. Connections
        that lost bytes are reset when the fault ends, since their stream has
        a gap.
    bandwidth_bytes_per_s : float or None
        Per direction, shared by the listener's connections.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    stall: bool = False
    cut: bool = False
    reset: bool = False
    one_way: typing.Literal['to_target', 'to_client', 'both'] | None = None
    bandwidth_bytes_per_s: float | None = None

    @property
    def is_paced(self):
        """Whether bytes are passed on later than they arrive."""
        return bool(
            self.delay_ms or self.jitter_ms or self.bandwidth_bytes_per_s
        )


class _Pipe:
    """Passes bytes in one direction of one connection."""

    def __init__(self, link, direction, source, sink):
        self._link = link
        self._direction = direction
        self._source = source
        self._sink = sink
        self._chunks = None
        self._due_ms = 0.0
        self._greenlets = [eventlet.spawn(self._read)]

    def kill(self):
        """Stop passing bytes."""
        for thread in self._greenlets:
            thread.kill()

    def _read(self):
        listener = self._link.listener
        while True:
            try:
                data = self._source.recv(CHUNK_BYTES)
            except OSError:
                data = b''
            if self._link.is_stalled:
                return
            fault = listener.fault
            if fault.one_way in (self._direction, 'both'):
                self._link.has_gap = True
            if self._link.has_gap:
                if not data:
                    return
                continue
            if fault.is_paced or self._chunks is not None:
                self._enqueue(data, fault)
            else:
                self._pass(data)
            if not data:
                return

    def _enqueue(self, data, fault):
        if self._chunks is None:
            self._chunks = queue.LightQueue(MAX_CHUNKS)
            self._greenlets.append(eventlet.spawn(self._write))
        listener = self._link.listener
        self._due_ms = listener.plan_ms(
            self._direction, fault, len(data), self._due_ms
        )
        self._chunks.put((self._due_ms, data))

    def _write(self):
        listener = self._link.listener
        while True:
            due_ms, data = self._chunks.get()
            listener.sleep_until(due_ms)
            if self._link.is_stalled:
                return
            self._pass(data)
            if not data:
                return

    def _pass(self, data):
        try:
            if data:
                self._sink.sendall(data)
                return
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            # The other side is gone; its own pipe reads the end.
            data = b''
        self._link.end_direction(self._direction)


class _Link:
    """One proxied connection."""

    def __init__(self, listener, client, target):
        self.listener = listener
        self.is_stalled = False
        self.has_gap = False
        self._sockets = (client, target)
        self._ended = set()
        self._pipes = (
            _Pipe(self, 'to_target', client, target),
            _Pipe(self, 'to_client', target, client),
        )

    def end_direction(self, direction):
        """Note the end of one direction; close after both."""
        self._ended.add(direction)
        if len(self._ended) == 2:
            eventlet.spawn_n(self.close)

    def close(self, reset=False):
        """Close both sockets, by a TCP reset if `reset`."""
        for pipe in self._pipes:
            pipe.kill()
        for sock in self._sockets:
            _close(sock, reset)
        self.listener.forget(self)


class Listener:
    """A listening port and its proxied connections."""

    def __init__(self, spec, clock):
        self._spec = spec
        self._clock = clock
        self._fault = LinkFault()
        self._port = spec.listen
        self._links = set()
        self._accepted = 0
        self._socket = None
        self._acceptor = None
        self._pacers = {
            direction: pacing.create_pacer(f'{spec.seed}/{direction}')
            for direction in ('to_target', 'to_client')
        }

    @property
    def port(self):
        """The listening TCP port."""
        return self._port

    @property
    def fault(self):
        """The fault in force."""
        return self._fault

    def describe(self):
        """Return the state as the control port shows it."""
        return {
            'port': self._port,
            'target': self._spec.target,
            'connections': len(self._links),
            'stalled': sum(link.is_stalled for link in self._links),
            'with_gap': sum(link.has_gap for link in self._links),
            'accepted': self._accepted,
            'fault': self._fault,
        }

    def plan_ms(self, direction, fault, size, previous_ms):
        """Return when a chunk that arrived now is passed on."""
        return self._pacers[direction].schedule_chunk_ms(
            fault, size, self._clock.now_ms(), previous_ms
        )

    def sleep_until(self, due_ms):
        """Suspend the calling greenlet until `due_ms`."""
        left_ms = due_ms - self._clock.now_ms()
        if left_ms > 0:
            self._clock.sleep_ms(left_ms)

    def forget(self, link):
        """Drop a closed connection."""
        self._links.discard(link)

    def start(self):
        """Listen, unless listening already."""
        if self._socket is not None:
            return
        self._socket = eventlet.listen(
            (web.LOOPBACK, self._port), backlog=512, reuse_port=False
        )
        self._port = self._socket.getsockname()[1]
        self._acceptor = eventlet.spawn(self._accept, self._socket)

    def stop(self, reset=False):
        """Refuse new connections and close the existing ones."""
        if self._socket is not None:
            self._acceptor.kill()
            self._socket.close()
            self._socket = None
        self._close_links(reset)

    def set_fault(self, fault):
        """Replace the fault in force and act on open connections."""
        previous, self._fault = self._fault, fault
        if fault.stall:
            for link in self._links:
                link.is_stalled = True
        if previous.one_way and previous.one_way != fault.one_way:
            for link in tuple(self._links):
                if link.has_gap:
                    link.close(reset=True)
        if fault.reset:
            self._close_links(reset=True)
        if fault.cut:
            self.stop()
        else:
            self.start()

    def _close_links(self, reset):
        for link in tuple(self._links):
            link.close(reset)

    def _accept(self, listening):
        while True:
            try:
                client, _ = listening.accept()
            except OSError:
                return
            if self._fault.reset:
                _close(client, True)
                continue
            eventlet.spawn_n(self._connect, client)

    def _connect(self, client):
        host, _, port = self._spec.target.rpartition(':')
        try:
            target = eventlet.connect((host, int(port)))
        except OSError:
            _close(client, True)
            return
        if self._fault.cut or self._fault.reset:
            _close(client, True)
            _close(target, True)
            return
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._accepted += 1
        self._links.add(_Link(self, client, target))


def _close(sock, reset):
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


class ProxyControl:
    """Answers the control port of a proxy process."""

    def __init__(self, listeners):
        self._listeners = listeners

    def respond(self, request):
        """Answer one control request."""
        if (request.method, request.path) == ('GET', '/control/listeners'):
            return web.encode_reply(
                {name: x.describe() for name, x in self._listeners.items()}
            )
        parts = request.path.strip('/').split('/')
        if request.method != 'PUT' or len(parts) != 4 or parts[3] != 'fault':
            return web.refuse_path(request)
        names = tuple(self._listeners) if parts[2] == '*' else (parts[2],)
        if not self._listeners.keys() >= set(names):
            return web.refuse_path(request)
        fault = msgspec.json.decode(request.body or b'{}', type=LinkFault)
        for name in names:
            self._listeners[name].set_fault(fault)
        return web.encode_reply({})


@contextlib.contextmanager
def open_proxy(specs, control_port=0, clock=None):
    """Run listeners; yield the control `HttpServer` and them by name."""
    clock = clock or clocks.create_system_clock()
    listeners = {spec.name: Listener(spec, clock) for spec in specs}
    control = web.HttpServer(ProxyControl(listeners).respond, control_port)
    with contextlib.ExitStack() as stack:
        for server in (*listeners.values(), control):
            server.start()
            stack.callback(server.stop)
        yield control, listeners


@cappa.command(name='proxy')
@dataclasses.dataclass
class ProxyCommand:
    """Run the fault-injection proxy."""

    spec: typing.Annotated[str, cappa.Arg(long=True)]
    control_port: typing.Annotated[int, cappa.Arg(long=True)]

    def __call__(self):
        """Serve until terminated."""
        with open(self.spec, 'rb') as file:
            specs = msgspec.json.decode(file.read(), type=list[LinkSpec])
        with open_proxy(specs, self.control_port) as (control, _):
            web.serve_until_terminated(control.port)
