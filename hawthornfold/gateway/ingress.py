"""Serves callers over HTTP: reads whole requests and writes whole answers."""

import contextlib
import socket

import eventlet
from eventlet import hubs

from hawthornfold.callers.protocol import CLOSE_KEY
from hawthornfold.callers.protocol import HAS_INPUT_KEY
from hawthornfold.callers.protocol import CallerProtocol
from hawthornfold.callers.streams import BoundedFraming
from hawthornfold.clock import create_system_clock
from hawthornfold.codes import ResultCode
from hawthornfold.gateway.answers import create_refusal
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.request_bodies import FREE_BYTES
from hawthornfold.gateway.request_bodies import NO_MEMORY
from hawthornfold.gateway.request_bodies import READ_SHARE
from hawthornfold.gateway.request_bodies import RETRY_AFTER_MS
from hawthornfold.gateway.request_bodies import end_input
from hawthornfold.gateway.request_bodies import read_request_body
from hawthornfold.gateway.revocations import RevocationReporter
from hawthornfold.gathering import estimate_travel_ms
from hawthornfold.sockets import ReadBudgetError
from hawthornfold.sockets import create_read_budget
from hawthornfold.sockets import read_round_trip_ms

# Keys of the WSGI environment.
HEADERS_KEY = 'hawthornfold.headers'
TARGET_KEY = 'hawthornfold.target'
SOCKET_KEY = 'hawthornfold.socket'
ARRIVED_KEY = 'hawthornfold.arrived_ms'
# When the connection was accepted if this is its first request, else None.
ACCEPTED_KEY = 'hawthornfold.accepted_ms'
# Function that takes a function to call when the answer has been sent.
ON_SENT_KEY = 'hawthornfold.on_sent'

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
        self._read_budget = create_read_budget(
            0, RevocationReporter('requests', create_system_clock())
        )

    @property
    def read_budget(self):
        """The `ReadBudget` of all requests that are being read."""
        memory_bytes = self._state.settings.memory_bytes
        self._read_budget.set_limit(int(memory_bytes * READ_SHARE))
        return self._read_budget

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
    _on_sent = None
    _head_reservation = None

    def setup(self):
        """Prepare the connection and record when it was accepted."""
        self._accepted_ms = self._port.clock.now_ms()
        super().setup()

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
        with contextlib.ExitStack() as self._head_stack:
            try:
                is_valid = super().parse_request()
            except ReadBudgetError:
                is_valid = self._refuse(ResultCode.OVERLOADED, '') or False
        self._head_reservation = None
        if is_valid:
            # The body may take as long as the idle timeout.
            self._stream.start_time_limit(self._limits.idle_timeout_ms)
        return is_valid

    def _reserve_head(self, size_bytes):
        if size_bytes <= FREE_BYTES:
            return
        if self._head_reservation is None:
            self._head_reservation = self._head_stack.enter_context(
                self._limits.read_budget.reserve(
                    lambda: end_input(self.connection)
                )
            )
        self._head_reservation.resize(size_bytes)

    def _refuse(self, code, detail, status=None):
        reservation = self._head_reservation
        if reservation is not None and reservation.is_revoked:
            # The head is incomplete because the node has ended its input.
            code, detail, status = ResultCode.OVERLOADED, NO_MEMORY, None
        return super()._refuse(code, detail, status)

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        request_input = environ['wsgi.input']
        if request_input.chunked_input:
            request_input.rfile = BoundedFraming(request_input.rfile)
        environ[HEADERS_KEY] = tuple(self.headers.items())
        environ[TARGET_KEY] = self.path
        environ[SOCKET_KEY] = self.connection
        environ[ARRIVED_KEY] = self._arrived_ms
        environ[ACCEPTED_KEY] = (
            self._accepted_ms if self._request_count == 1 else None
        )
        environ[ON_SENT_KEY] = self._set_on_sent
        return environ

    def _set_on_sent(self, function):
        self._on_sent = function

    def _end_request(self):
        on_sent, self._on_sent = self._on_sent, None
        if on_sent is not None:
            on_sent()
        super()._end_request()


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
        outcome = read_request_body(
            environ['wsgi.input'],
            environ.get('CONTENT_LENGTH'),
            self._limits.max_body_bytes,
            self._limits.read_budget,
            lambda: end_input(environ[SOCKET_KEY]),
        )
        if outcome.is_err():
            environ[CLOSE_KEY]()
            return self._refuse(outcome.err_value, start_response)
        body = outcome.ok_value
        headers = environ[HEADERS_KEY]
        host = environ.get('HTTP_HOST', '').strip().lower()
        arrived_ms, travel_ms = self._estimate_travel(environ)
        incoming = IncomingRequest(
            environ['REQUEST_METHOD'],
            environ[TARGET_KEY],
            host.partition(':')[0],
            headers,
            body,
            arrived_ms,
            travel_ms,
        )
        answer = self._handler.handle(
            incoming,
            lambda notify: _watch_caller(environ[SOCKET_KEY], notify),
        )
        if answer is None:
            environ[CLOSE_KEY]()
            raise ConnectionAbortedError('the caller has disconnected')
        # Requests that the caller has sent already are answered first.
        if self._state.is_stopping and not environ[HAS_INPUT_KEY]():
            environ[CLOSE_KEY]()
        environ[ON_SENT_KEY](lambda: self._handler.record_sent(answer))
        length = [('Content-Length', str(len(answer.body)))]
        start_response(answer.status_line, list(answer.headers) + length)
        return [answer.body]

    def _refuse(self, refusal, start_response):
        code = str(int(refusal.code))
        self.count('caller_refusals', code=code)
        answer = create_refusal(
            refusal.code, refusal.status, refusal.detail, RETRY_AFTER_MS
        )
        length = [('Content-Length', str(len(answer.body)))]
        start_response(answer.status_line, list(answer.headers) + length)
        return [answer.body]

    def _estimate_travel(self, environ):
        """Return when a request arrived, and the network time of its answer.

        The first request of a connection arrives a round trip after the
        connection. A busy node reads it later.

        Returns
        -------
        tuple of float
            Time on the node's clock, and milliseconds.
        """
        arrived_ms = environ[ARRIVED_KEY]
        accepted_ms = environ[ACCEPTED_KEY]
        round_trip_ms = read_round_trip_ms(environ[SOCKET_KEY])
        if round_trip_ms is None:
            return arrived_ms, self._state.settings.travel_ms
        if accepted_ms is not None:
            arrived_ms = min(arrived_ms, accepted_ms + round_trip_ms)
        return arrived_ms, estimate_travel_ms(
            round_trip_ms, accepted_ms is not None
        )


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
