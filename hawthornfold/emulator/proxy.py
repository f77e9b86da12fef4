"""A TCP proxy that injects faults between the two ends of a connection.

It forwards bytes and parses no protocol, so it works for HTTP and zmq.
The control port serves:

* ``GET /control/listeners``: port, open and total connections, fault
* ``PUT /control/listeners/<name>/fault``: fields of `LinkFault`; an empty
  object clears all faults; the name ``*`` selects all listeners
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

# Maximum number of delayed chunks in one direction of a connection; the proxy
# stops reading beyond it.
MAX_QUEUED_CHUNKS = 256

# SO_LINGER of zero seconds, which makes close() send a TCP reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)


class LinkSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A listener: its port (0 for any) and the ``host:port`` of its target."""

    name: str
    listen: int
    target: str
    seed: int = 1


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of one listener; the defaults forward bytes without delay.

    Parameters
    ----------
    delay_ms, jitter_ms : float
        Fixed delay of each chunk per direction, and the maximum of a uniformly
        random delay on top of it.
    stall : bool
        Connections that are open when the fault is set forward nothing from
        then on, not even a close, also after the fault has been cleared. New
        connections work.
    cut : bool
        Open connections are closed and new ones are refused.
    reset : bool
        Open and new connections are closed with a TCP reset.
    one_way : str or None
        Direction whose bytes are dropped: ``to_target``, ``to_client`` or
        ``both``. Connections that lost bytes are reset when the fault ends,
        since their stream has a gap.
    bandwidth_bytes_per_s : float or None
        Bandwidth per direction, shared by all connections of the listener.
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
        """Whether the proxy forwards bytes later than they arrive."""
        return bool(
            self.delay_ms or self.jitter_ms or self.bandwidth_bytes_per_s
        )


class _Pipe:
    """Forwards bytes in one direction of one connection."""

    def __init__(self, link, direction, source, sink):
        self._link = link
        self._direction = direction
        self._source = source
        self._sink = sink
        self._chunks = None
        self._due_ms = 0.0
        self._greenlets = [eventlet.spawn(self._forward_chunks)]

    def kill(self):
        """Stop forwarding bytes."""
        for thread in self._greenlets:
            thread.kill()

    def _forward_chunks(self):
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
                self._send(data)
            if not data:
                return

    def _enqueue(self, data, fault):
        if self._chunks is None:
            self._chunks = queue.LightQueue(MAX_QUEUED_CHUNKS)
            self._greenlets.append(eventlet.spawn(self._send_queued))
        listener = self._link.listener
        self._due_ms = listener.schedule_chunk_ms(
            self._direction, fault, len(data), self._due_ms
        )
        self._chunks.put((self._due_ms, data))

    def _send_queued(self):
        listener = self._link.listener
        while True:
            due_ms, data = self._chunks.get()
            listener.sleep_until(due_ms)
            if self._link.is_stalled:
                return
            self._send(data)
            if not data:
                return

    def _send(self, data):
        try:
            if data:
                self._sink.sendall(data)
                return
            self._sink.shutdown(socket.SHUT_WR)
        except OSError:
            # The receiving side has closed. The pipe of the other direction
            # reads that end of the stream.
            data = b''
        self._link.end_direction(self._direction)


class _Link:
    """One proxied connection."""

    def __init__(self, listener, client, target):
        self.listener = listener
        self.is_stalled = False
        self.has_gap = False
        self._sockets = (client, target)
        self._ended_directions = set()
        self._pipes = (
            _Pipe(self, 'to_target', client, target),
            _Pipe(self, 'to_client', target, client),
        )

    def end_direction(self, direction):
        """Record the end of one direction; close once both have ended."""
        self._ended_directions.add(direction)
        if len(self._ended_directions) == 2:
            eventlet.spawn_n(self.close)

    def close(self, reset=False):
        """Close both sockets, with a TCP reset if `reset` is true."""
        for pipe in self._pipes:
            pipe.kill()
        for sock in self._sockets:
            _close_socket(sock, reset)
        self.listener.remove_link(self)


