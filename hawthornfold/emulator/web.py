"""HTTP servers of the emulator, with control over single connections.

`eventlet.wsgi` serves the requests. The accept loop is implemented here,
because an emulated backend server counts, delays, refuses, stalls and closes
single connections.
"""

import signal
import socket
import typing
import urllib.parse

import eventlet
from eventlet import hubs
from eventlet import wsgi
from eventlet.green import socket as green_socket
import greenlet
import msgspec

from hawthornfold.emulator import web_protocol

LOOPBACK = '127.0.0.1'
MAX_BODY_BYTES = 4 << 20

_STATUSES = {
    200: '200 OK',
    400: '400 Bad Request',
    404: '404 Not Found',
    409: '409 Conflict',
    503: '503 Service Unavailable',
}


class Request(typing.NamedTuple):
    """A parsed request; a repeated name in `query` keeps its last value."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    connection: 'Connection'


class Reply(typing.NamedTuple):
    """Response of an application.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        JSON text.
    headers : tuple of (str, str)
        Response headers in addition to Content-Type and Content-Length.
    extra_length : int
        Added to the declared Content-Length. If it is not 0, the connection is
        closed after the body, so that the client receives a truncated reply.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    extra_length: int = 0


class ConnectionAborted(Exception):
    """Raised by an application to close the connection without a reply."""


class Connection:
    """An accepted connection.

    Parameters
    ----------
    sock : eventlet.greenio.GreenSocket
        The accepted socket.
    number : int
        Sequence number of the connection at its server, from 1.

    Attributes
    ----------
    is_stalled : bool
        Set by the stall fault: the server answers no further request.
    pending_response : bytes
        Raw response to send in front of the next one.
    """

    def __init__(self, sock, number):
        self.number = number
        self.is_stalled = False
        self.pending_response = b''
        self._socket = sock
        self._waiting_greenlet = None
        self._is_woken = False

    def wait(self, timeout_s=None):
        """Suspend until the client closes, `wake` is called, or a timeout.

        Bytes of a pipelined request do not end the wait, but they end the
        watch on the socket; a later close is then not noticed.

        Returns
        -------
        str
            ``closed``, ``woken`` or ``timeout``.
        """
        if self._is_woken:
            self._is_woken = False
            return 'woken'
        hub = hubs.get_hub()
        self._waiting_greenlet = greenlet.getcurrent()
        timer = None
        if timeout_s is not None:
            timer = hub.schedule_call_global(
                max(timeout_s, 0.0), self._waiting_greenlet.switch, 'timeout'
            )
        listener = hub.add(
            hub.READ,
            self._socket.fileno(),
            self._waiting_greenlet.switch,
            self._waiting_greenlet.throw,
            _ignore_close,
        )
        try:
            while True:
                cause = hub.switch()
                if cause in ('timeout', 'woken'):
                    return cause
                hub.remove(listener)
                listener = None
                if self._is_closed_by_client():
                    return 'closed'
        finally:
            self._waiting_greenlet = None
            self._is_woken = False
            if timer is not None:
                timer.cancel()
            if listener is not None:
                hub.remove(listener)

    def wake(self):
        """End the current or next `wait`; called from another greenlet."""
        self._is_woken = True
        hubs.get_hub().schedule_call_global(0, self._resume)

    def send_pending_response(self):
        """Send `pending_response`, if any."""
        data, self.pending_response = self.pending_response, b''
        if data:
            self._socket.sendall(data)

    def close(self):
        """Shut down both directions; the greenlet that serves it closes it.

        A request that has arrived but has not been read is not served.
        """
        self.is_stalled = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _resume(self):
        # The wait may have ended since `wake` scheduled this call.
        if self._is_woken and self._waiting_greenlet is not None:
            self._waiting_greenlet.switch('woken')

    def _is_closed_by_client(self):
        try:
            return self._socket.fd.recv(1, socket.MSG_PEEK) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True


def _ignore_close():
    """Do nothing: only the greenlet that serves a connection closes it."""


