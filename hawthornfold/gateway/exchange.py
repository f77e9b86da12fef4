"""Sends one request to one backend server and checks the response.

The head is built once per request, and httptools parses the responses. An
exchange through urllib3 costs three times the processor time, and a query
needs one for each of its shards (docs/decisions/exchanges.md).
"""

import socket
import typing

from hawthornfold.gateway.responses import ResponseReader
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import ServerResponse
from hawthornfold.sockets import is_readable
from hawthornfold.sockets import receive

# Timeout for opening a connection. This takes 1 to 6 ms, and up to 120 ms more
# if the server pauses.
CONNECT_TIMEOUT_MS = 250.0
_RECEIVE_BYTES = 1 << 16
# Idle connections are not reused from this long before the server's announced
# idle limit. When a request and the server's close cross, it is unknown
# whether the request was executed.
IDLE_MARGIN_MS = 1_000.0
# Assumed idle limit of servers that announce none.
DEFAULT_IDLE_LIMIT_MS = 4_000.0
# Non-idempotent requests reuse a connection only within this time after its
# last answer. A reset would leave it unknown whether they were executed.
NON_IDEMPOTENT_IDLE_MS = 300.0

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


class OutgoingRequest(typing.NamedTuple):
    """A caller's request as it is sent to servers.

    Parameters
    ----------
    method : str
        The HTTP method.
    head : bytes
        Request line and the headers that are the same for all servers.
    body : bytes
        The body.
    request_id : str
        The caller's id of the request.
    """

    method: str
    head: bytes
    body: bytes
    request_id: str


def create_outgoing_request(method, target, headers, body, request_id, names):
    """Create an `OutgoingRequest` from a caller's request.

    Parameters
    ----------
    headers : iterable of tuple of str
        All headers as the caller sent them.
    names : HeaderNames
        The deployment's header names. The deadline and target headers are
        left out, because the node sets its own.

    Returns
    -------
    OutgoingRequest
    """
    replaced = {names.deadline.lower(), names.target.lower(), 'content-length'}
    lines = [f'{method} {target} HTTP/1.1\r\n']
    lines += [
        f'{name}: {value}\r\n'
        for name, value in strip_connection_headers(headers)
        if name.lower() not in replaced
    ]
    if body or method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(body)}\r\n')
    head = ''.join(lines).encode('latin-1')
    return OutgoingRequest(method, head, body, request_id)