class Listener:
    """A listening port and its proxied connections."""

    def __init__(self, spec, clock):
        self._spec = spec
        self._clock = clock
        self._fault = LinkFault()
        self._port = spec.listen
        self._links = set()
        self._accepted_count = 0
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
        """Return the state that the control port reports."""
        return {
            'port': self._port,
            'target': self._spec.target,
            'connections': len(self._links),
            'stalled': sum(link.is_stalled for link in self._links),
            'with_gap': sum(link.has_gap for link in self._links),
            'accepted': self._accepted_count,
            'fault': self._fault,
        }

    def schedule_chunk_ms(self, direction, fault, size, previous_ms):
        """Return when to forward a chunk that arrives now, in ms."""
        return self._pacers[direction].schedule_chunk_ms(
            fault, size, self._clock.now_ms(), previous_ms
        )

    def sleep_until(self, due_ms):
        """Suspend the calling greenlet until `due_ms`."""
        remaining_ms = due_ms - self._clock.now_ms()
        if remaining_ms > 0:
            self._clock.sleep_ms(remaining_ms)

    def remove_link(self, link):
        """Remove a closed connection."""
        self._links.discard(link)

    def start(self):
        """Start to listen, unless already listening."""
        if self._socket is not None:
            return
        self._socket = eventlet.listen(
            (web.LOOPBACK, self._port), backlog=512, reuse_port=False
        )
        self._port = self._socket.getsockname()[1]
        self._acceptor = eventlet.spawn(self._accept_connections, self._socket)

    def stop(self, reset=False):
        """Refuse new connections and close the existing ones."""
        if self._socket is not None:
            self._acceptor.kill()
            self._socket.close()
            self._socket = None
        self._close_links(reset)

    def set_fault(self, fault):
        """Replace the fault in force and apply it to open connections."""
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

    def _accept_connections(self, listening):
        while True:
            try:
                client, _ = listening.accept()
            except OSError:
                return
            if self._fault.reset:
                _close_socket(client, True)
                continue
            eventlet.spawn_n(self._connect_target, client)

    def _connect_target(self, client):
        host, _, port = self._spec.target.rpartition(':')
        try:
            target = eventlet.connect((host, int(port)))
        except OSError:
            _close_socket(client, True)
            return
        if self._fault.cut or self._fault.reset:
            _close_socket(client, True)
            _close_socket(target, True)
            return
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._accepted_count += 1
        self._links.add(_Link(self, client, target))


def _close_socket(sock, reset):
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    sock.close()


class ProxyControl:
    """Handles the requests to the control port of the proxy."""

    def __init__(self, listeners):
        self._listeners = listeners

    def handle_request(self, request):
        """Return the reply to one control request."""
        if (request.method, request.path) == ('GET', '/control/listeners'):
            return web.encode_reply(
                {
                    name: listener.describe()
                    for name, listener in self._listeners.items()
                }
            )
        parts = request.path.strip('/').split('/')
        if request.method != 'PUT' or len(parts) != 4 or parts[3] != 'fault':
            return web.encode_not_found(request)
        names = tuple(self._listeners) if parts[2] == '*' else (parts[2],)
        if not self._listeners.keys() >= set(names):
            return web.encode_not_found(request)
        fault = msgspec.json.decode(request.body or b'{}', type=LinkFault)
        for name in names:
            self._listeners[name].set_fault(fault)
        return web.encode_reply({})


@contextlib.contextmanager
def open_proxy(specs, control_port=0, clock=None):
    """Run listeners while the block runs.

    Yields
    ------
    tuple of (HttpServer, dict of str to Listener)
        The server of the control port, and the listeners by name.
    """
    clock = clock or clocks.create_system_clock()
    listeners = {spec.name: Listener(spec, clock) for spec in specs}
    control = web.HttpServer(
        ProxyControl(listeners).handle_request, control_port
    )
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
        """Serve until the process is terminated."""
        with open(self.spec, 'rb') as file:
            specs = msgspec.json.decode(file.read(), type=list[LinkSpec])
        with open_proxy(specs, self.control_port) as (control, _):
            web.serve_until_terminated(control.port)
