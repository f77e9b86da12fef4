"""Exchanges requests over one urllib3 connection to a backend server.

The connection is not managed by a urllib3 pool, so that this package decides
when to reuse it: a connection whose reply was abandoned is never reused, and
urllib3's retries and redirects never run.
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
from hawthornfold.sockets import ReplyLimits
from hawthornfold.sockets import create_response_class
from hawthornfold.sockets import is_readable
from hawthornfold.sockets import read_body

SEARCH_PATH = '/v1/search'
HEALTH_PATH = '/v1/health'
CONNECT_TIMEOUT_S = 1.0
_HEADERS = {'Content-Type': 'application/json', 'Accept-Encoding': 'identity'}


class ExchangeFailure(typing.NamedTuple):
    """The failure of an exchange.

    Parameters
    ----------
    code : ResultCode
        Result code of the failure.
    ran : codec.Ran
        Whether the server executed the request.
    detail : str
        Description of the error, for the journal.
    incarnation : str
        The server's incarnation, empty if it was not reported.
    held : tuple of str
        Snapshots that the server reports to hold.
    """

    code: ResultCode
    ran: codec.Ran
    detail: str
    incarnation: str = ''
    held: tuple[str, ...] = ()


class CoalescingConnection(urllib3.connection.HTTPConnection):
    """Sends the head and the body of a request with one system call.

    urllib3 sends them separately. One send costs more than the rest of an
    exchange: 0.36 ms on a busy machine.
    """

    # Its read timeout limits a whole reply, and not the time between two of
    # its bytes.
    response_class = create_response_class(
        ReplyLimits(None, 2 * codec.MAX_REPLY_BYTES)
    )

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._pending = None

    def send(self, data):
        """Send `data`, or buffer it while a request is being assembled."""
        if self._pending is None:
            super().send(data)
        else:
            self._pending.append(data)

    def send_whole_request(self, method, path, body, headers=_HEADERS):
        """Send the head and body of a request together."""
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
        """Creation time in milliseconds of the clock."""
        return self._opened_ms

    @property
    def is_reusable(self):
        """Whether the connection may carry another exchange."""
        return self._is_reusable and self._connection.sock is not None

    @property
    def is_idle_and_open(self):
        """Whether the idle connection is open and has no unread data.

        An idle connection is readable if the server closed it or sent
        unsolicited bytes.
        """
        return not is_readable(self._connection.sock)

    def open(self):
        """Connect; return Err with an `ExchangeFailure` on failure."""
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
        """Send a sub-request and return its reply.

        Parameters
        ----------
        request : codec.SubRequest
            The sub-request.
        timeout_ms : float
            Socket timeout in milliseconds: the longest wait for bytes.

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
            refusal = codec.decode_refusal(request, status, data)
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
        # Later replies on this connection may belong to other requests.
        self.close()
        return self._fail(ResultCode.BACKEND_BAD_REPLY, detail)

    def read_health(self, timeout_ms):
        """Request the health report of the server.

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
        """Cancel a running exchange from another green thread.

        The server sees the connection close and stops the work.
        """
        self._is_aborted = True
        self._is_reusable = False
        sock = self._connection.sock
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The server has already closed the connection.
                return

    def close(self):
        """Close the connection and mark it as not reusable."""
        self._is_reusable = False
        self._connection.close()

    def _exchange(self, method, path, body, timeout_ms):
        if self._connection.sock is None:
            opened = self.open()
            if opened.is_err():
                return opened
        try:
            # urllib3 resets the socket timeout before it reads.
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
            # http.client raises other exceptions for malformed replies.
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
        # Bytes may have been sent, so only a reply of the server could show
        # that the request did not run.
        return Err(ExchangeFailure(code, codec.Ran.UNKNOWN, detail))


def open_connection(address, now_ms, connect_timeout_s=CONNECT_TIMEOUT_S):
    """Create a connection to ``host:port`` that connects on first use."""
    host, _, port = address.rpartition(':')
    return BackendConnection(host, int(port), now_ms, connect_timeout_s)