class HttpServer:
    """An HTTP server on one loopback port.

    Parameters
    ----------
    application : callable
        Takes a `Request` and returns a `Reply`; may raise
        `ConnectionAborted`.
    port : int
        0 for any free port; the property `port` is the bound one after
        `start`.
    max_connections : int or None
        Maximum number of open connections; further ones are closed as soon as
        they are accepted.
    connect_ms : float
        Delay before the first request of a connection is read.
    """

    def __init__(
        self, application, port=0, max_connections=None, connect_ms=0.0
    ):
        self.is_refusing = False
        self._application = application
        self._port = port
        self._max_connections = max_connections
        self._connect_ms = connect_ms
        self._wsgi_server = None
        self._listener = None
        self._acceptor = None
        self._connections = set()
        self._opened_count = 0
        self._peak_connections = 0
        self._refused_count = 0

    @property
    def port(self):
        """The bound TCP port."""
        return self._port

    @property
    def connections(self):
        """The open connections."""
        return tuple(self._connections)

    @property
    def opened_count(self):
        """Number of connections opened so far."""
        return self._opened_count

    @property
    def peak_connections(self):
        """Maximum number of connections that were open at the same time."""
        return self._peak_connections

    @property
    def refused_count(self):
        """Number of connections closed as soon as they were accepted."""
        return self._refused_count

    def start(self):
        """Listen and accept in a greenlet, unless already started."""
        if self._listener is not None:
            return
        self._listener = eventlet.listen(
            (LOOPBACK, self._port), backlog=512, reuse_port=False
        )
        self._port = self._listener.getsockname()[1]
        self._wsgi_server = wsgi.Server(
            self._listener,
            (LOOPBACK, self._port),
            self._handle_request,
            log_output=False,
            protocol=web_protocol.EmulatorProtocol,
            debug=True,
        )
        # The header names that applications return are in the usual case.
        self._wsgi_server.capitalize_response_headers = False
        self._acceptor = eventlet.spawn(
            self._accept_connections, self._listener
        )

    def stop(self):
        """Close the listening socket and all connections."""
        if self._listener is None:
            return
        self._acceptor.kill()
        self._listener.close()
        self._listener = None
        self.close_connections()

    def close_connections(self):
        """Close all open connections."""
        for connection in self.connections:
            connection.close()

    def _accept_connections(self, listener):
        while True:
            try:
                sock, address = listener.accept()
            except OSError:
                return
            is_full = self._max_connections is not None and (
                len(self._connections) >= self._max_connections
            )
            if is_full or self.is_refusing:
                self._refused_count += 1
                sock.close()
                continue
            self._opened_count += 1
            connection = Connection(sock, self._opened_count)
            self._connections.add(connection)
            self._peak_connections = max(
                self._peak_connections, len(self._connections)
            )
            eventlet.spawn_n(self._serve_connection, sock, address, connection)

    def _serve_connection(self, sock, address, connection):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._connect_ms and (
                connection.wait(self._connect_ms / 1000.0) == 'closed'
            ):
                return
            self._wsgi_server.process_request(
                [address, sock, wsgi.STATE_IDLE, connection]
            )
        except OSError:
            return
        finally:
            self._connections.discard(connection)
            sock.close()

    def _handle_request(self, environ, start_response):
        connection = environ['hawthornfold.state'][3]
        request = Request(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            dict(urllib.parse.parse_qsl(environ['QUERY_STRING'])),
            environ['wsgi.input'].read(MAX_BODY_BYTES),
            connection,
        )
        try:
            reply = self._application(request)
        except ConnectionAborted:
            connection.close()
            wsgi.WSGI_LOCAL.already_handled = True
            return []
        except (msgspec.DecodeError, ValueError) as error:
            reply = encode_reply({'detail': str(error)}, 400)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(reply.body) + reply.extra_length)),
            *reply.headers,
        ]
        start_response(_STATUSES[reply.status], headers)
        if reply.extra_length:
            environ['hawthornfold.state'][2] = wsgi.STATE_CLOSE
        return [reply.body]


def encode_reply(value, status=200):
    """Return a reply whose body is `value` as JSON."""
    return Reply(status, msgspec.json.encode(value))


def decode_body(request):
    """Return the decoded JSON body; an empty dict for an empty body."""
    return msgspec.json.decode(request.body) if request.body else {}


def encode_not_found(request):
    """Return the 404 reply to a path that the server does not serve."""
    return encode_reply({'detail': f'no such path: {request.path}'}, 404)


def serve_until_terminated(port):
    """Print ``ready <port>``, then suspend until SIGTERM or SIGINT.

    The parent process reads that line to learn that the port is served. A
    signal handler alone cannot end the hub's wait for events, since Python
    resumes the wait after the handler. The wakeup descriptor makes the signal
    readable on a socket, which ends the wait.
    """
    receiver, sender = green_socket.socketpair()
    sender.setblocking(False)
    previous = signal.set_wakeup_fd(sender.fileno())
    signal.signal(signal.SIGTERM, _ignore_signal)
    signal.signal(signal.SIGINT, _ignore_signal)
    print(f'ready {port}', flush=True)
    try:
        receiver.recv(1)
    finally:
        signal.set_wakeup_fd(previous)


def _ignore_signal(_number, _frame):
    """Do nothing; the wakeup descriptor reports the signal."""
