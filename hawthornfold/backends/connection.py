"""One HTTP connection to a backend server, by urllib3.

The connection is used directly, not through a urllib3 pool, so that the
tier decides on each connection: a connection whose reply was abandoned is
never used again, and urllib3's own retries and redirects never run.
"""

import socket
import typing

from result import Err
from result import Ok
import urllib3
import urllib3.connection
import urllib3.exceptions

from hawthornfold.backends import codec
from hawthornfold.codes import ResultCode
from hawthornfold.sockets import is_readable
from hawthornfold.sockets import read_body

SEARCH_PATH = '/v1/search'
HEALTH_PATH = '/v1/health'
CONNECT_TIMEOUT_S = 1.0
_HEADERS = {'Content-Type': 'application/json', 'Accept-Encoding': 'identity'}


class ExchangeFailure(typing.NamedTuple):
    """An exchange without an answer.

    Parameters
    ----------
    code : ResultCode
        What went wrong.
    ran : codec.Ran
        Whether the server executed the request.
    detail : str
        The error, for the journal.
    incarnation : str
        The server's incarnation where it said.
    held : tuple of str
        Snapshots that the server says it holds.
    """

    code: ResultCode
    ran: codec.Ran
    detail: str
    incarnation: str = ''
    held: tuple[str, ...] = ()


class CoalescingConnection(urllib3.connection.HTTPConnection):
    """Sends the head and the body of a request with one system call.

    urllib3 sends them separately. A send costs more than all the rest of an
    exchange: 0.36 ms where it was measured, on a busy machine.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._pending = None

    def send(self, data):
        """Keep `data` while a request is being put together."""
        if self._pending is None:
            super().send(data)
        else:
            self._pending.append(data)

    def send_whole_request(self, method, path, body, headers=_HEADERS):
        """Send a whole request."""
        self._pending = []
        try:
            self.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            data = b''.join(self._pending)
        finally:
            self._pending = None
        self.send(data)


class BackendConnection:
    """A connection that carries one exchange at a time."""

    def __init__(self, host, port, now_ms, connect_timeout_s):
        self._connection = CoalescingConnection(
            host,
            port,
            timeout=connect_timeout_s,
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        self._opened_ms = now_ms
        self._is_reusable = True
        self._is_aborted = False

    @property
    def opened_ms(self):
        """When the connection was created."""
        return self._opened_ms

    @property
    def is_reusable(self):
        """Whether the connection may carry another exchange."""
        return self._is_reusable and self._connection.sock is not None

    @property
    def is_idle_and_open(self):
        """Whether the server has left the idle connection as it was.

        A readable idle connection was closed by the server or carries bytes
        that nobody asked for.
        """
        return not is_readable(self._connection.sock)

    def open(self):
        """Connect; Err with an `ExchangeFailure` when that fails."""
        try:
            self._connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self.close()
            return Err(
                ExchangeFailure(
                    ResultCode.BACKEND_UNREACHABLE, codec.Ran.NO, str(error)
                )
            )
        return Ok(None)

    def search(self, request, timeout_ms):
        """Execute a sub-request.

        Parameters
        ----------
        request : codec.SubRequest
            What to execute.
        timeout_ms : float
            Longest silence on the socket, in milliseconds.

        Returns
        -------
        result.Result
            Ok with a `codec.BackendReply`, or Err with an `ExchangeFailure`.
        """
        outcome = self._exchange(
            'POST',
            SEARCH_PATH,
            codec.encode_sub_request(request),
            timeout_ms,
        )
        if outcome.is_err():
            return outcome
        status, data = outcome.ok_value
        if status == 200:
            reply = codec.decode_reply(request, data)
            if reply.is_ok():
                return reply
            detail = reply.err_value.detail
        else:
            refusal = codec.decode_refusal(request, data)
            if refusal is not None:
                return Err(
                    ExchangeFailure(
                        refusal.code,
                        refusal.ran,
                        f'status {status}',
                        refusal.incarnation,
                        refusal.held,
                    )
                )
            detail = f'status {status} without a valid refusal'
        # The stream can no longer be trusted to be in step.
        self.close()
        return self._fail(ResultCode.BACKEND_BAD_REPLY, detail)

    def read_health(self, timeout_ms):
        """Read the health report.

        Returns
        -------
        result.Result
            Ok with a `codec.BackendHealth`, or Err with a failure.
        """
        outcome = self._exchange('GET', HEALTH_PATH, None, timeout_ms)
        if outcome.is_err():
            return outcome
        status, data = outcome.ok_value
        if status != 200:
            return self._fail(
                ResultCode.BACKEND_BAD_REPLY, f'health status {status}'
            )
        return codec.decode_health(data)

    def abort(self):
        """End a running exchange from another green thread.

        The server sees the connection close and stops the work.
        """
        self._is_aborted = True
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

    def _exchange(self, method, path, body, timeout_ms):
        if self._connection.sock is None:
            opened = self.open()
            if opened.is_err():
                return opened
        try:
            # urllib3 sets the socket's timeout again before it reads.
            timeout_s = max(timeout_ms, 1.0) / 1000.0
            self._connection.timeout = timeout_s
            self._connection.sock.settimeout(timeout_s)
            self._connection.send_whole_request(method, path, body)
            response = self._connection.getresponse()
            data = read_body(response, codec.MAX_REPLY_BYTES)
            if data is None:
                self.close()
                return self._fail(
                    ResultCode.BACKEND_BAD_REPLY, 'reply is too large'
                )
            if response.headers.get('Connection', '').lower() == 'close':
                self.close()
        except TimeoutError as error:
            self.close()
            return self._fail(ResultCode.BACKEND_SILENT, str(error))
        except (OSError, ValueError, urllib3.exceptions.HTTPError) as error:
            self.close()
            return self._classify_error(error)
        except Exception as error:  # noqa: BLE001
            # http.client raises its own hierarchy for malformed replies.
            self.close()
            return self._classify_error(error)
        return Ok((response.status, data))

    def _classify_error(self, error):
        if self._is_aborted:
            return self._fail(ResultCode.CANCELLED, 'cancelled')
        if isinstance(error, urllib3.exceptions.TimeoutError):
            return self._fail(ResultCode.BACKEND_SILENT, str(error))
        detail = f'{type(error).__name__}: {error}'
        if isinstance(error, ConnectionError):
            return self._fail(ResultCode.BACKEND_CONNECTION_LOST, detail)
        return self._fail(ResultCode.BACKEND_BAD_REPLY, detail)

    def _fail(self, code, detail):
        # Bytes were sent, so only the server itself can say that the
        # request did not run.
        return Err(ExchangeFailure(code, codec.Ran.UNKNOWN, detail))


def open_connection(address, now_ms, connect_timeout_s=CONNECT_TIMEOUT_S):
    """Create a connection to ``host:port``; it connects on first use."""
    host, _, port = address.rpartition(':')
    return BackendConnection(host, int(port), now_ms, connect_timeout_s)