def strip_connection_headers(headers):
    """Return the end-to-end headers, without hop-by-hop ones.

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
        self._endpoint = (host, int(port))
        self._names = names
        self._clock = clock
        self._deadline_line = f'{names.deadline}: '.encode()
        self._target_line = f'\r\n{names.target}: '.encode()
        self._socket = None
        self._is_reusable = True
        self._idle_limit_ms = DEFAULT_IDLE_LIMIT_MS
        self._answered_ms = 0.0

    @property
    def is_reusable(self):
        """Whether the connection may carry another exchange."""
        return self._is_reusable and self._socket is not None

    def can_carry_request(self, is_idempotent):
        """Return whether the idle connection may carry a new request.

        A readable idle connection was closed by the server, or contains
        bytes that belong to no request, and may not.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request may be executed twice.
        """
        idle_ms = self._clock.now_ms() - self._answered_ms
        limit_ms = self._idle_limit_ms
        if not is_idempotent:
            limit_ms = min(limit_ms, NON_IDEMPOTENT_IDLE_MS)
        if idle_ms >= limit_ms or self._socket is None:
            return False
        return not is_readable(self._socket)

    def open(self, timeout_ms):
        """Open the connection; return an error text, or None on success."""
        try:
            self._socket = socket.create_connection(
                self._endpoint, max(timeout_ms, 1.0) / 1000.0
            )
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # From now on `abort` interrupts slow calls.
            self._socket.settimeout(None)
        except OSError as error:
            self.close()
            return f'{type(error).__name__}: {error}'
        self._answered_ms = self._clock.now_ms()
        return None

    def exchange(self, request, server_id, deadline_ms):
        """Send a request and read the whole response.

        There is no timeout: another green thread has to call `abort` at the
        deadline.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        server_id : str
            Id of the only server that may execute it.
        deadline_ms : float
            When the caller times out, on the node's clock.

        Returns
        -------
        tuple of (ExchangeOutcome, int or None)
            The outcome, and the number of requests that wait at the server
            if it reports one.
        """
        left_ms = int(deadline_ms - self._clock.now_ms())
        if left_ms < 1:
            return self._close_and_fail(
                OutcomeKind.UNREACHABLE, 'no time left'
            )
        reader = ResponseReader(request.method)
        try:
            self._socket.sendall(
                b'%b%b%d%b%b\r\n\r\n%b'
                % (
                    request.head,
                    self._deadline_line,
                    left_ms,
                    self._target_line,
                    server_id.encode('latin-1', 'replace'),
                    request.body,
                )
            )
            self._read_response(reader)
        except (OSError, ValueError) as error:
            return self._close_and_fail(
                OutcomeKind.LOST, f'{type(error).__name__}: {error}'
            )
        if not reader.is_complete:
            return self._close_and_fail(
                OutcomeKind.LOST, 'the response ends early'
            )
        self._answered_ms = self._clock.now_ms()
        self._apply_connection_headers(reader)
        return self._classify_response(request, reader)

    def _read_response(self, reader):
        while not reader.is_complete:
            data = receive(self._socket, _RECEIVE_BYTES)
            if not data:
                self._is_reusable = False
                reader.feed_eof()
                return
            reader.feed(data)

    def abort(self):
        """Interrupt a running exchange from another green thread.

        The server sees the closed connection and cancels the request.
        """
        self._is_reusable = False
        if self._socket is not None:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The server closed the connection first.
                return

    def close(self):
        """Close the connection; it cannot be opened again."""
        self._is_reusable = False
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _apply_connection_headers(self, reader):
        if not reader.keeps_open or reader.has_extra_bytes:
            self._is_reusable = False
        for token in reader.get('keep-alive').split(','):
            name, _, value = token.strip().partition('=')
            if name.lower() == 'timeout' and value.isdecimal():
                limit_ms = int(value) * 1000.0 - IDLE_MARGIN_MS
                self._idle_limit_ms = max(limit_ms, NON_IDEMPOTENT_IDLE_MS)

    def _classify_response(self, request, reader):
        names = self._names
        waiting_count = _parse_waiting_count(reader.get(names.load.lower()))
        status = reader.status
        if status == 421:
            return self._close_and_fail(OutcomeKind.WRONG_SERVER, 'status 421')
        if reader.get(names.not_executed.lower()):
            outcome = ExchangeOutcome(
                OutcomeKind.NOT_EXECUTED, None, f'status {status}'
            )
            return outcome, waiting_count
        seal = reader.get(names.seal.lower())
        fault = self._find_fault(request, reader, seal)
        if fault:
            return self._close_and_fail(OutcomeKind.LOST, fault)
        response = ServerResponse(
            status, tuple(reader.headers), reader.body, seal
        )
        kind = OutcomeKind.FAILED
        if 200 <= status < 300:
            kind = OutcomeKind.ANSWERED
        return ExchangeOutcome(
            kind, response, f'status {status}'
        ), waiting_count

    def _find_fault(self, request, reader, seal):
        """Return why a response cannot belong to the request, or ''."""
        echoed = reader.get(self._names.request_id.lower())
        if echoed and echoed != request.request_id:
            return 'the response has another request id'
        if reader.get('content-encoding'):
            return 'the response has a content encoding'
        if 200 <= reader.status < 300 and not seal:
            return 'the successful response has no seal'
        return ''

    def _close_and_fail(self, kind, detail):
        self.close()
        return ExchangeOutcome(kind, None, detail), None


def _parse_waiting_count(text):
    """Return the number of waiting requests in a load header, or None."""
    fields = text.split(',')
    if len(fields) >= 2 and fields[1].strip().isdecimal():
        return int(fields[1])
    return None
