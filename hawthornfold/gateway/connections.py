"""Connects to a backend server and runs one exchange at a time.

Connections run on callbacks of the event loop. A query needs one exchange for
each of its shards, and a green thread for each would cost more processor time
than the exchange itself (docs/decisions/exchanges.md).
"""

import errno
import struct

from eventlet import hubs
from eventlet import patcher
from eventlet.hubs import hub
import logbook

from hawthornfold.directory.record_checks import parse_endpoint
from hawthornfold.gateway.connection_reuse import create_connection_reuse
from hawthornfold.gateway.endpoints import describe_error
from hawthornfold.gateway.endpoints import describe_error_code
from hawthornfold.gateway.responses import ResponseReader
from hawthornfold.gathering import NO_SIGNALS
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind

# The patched module would suspend the calling green thread.
_socket = patcher.original('socket')

_LOG = logbook.Logger('gateway')

# Timeout for opening a connection. This takes 1 to 6 ms, and up to 120 ms more
# if the server pauses.
CONNECT_TIMEOUT_MS = 250.0
_RECEIVE_BYTES = 1 << 16
# A new connection is used after this time. A server that has reached its limit
# resets further connections right after it has accepted them.
SETTLE_MS = 2.0
# Value of SO_LINGER: on, for 0 s.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_SOCKET_TYPE = _socket.SOCK_STREAM | _socket.SOCK_NONBLOCK


