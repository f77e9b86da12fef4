"""Passes one request to one backend server and checks the response."""

import http.client
import socket
import typing

import urllib3
import urllib3.exceptions
import urllib3.util

from hawthornfold.backends.connection import CoalescingConnection
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import ServerResponse
from hawthornfold.sockets import is_readable
from hawthornfold.sockets import read_body

# A new connection takes 1 to 6 ms; a server that pauses may take 120 ms
# longer.
CONNECT_TIMEOUT_MS = 250.0
# Larger responses are refused, as the node's memory is small.
MAX_RESPONSE_BYTES = 16 << 20
# Connections are given up this long before the server says that it closes
# them: a request that crosses the close may or may not have run.
IDLE_MARGIN_MS = 1_000.0
# Servers that name no idle limit are assumed to have this one.
DEFAULT_IDLE_MS = 4_000.0
# Requests that must not run twice use a connection again only this soon
# after its last answer; a reset would leave open whether they ran.
UNSAFE_IDLE_MS = 300.0

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# urllib3 adds these unless it is told not to.
_SKIPPED = {
    'user-agent': urllib3.util.SKIP_HEADER,
    'accept-encoding': urllib3.util.SKIP_HEADER,
}


class OutgoingRequest(typing.NamedTuple):
    """A caller's request as it goes to servers.

    Parameters
    ----------
    method, target : str
        Method and request target, unchanged.
    headers : tuple of tuple of str
        Headers without those of the connection.
    body : bytes
        The body.
    request_id : str
        The caller's id of the request.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str


def strip_connection_headers(headers):
    """Return the headers that do not concern one connection only.

    Examples
    --------
    >>> strip_connection_headers(
    ...     [('Connection', 'close, X-Hop'), ('X-Hop', '1'), ('X-A', '2')]
    ... )
    (('X-A', '2'),)
    """
    dropped = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == 'connection':
            dropped.update(token.strip().lower() for token in value.split(','))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


class ServerConnection:
    """An HTTP connection to a server, for one exchange at a time."""

    def __init__(self, address, names, clock):
        host, _, port = address.rpartition(':')
        self._names = names
        self._clock = clock
        self._connection = CoalescingConnection(
            host,
            int(port),
            timeout=CONNECT_TIMEOUT_MS / 1000.0,
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        self._is_reusable = True
        self._idle_limit_ms = DEFAULT_IDLE_MS
        self._answered_ms = 0.0

    @property
    def is_reusable(self):
        """Whether the connection may carry another exchange."""
        return self._is_reusable and self._connection.sock is not None

    def is_fresh_enough(self, is_idempotent):
        """Return whether an idle connection may carry a request.

        A readable idle connection was closed by the server, or carries
        bytes that belong to no request.
        """
        idle_ms = self._clock.now_ms() - self._answered_ms
        limit_ms = self._idle_limit_ms
        if not is_idempotent:
            limit_ms = min(limit_ms, UNSAFE_IDLE_MS)
        if idle_ms >= limit_ms or self._connection.sock is None:
            return False
        return not is_readable(self._connection.sock)

    def open(self, timeout_ms):
        """Connect; return an error text, or None."""
        self._connection.timeout = max(timeout_ms, 1.0) / 1000.0
        try:
            self._connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self.close()
            return f'{type(error).__name__}: {error}'
        self._answered_ms = self._clock.now_ms()
        return None

    def exchange(self, request, server_id, deadline_ms):
        """Send a request and read the whole response.

        Parameters
        ----------
        request : OutgoingRequest
            What to send.
        server_id : str
            The server that alone may execute it.
        deadline_ms : float
            When the caller gives up, on the node's clock.

        Returns
        -------
        tuple of (ExchangeOutcome, int or None)
            The outcome, and how many requests wait at the server.
        """
        left_ms = deadline_ms - self._clock.now_ms()
        if left_ms < 1.0:
            return self._fail(OutcomeKind.UNREACHABLE, 'no time left')
        timeout_s = left_ms / 1000.0
        self._connection.timeout = timeout_s
        self._connection.sock.settimeout(timeout_s)
        try:
            self._connection.request_at_once(
                request.method,
                request.target,
                request.body or None,
                self._create_headers(request, server_id, left_ms),
            )
            response = self._connection.getresponse()
            body = read_body(response, MAX_RESPONSE_BYTES)
        except (
            OSError,
            ValueError,
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
        ) as error:
            return self._fail(
                OutcomeKind.LOST, f'{type(error).__name__}: {error}'
            )
        if body is None:
            return self._fail(OutcomeKind.LOST, 'the response is too large')
        self._answered_ms = self._clock.now_ms()
        self._note_connection_headers(response.headers)
        return self._judge(request, response, body)

    def abort(self):
        """End a running exchange from another green thread.

        The server sees the connection close and stops the work.
        """
        self._is_reusable = False
        sock = self._connection.sock
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The server closed it first.
                return

    def close(self):
        """Close the connection; it is never used again."""
        self._is_reusable = False
        self._connection.close()

    def _create_headers(self, request, server_id, left_ms):
        headers = urllib3.HTTPHeaderDict(_SKIPPED)
        present = set()
        names = self._names
        own = {names.deadline.lower(), names.target.lower(), 'content-length'}
        for name, value in request.headers:
            lowercase = name.lower()
            if lowercase in own:
                continue
            if lowercase in _SKIPPED and lowercase not in present:
                headers[name] = value
            else:
                headers.add(name, value)
            present.add(lowercase)
        headers[names.deadline] = str(int(left_ms))
        headers[names.target] = server_id
        return headers

    def _note_connection_headers(self, headers):
        if 'close' in headers.get('Connection', '').lower():
            self._is_reusable = False
        for token in headers.get('Keep-Alive', '').split(','):
            name, _, value = token.strip().partition('=')
            if name.lower() == 'timeout' and value.isdecimal():
                limit_ms = int(value) * 1000.0 - IDLE_MARGIN_MS
                self._idle_limit_ms = max(limit_ms, UNSAFE_IDLE_MS)

    def _judge(self, request, response, body):
        names = self._names
        headers = response.headers
        waiting = _read_waiting(headers.get(names.load, ''))
        status = response.status
        if status == 421:
            return self._fail(OutcomeKind.WRONG_SERVER, 'status 421')
        if names.not_executed in headers:
            return (
                ExchangeOutcome(
                    OutcomeKind.NOT_EXECUTED, None, f'status {status}'
                ),
                waiting,
            )
        fault = self._find_fault(request, response)
        if fault:
            return self._fail(OutcomeKind.LOST, fault)
        parsed = ServerResponse(
            status,
            strip_connection_headers(list(headers.iteritems())),
            body,
            headers.get(names.seal, ''),
        )
        kind = OutcomeKind.FAILED
        if 200 <= status < 300:
            kind = OutcomeKind.ANSWERED
        return ExchangeOutcome(kind, parsed, f'status {status}'), waiting

    def _find_fault(self, request, response):
        """Return why a response cannot belong to the request, or ''."""
        names = self._names
        echoed = response.headers.get(names.request_id)
        if echoed is not None and echoed != request.request_id:
            return 'the response names another request'
        if 'Content-Encoding' in response.headers:
            return 'the response has a content encoding'
        if 200 <= response.status < 300 and not response.headers.get(
            names.seal
        ):
            return 'the success has no seal'
        if response.status < 200:
            return f'status {response.status}'
        return ''

    def _fail(self, kind, detail):
        self.close()
        return ExchangeOutcome(kind, None, detail), None


def _read_waiting(text):
    """Return the waiting requests in a load header, or None."""
    fields = text.split(',')
    if len(fields) >= 2 and fields[1].strip().isdecimal():
        return int(fields[1])
    return None
