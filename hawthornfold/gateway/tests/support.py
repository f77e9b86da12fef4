"""Scripted backend servers for tests, over real sockets."""

import contextlib
import socket
import struct
import threading
import typing

import eventlet
import eventlet.event

from hawthornfold.clock import create_system_clock
from hawthornfold.gateway.response_bounds import create_response_bounds
from hawthornfold.metrics import create_metrics

# Timeout that only ends tests that hang; no assertion depends on it.
HANG_S = 20.0


def create_bounds(memory_bytes=200 << 20, metrics=None):
    """Create the bounds of a node with some memory."""
    return create_response_bounds(
        memory_bytes, create_system_clock(), metrics or create_metrics()
    )


def wait_for_callback(start):
    """Return the arguments of the callback that is passed to `start`."""
    event = eventlet.event.Event()
    start(lambda *arguments: event.send(arguments))
    with eventlet.Timeout(HANG_S):
        return event.wait()


def wait_until(condition):
    """Let the event loop run until a condition holds."""
    with eventlet.Timeout(HANG_S):
        while not condition():
            eventlet.sleep(0.005)


class Received(typing.NamedTuple):
    method: str
    target: str
    headers: dict
    body: bytes


def read_request(stream, reads_body=True):
    """Return the next request of a connection, or None at its end."""
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    headers = {}
    while (field := stream.readline()) not in (b'\r\n', b''):
        name, _, value = field.decode('latin-1').partition(':')
        headers[name.lower()] = value.strip()
    length = int(headers.get('content-length', 0)) if reads_body else 0
    body = stream.read(length)
    return Received(method, target, headers, body)


def create_answer(request, body=b'x' * 16, status=200, **headers):
    """Return the bytes of a valid answer, changed by the arguments.

    A header whose value is None is left out.
    """
    fields = {
        'X-Request-Id': request.headers['x-request-id'],
        'X-Seal': 'seal-' + request.headers.get('x-target-server', ''),
        'Content-Length': str(len(body)),
    }
    fields.update({k.replace('_', '-'): v for k, v in headers.items()})
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{k}: {v}' for k, v in fields.items() if v is not None]
    return '\r\n'.join([*lines, '', '']).encode() + body


def reset(connection):
    """Close a connection with a reset."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    connection.close()


class ScriptedServer:
    """A backend server whose behaviour is a function.

    ``script(connection, request, number)`` is called for each request of a
    connection and returns whether the connection stays open.
    """

    def __init__(self, script):
        self._script = script
        self._listener = socket.create_server(('127.0.0.1', 0))
        port = self._listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.requests = []
        self.connection_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        connection.settimeout(HANG_S)
        with connection, connection.makefile('rb') as stream:
            with contextlib.suppress(OSError):
                number = 0
                while (request := read_request(stream)) is not None:
                    self.requests.append(request)
                    if not self._script(connection, request, number):
                        return
                    number += 1

    def close(self):
        """Stop accepting connections."""
        self._listener.close()


def answer_correctly(connection, request, number):
    """Script of a server that answers every request correctly."""
    connection.sendall(create_answer(request))
    return True