class ServerConnection:
    """An HTTP connection to a server, for one exchange at a time.

    All callbacks are called from the event loop, after the method that takes
    them has returned. They must not block.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    names : HeaderNames
        The deployment's header names.
    classifier : ResponseClassifier
        Determines what responses mean.
    clock : Clock
        The node's clock.
    bounds : ResponseBounds
        The bounds of all responses that the node reads.
    on_idle_end : callable, optional
        Takes the connection; called when the server closes it, or sends bytes
        on it, while no exchange is running.
    """

    def __init__(
        self, address, names, classifier, clock, bounds, on_idle_end=None
    ):
        self._address = address
        self._classifier = classifier
        self._clock = clock
        self._on_idle_end = on_idle_end
        self._deadline_line = f'{names.deadline}: '.encode()
        self._target_line = f'\r\n{names.target}: '.encode()
        self._socket = None
        self._listeners = {}
        self._timer = None
        self._is_reusable = True
        self._has_answered = False
        self._reuse = create_connection_reuse()
        self._answered_ms = 0.0
        self._opened_ms = 0.0
        self._sent_ms = 0.0
        # Called when the connection is open, or has failed to open.
        self._on_open = None
        # Called at the end of the running exchange.
        self._on_end = None
        # The request of the running exchange, once it is sent.
        self._request = None
        self._reader = ResponseReader(bounds, self._handle_revoked)
        self._unsent = b''

    @property
    def is_reusable(self):
        """Whether the connection may carry another exchange."""
        return self._is_reusable and self._socket is not None

    @property
    def connect_ms(self):
        """How long the connection took to open."""
        return self._answered_ms - self._opened_ms

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
        limit_ms = self._reuse.idle_limit_ms(is_idempotent)
        if idle_ms >= limit_ms or self._socket is None:
            return False
        try:
            self._socket.recv(1, _socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def sent_ms(self):
        """When the request of the last exchange was sent."""
        return self._sent_ms

    def open(self, timeout_ms, on_open):
        """Open the connection.

        Parameters
        ----------
        timeout_ms : float
            Maximum time for it.
        on_open : callable
            Takes an error text, or None on success.
        """
        self._on_open = on_open
        self._opened_ms = self._clock.now_ms()
        try:
            raw = _socket.socket(_socket.AF_INET, _SOCKET_TYPE)
        except OSError as error:
            # The process has no descriptor left.
            detail = describe_error(error)
            self._schedule(0.0, lambda: self._end_open(detail))
            return
        self._socket = raw
        # A closed descriptor with the same number may still be registered.
        hubs.notify_opened(raw.fileno())
        raw.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
        try:
            code = raw.connect_ex(parse_endpoint(self._address))
        except ValueError as error:
            _LOG.warning('event=address_refused detail="{}"', error)
            code = errno.EADDRNOTAVAIL
        if code not in (0, errno.EINPROGRESS):
            self._schedule(
                0.0, lambda: self._end_open(describe_error_code(code))
            )
            return
        self._listen(hub.WRITE, self._handle_connected)
        self._schedule(
            max(timeout_ms, 1.0),
            # The loop runs timers before it reads sockets: after a pause of
            # this node the connection may be open already.
            lambda: self._schedule(
                0.0, lambda: self._end_open('TimeoutError: timed out')
            ),
        )

    def start_exchange(self, request, server_id, deadline_ms, on_end):
        """Send a request and read the whole response.

        There is no timeout: the caller has to call `abort` at the deadline.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        server_id : str
            Id of the only server that may execute it.
        deadline_ms : float
            When the caller times out, on the node's clock.
        on_end : callable
            Takes an `ExchangeOutcome`, and the number of requests that wait
            at the server or None.
        """
        self._on_end = on_end
        now_ms = self._sent_ms = self._clock.now_ms()
        left_ms = int(deadline_ms - now_ms)
        if left_ms < 1:
            self._schedule(0.0, lambda: self._fail('no time left'))
            return
        self._request = request
        self._reader.begin(request.method)
        self._unsent = b'%b%b%d%b%b\r\n\r\n%b' % (
            request.head,
            self._deadline_line,
            left_ms,
            self._target_line,
            server_id.encode('latin-1', 'replace'),
            request.body,
        )
        try:
            self._send()
        except OSError as error:
            detail = describe_error(error)
            self._schedule(0.0, lambda: self._fail(detail))

    def abort(self):
        """End the opening or the exchange that is running, if there is one.

        The server sees the closed connection and cancels the request.
        """
        if self._on_open is not None:
            self._end_open('aborted')
        elif self._on_end is not None:
            self._fail('aborted')

    def reset(self, detail):
        """End the exchange that is running; its link has failed.

        What the kernel has not delivered yet is lost: a request that the link
        holds up would otherwise run when the link returns.

        Parameters
        ----------
        detail : str
            The reason, for the log.
        """
        if self._on_end is not None and self._socket is not None:
            self._socket.setsockopt(
                _socket.SOL_SOCKET, _socket.SO_LINGER, _RESET_ON_CLOSE
            )
            self._fail(detail)

    def close(self):
        """Close the connection; it cannot be opened again."""
        self._is_reusable = False
        self._on_open = self._on_end = self._request = None
        self._cancel_timer()
        for listener in self._listeners.values():
            hubs.get_hub().remove(listener)
        self._listeners.clear()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            self._reader.close()

    def _listen(self, event, callback):
        """Call `callback` whenever the socket is ready for an event."""
        self._listeners[event] = hubs.get_hub().add(
            event,
            self._socket.fileno(),
            callback,
            lambda error: None,
            self._handle_obsolete,
        )

    def _stop_listening(self, event):
        listener = self._listeners.pop(event, None)
        if listener is not None:
            hubs.get_hub().remove(listener)

    def _schedule(self, delay_ms, function):
        self._cancel_timer()
        self._timer = hubs.get_hub().schedule_call_global(
            delay_ms / 1000.0, function
        )

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_connected(self, descriptor):
        self._stop_listening(hub.WRITE)
        code = self._socket.getsockopt(_socket.SOL_SOCKET, _socket.SO_ERROR)
        if code:
            self._end_open(describe_error_code(code))
            return
        self._answered_ms = self._clock.now_ms()
        self._listen(hub.READ, self._handle_readable)
        self._schedule(SETTLE_MS, lambda: self._end_open(None))

    def _end_open(self, error):
        self._cancel_timer()
        on_open, self._on_open = self._on_open, None
        if error is not None:
            self.close()
        if on_open is not None:
            on_open(error)

    def _send(self):
        """Send as much of the request as the kernel accepts."""
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._stop_listening(hub.WRITE)
        elif hub.WRITE not in self._listeners:
            self._listen(hub.WRITE, self._handle_writable)

    def _handle_writable(self, descriptor):
        if self._socket is None:
            # The loop has collected its callbacks before it called one that
            # closed the connection.
            return
        try:
            self._send()
        except OSError as error:
            # The server may have begun with the part that it has received.
            self._fail(describe_error(error), is_interrupted=True)

    def _handle_readable(self, descriptor):
        if self._socket is None:
            # As in `_handle_writable`.
            return
        if self._on_open is not None:
            self._end_open('ConnectionResetError: reset after it was accepted')
            return
        if self._request is None:
            self._end_idle()
            return
        reader = self._reader
        try:
            self._receive(reader)
            ended = self._interpret() if reader.is_complete else None
        except Exception as error:  # noqa: BLE001
            # In the event loop it would leave the exchange without an end.
            if not isinstance(error, (OSError, ValueError)):
                _LOG.exception(
                    'event=response_failed server={}', self._address
                )
            self._fail(describe_error(error), isinstance(error, OSError))
            return
        if ended is not None:
            self._end_exchange(*ended)
        elif not self._is_reusable:
            self._fail('the response ends early', is_interrupted=True)

    def _receive(self, reader):
        try:
            data = self._socket.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        if data:
            reader.feed(data)
        else:
            self._is_reusable = False
            reader.feed_eof()

    def _handle_revoked(self):
        """End the exchange, because the node has no memory for its response.

        Another connection is being read at the moment, so this waits.
        """
        self._schedule(
            0.0, lambda: self._fail('the response was given up for others')
        )

    def _end_idle(self):
        """Close the connection: the server did, or sent stray bytes."""
        if self._on_end is not None:
            self._fail('closed by the server')
            return
        self.close()
        if self._on_idle_end is not None:
            self._on_idle_end(self)

    def _interpret(self):
        """Return the outcome and waiting count of the complete response."""
        self._apply_connection_headers(self._reader)
        return self._classifier.classify(
            self._request, self._reader, self._has_answered
        )

    def _end_exchange(self, outcome, waiting_count):
        on_end = self._on_end
        self._request = self._on_end = None
        self._has_answered = True
        self._answered_ms = self._clock.now_ms()
        if outcome.kind in (OutcomeKind.WRONG_SERVER, OutcomeKind.LOST):
            self._is_reusable = False
        if self._is_reusable:
            self._reader.release()
        else:
            self.close()
        on_end(outcome, waiting_count)

    def _apply_connection_headers(self, reader):
        if (
            not reader.keeps_open
            or reader.has_extra_bytes
            # The server expects the rest of the body before a new request.
            or self._unsent
        ):
            self._is_reusable = False
        self._reuse.record_headers(
            reader.raw_headers, self._classifier.request_id_name
        )
        if not self._reuse.is_identified:
            self._is_reusable = False

    def _fail(self, detail, is_interrupted=False):
        """Close the connection and end the exchange without a response."""
        kind, signals = OutcomeKind.LOST, NO_SIGNALS
        if self._request is None:
            kind = OutcomeKind.UNREACHABLE
        elif self._reader.has_head:
            signals = self._read_signals()
        on_end = self._on_end
        self.close()
        if on_end is not None:
            on_end(
                ExchangeOutcome(kind, None, detail, signals, is_interrupted),
                None,
            )

    def _read_signals(self):
        """Return what an incomplete response says about its server."""
        try:
            return self._classifier.read_signals(
                self._reader.status, self._reader.read_fields()
            )
        except Exception:  # noqa: BLE001
            _LOG.exception('event=signals_failed server={}', self._address)
            return NO_SIGNALS

    def _handle_obsolete(self):
        """Give up the descriptor, which another owner has closed."""
        self._listeners.clear()
        self._socket.detach()
        self._schedule(0.0, self.abort)
