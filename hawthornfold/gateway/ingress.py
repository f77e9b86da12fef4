"""Serves callers over HTTP: reads whole requests and writes whole answers."""

import contextlib
import socket

import eventlet
from eventlet import hubs

from hawthornfold.callers.protocol import CLOSE_KEY
from hawthornfold.callers.protocol import CallerProtocol
from hawthornfold.codes import ResultCode
from hawthornfold.gateway.handler import IncomingRequest
from hawthornfold.gathering import estimate_travel_ms
from hawthornfold.sockets import read_round_trip_ms

# Keys of the WSGI environment.
HEADERS_KEY = 'hawthornfold.headers'
TARGET_KEY = 'hawthornfold.target'
SOCKET_KEY = 'hawthornfold.socket'
ARRIVED_KEY = 'hawthornfold.arrived_ms'
IS_NEW_KEY = 'hawthornfold.is_new_connection'

# Limits until the node has a configuration.
_DEFAULT_HEAD_BYTES = 16_384
_DEFAULT_BODY_BYTES = 262_144
_DEFAULT_HEAD_TIMEOUT_MS = 3_000.0
_DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
_MAX_HEADERS = 128
_MAX_CONNECTIONS_PER_ADDRESS = 2_048


class IngressLimits:
    """The limits for callers from the configuration in force."""

    max_headers = _MAX_HEADERS
    max_connections_per_address = _MAX_CONNECTIONS_PER_ADDRESS

    def __init__(self, state):
        self._state = state

    @property
    def max_head_bytes(self):
        """Maximum size of request line and headers together."""
        return self._read('max_head_bytes', _DEFAULT_HEAD_BYTES)

    @property
    def max_body_bytes(self):
        """Maximum size of a request body."""
        return self._read('max_body_bytes', _DEFAULT_BODY_BYTES)

    @property
    def read_timeout_ms(self):
        """Time in which a caller has to send request line and headers."""
        return self._read('head_timeout_ms', _DEFAULT_HEAD_TIMEOUT_MS)

    @property
    def idle_timeout_ms(self):
        """Maximum time that a connection waits for its next request."""
        return self._read('idle_timeout_ms', _DEFAULT_IDLE_TIMEOUT_MS)

    def _read(self, name, default):
        configuration = self._state.configuration
        if configuration is None:
            return default
        return getattr(configuration.limits, name)


class GatewayProtocol(CallerProtocol):
    """A caller's connection that preserves requests as they were sent."""

    _request_count = 0
    _arrived_ms = 0.0

    def begin_request(self):
        """Count the request as in progress, so that a stop waits for it."""
        self._request_count += 1
        self._arrived_ms = self._port.clock.now_ms()
        super().begin_request()

    def _check_transfer_encoding(self):
        encodings = self.headers.get_all('Transfer-Encoding', [])
        is_chunked = [e.strip().lower() for e in encodings] == ['chunked']
        if is_chunked and 'Content-Length' not in self.headers:
            return True
        # A body whose end is given in two ways allows request smuggling.
        self._refuse(
            ResultCode.REQUEST_MALFORMED,
            'the body has to be chunked, or to have a length',
        )
        return False

    def parse_request(self):
        """Read and check the head; return False if it was refused."""
        is_valid = super().parse_request()
        if is_valid:
            # The body may take as long as the idle timeout.
            self._stream.start_time_limit(self._limits.idle_timeout_ms)
        return is_valid

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[HEADERS_KEY] = tuple(self.headers.items())
        environ[TARGET_KEY] = self.path
        environ[SOCKET_KEY] = self.connection
        environ[ARRIVED_KEY] = self._arrived_ms
        environ[IS_NEW_KEY] = self._request_count == 1
        return environ


class GatewayApplication:
    """WSGI application that passes whole requests to a `GatewayHandler`."""

    def __init__(self, handler, state, clock, metrics, limits):
        self._handler = handler
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._limits = limits
        self._in_progress = 0

    @property
    def in_progress(self):
        """Number of requests from first byte to the end of their answer."""
        return self._in_progress

    @contextlib.contextmanager
    def track_request(self):
        """Count a request in progress while the context is active."""
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1

    def count(self, name, **labels):
        """Add 1 to a counter."""
        self._metrics.count(name, **labels)

    def __call__(self, environ, start_response):
        """Answer one request according to WSGI."""
        body = self._read_body(environ)
        if body is None:
            environ[CLOSE_KEY]()
            start_response('413 Content Too Large', [('Content-Length', '0')])
            return [b'']
        headers = environ[HEADERS_KEY]
        host = environ.get('HTTP_HOST', '').strip().lower()
        incoming = IncomingRequest(
            environ['REQUEST_METHOD'],
            environ[TARGET_KEY],
            host.partition(':')[0],
            headers,
            body,
            environ[ARRIVED_KEY],
            self._estimate_travel(environ),
        )
        answer = self._handler.handle(
            incoming,
            lambda notify: _watch_caller(environ[SOCKET_KEY], notify),
        )
        if answer is None:
            environ[CLOSE_KEY]()
            raise ConnectionAbortedError('the caller has disconnected')
        if self._state.is_stopping:
            environ[CLOSE_KEY]()
        length = [('Content-Length', str(len(answer.body)))]
        start_response(answer.status_line, list(answer.headers) + length)
        return [answer.body]

    def _estimate_travel(self, environ):
        round_trip_ms = read_round_trip_ms(environ[SOCKET_KEY])
        if round_trip_ms is None:
            return self._state.settings.travel_ms
        return estimate_travel_ms(round_trip_ms, environ[IS_NEW_KEY])

    def _read_body(self, environ):
        """Return the whole body, or None if it is too large.

        Raises
        ------
        OSError
            If the caller disconnected or the framing is invalid.
        """
        stream = environ['wsgi.input']
        limit = self._limits.max_body_bytes
        body = stream.read(limit + 1)
        if len(body) > limit:
            return None
        expected = environ.get('CONTENT_LENGTH')
        if expected and len(body) < int(expected):
            raise ConnectionAbortedError('the body ended early')
        return body


@contextlib.contextmanager
def _watch_caller(connection, notify):
    """Call `notify` if the caller disconnects while the context is active."""
    watcher = eventlet.spawn(_wait_for_close, connection, notify)
    try:
        yield
    finally:
        watcher.kill()


def _wait_for_close(connection, notify):
    """Wait until the connection is readable; notify if it was closed."""
    try:
        hubs.trampoline(connection.fileno(), read=True)
        raw = getattr(connection, 'fd', connection)
        data = raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        notify()
        return
    # Bytes of the next request stay unread until this one is answered.
    if not data:
        notify()
