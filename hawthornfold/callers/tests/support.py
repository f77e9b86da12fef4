import contextlib
import json
import queue
import socket
import threading
import types
import typing

import eventlet

from hawthornfold.audit import create_audit_trail
from hawthornfold.callers.application import create_caller_application
from hawthornfold.callers.requests import CallerAnswer
from hawthornfold.callers.server import serve_application
from hawthornfold.clock import create_system_clock
from hawthornfold.metrics import create_metrics
from hawthornfold.nodes.lifecycle import create_lifecycle
from hawthornfold.settings.schema import CallerSettings

# Time after which a test that hangs fails. No assertion depends on it.
HANG_S = 20.0


class Answer(typing.NamedTuple):
    status: int
    fields: dict
    document: typing.Any


class Caller:
    """A caller's connection to the server."""

    def __init__(self, port):
        self.socket = socket.create_connection(('127.0.0.1', port), HANG_S)
        self._stream = self.socket.makefile('rb')

    def read(self, has_body=True):
        """Return the next answer; None if the connection has ended."""
        line = self._stream.readline()
        if not line:
            return None
        assert line.startswith(b'HTTP/1.1 '), line
        fields = {}
        while (field := self._stream.readline()) != b'\r\n':
            name, value = field.decode('latin-1').split(':', 1)
            assert name.lower() not in fields, f'{name} is sent twice'
            fields[name.lower()] = value.strip()
        length = int(fields.get('content-length', 0)) * has_body
        body = self._stream.read(length)
        assert len(body) == length
        return Answer(int(line.split()[1]), fields, json.loads(body or '{}'))

    def read_all(self):
        return list(iter(self.read, None))

    def close(self):
        self._stream.close()
        self.socket.close()


class Server:
    """The real server, in a thread with its own event loop.

    Its handler answers with the request's body. If the body is ``hold``, it
    first waits for `release`; if it is ``fault``, it raises an error.
    """

    def __init__(self, **limits):
        with socket.create_server(('127.0.0.1', 0)) as probe:
            self.port = probe.getsockname()[1]
        self.started, self.release = threading.Event(), threading.Event()
        self.metrics = create_metrics()
        audit = create_audit_trail(create_system_clock())
        self.lifecycle = create_lifecycle(audit, lambda: True)
        settings = CallerSettings(self.port, **limits)
        self.settings = types.SimpleNamespace(callers=settings)
        self._commands = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self.call(lambda stop: eventlet.sleep(0)).wait(HANG_S)

    def handle(self, request):
        text = request.body.decode('latin-1')
        if text == 'fault':
            raise ValueError('a fault in the handler')
        if text == 'hold':
            self.started.set()
            while not self.release.is_set():
                eventlet.sleep(0.002)
        return CallerAnswer(200, {'echo': text})

    def _run(self):
        application = create_caller_application(self, self)
        with serve_application(
            '127.0.0.1', self.port, application, self.settings.callers
        ) as stop_accepting:
            while True:
                while self._commands.empty():
                    eventlet.sleep(0.002)
                command, done = self._commands.get()
                if command is None:
                    return
                command(stop_accepting)
                done.set()

    def call(self, command):
        """Run ``command(stop_accepting)`` in the event loop.

        Returns an event that is set when the command has ended.
        """
        done = threading.Event()
        self._commands.put((command, done))
        return done

    def ask(self, data, end=False):
        """Send bytes on a new connection; return all answers until it ends.

        With `end`, the caller closes its sending side after the bytes.
        """
        with contextlib.closing(Caller(self.port)) as caller:
            with contextlib.suppress(ConnectionError):
                caller.socket.sendall(data)
                if end:
                    caller.socket.shutdown(socket.SHUT_WR)
            return caller.read_all()

    def close(self):
        self.call(None)
        self._thread.join(HANG_S)


def create_post(body, *lines):
    """Return the bytes of a query with `body` and extra header lines."""
    lines = ['POST /v1/query HTTP/1.1', *lines, f'Content-Length: {len(body)}']
    return '\r\n'.join([*lines, '', '']).encode() + body
