"""Serves the requests of one caller's connection, within limits and in order.

eventlet's protocol class frames requests and responses. This subclass
replaces its module-wide limits with those of the port, limits the time that
a request may take to arrive, and answers every fault with a result code.
"""

import contextlib
import io
import re
import socket

import eventlet
from eventlet import wsgi

from hawthornfold.callers import requests
from hawthornfold.callers.streams import AnswerWriter
from hawthornfold.callers.targets import parse_target
from hawthornfold.codes import ResultCode

# Key of the WSGI environment for a function that the application calls to
# close the connection after the answer.
CLOSE_KEY = 'hawthornfold.close_connection'
# Key for a function that returns whether bytes of a further request have
# arrived on the connection.
HAS_INPUT_KEY = 'hawthornfold.has_input'
# Limits on the input that is read and discarded after the last answer, before
# the connection is closed. Closing with unread input sends a reset, which can
# destroy an answer that the caller has not read yet.
DISCARD_MS = 1000.0
DISCARD_BYTES = 1 << 20

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(_TOKEN + rb' [\x21-\x7e]+ HTTP/1\.[01]\r\n')
# Refuses folded lines, space before the colon, bare CR and control characters:
# proxies interpret them differently, which allows request smuggling.
_FIELD_LINE = re.compile(_TOKEN + rb':[\t\x20-\x7e\x80-\xff]*\r\n')
_LENGTH = re.compile(r'[0-9]{1,12}')


class _TimedStream(io.RawIOBase):
    """Input stream of a connection, with one time limit for several reads.

    When the limit has passed, bytes that have already arrived are still read
    once and the limit starts again: if the process was paused, the caller did
    not cause the delay.
    """

    def __init__(self, connection, clock):
        self._connection = connection
        self._clock = clock
        self._write_timeout_s = connection.gettimeout()
        self._limit_ms = self._deadline_ms = 0.0
        self._may_restart_limit = False
        self.is_polling = False

    def start_time_limit(self, limit_ms):
        """Start a time limit of `limit_ms` for the next reads."""
        self._limit_ms = limit_ms
        self._deadline_ms = self._clock.now_ms() + limit_ms
        self._may_restart_limit = True

    def readable(self):
        return True

    def readinto(self, buffer):
        """Read into `buffer`; return the number of bytes read.

        Returns None if the stream is polling and nothing has arrived.

        Raises
        ------
        TimeoutError
            If the time limit has passed.
        """
        if self.is_polling:
            return self._receive(buffer, 0.0)
        timeout_ms = self._deadline_ms - self._clock.now_ms()
        if timeout_ms > 0.0:
            with contextlib.suppress(TimeoutError):
                return self._receive(buffer, timeout_ms / 1000.0)
        count = self._receive(buffer, 0.0) if self._may_restart_limit else None
        if count is None:
            raise TimeoutError('the time limit has passed')
        self.start_time_limit(self._limit_ms)
        self._may_restart_limit = False
        return count

    def _receive(self, buffer, timeout_s):
        self._connection.settimeout(timeout_s)
        try:
            return self._connection.recv_into(buffer)
        except BlockingIOError:
            return None
        finally:
            self._connection.settimeout(self._write_timeout_s)


class _HeaderBlock:
    """File-like object that passes header lines to the standard library.

    Its parser reads one line per call and at most 100 of them, fewer than the
    settings allow. So a single call returns all lines, which are already
    checked.
    """

    def __init__(self, block):
        self._block = block

    def readline(self, size=-1):
        """Return the whole block once, then nothing."""
        block, self._block = self._block, b''
        return block


class CallerProtocol(wsgi.HttpProtocol):
    """Serves the requests of one connection, one after another."""

    def __init__(self, port, conn_state, server):
        self._port = port
        self._limits = port.settings
        self._tracking = contextlib.ExitStack()
        self._is_tracked = False
        self._has_begun_request = False
        self._is_answering = False
        self._remaining_head_bytes = 0
        super().__init__(conn_state, server)

    @property
    def is_idle(self):
        """Whether the connection waits for the first byte of a request."""
        return self.conn_state[2] == wsgi.STATE_IDLE

    @property
    def awaits_first_request(self):
        """Whether the connection waits for the start of its first request."""
        return self.is_idle and not self._has_begun_request

    def begin_request(self):
        """Count a request as in progress, so that a stop waits for it."""
        self._has_begun_request = True
        self.conn_state[2] = wsgi.STATE_REQUEST
        if not self._is_tracked:
            self._is_tracked = True
            self._tracking.enter_context(self._port.track_request())

    def setup(self):
        """Prepare the connection's streams."""
        super().setup()
        self.rfile.close()
        self._stream = _TimedStream(self.connection, self._port.clock)
        self._input = self.rfile = io.BufferedReader(self._stream, 8192)
        self.wfile.close()
        # A caller may take as long to read an answer as between requests.
        self.wfile = AnswerWriter(
            self.connection,
            lambda: self._limits.idle_timeout_ms,
            self._port.clock,
            self.wbufsize,
        )

    def handle(self):
        """Serve requests until one side closes the connection."""
        self.close_connection = True
        try:
            with self._port.register_connection(self) as is_admitted:
                if is_admitted:
                    self._serve_requests()
                elif is_admitted is not None:
                    self._refuse(
                        ResultCode.TOO_MANY_CONNECTIONS,
                        'this address has too many open connections',
                    )
                else:
                    return
                with contextlib.suppress(OSError):
                    self._discard_input()
        except (EOFError, OSError):
            # The caller closed or reset the connection, or did not read the
            # answer in time.
            self._port.count('caller_connections_lost')

    def _serve_requests(self):
        try:
            while self._wait_for_request():
                self._handle_request()
                self._end_request()
                if self.close_connection:
                    return
                # Let other connections run. Reads from a caller that has sent
                # many requests at once never wait, so they would not switch.
                eventlet.sleep(0)
        finally:
            self._end_request()

    def _handle_request(self):
        self._is_answering = False
        try:
            self.handle_one_request()
        except TimeoutError:
            if self._is_answering:
                raise
            self._refuse(
                ResultCode.REQUEST_TIMEOUT,
                'the head of the request was not sent in time',
            )

    def _end_request(self):
        self._is_tracked = False
        self._tracking.close()

    def _wait_for_request(self):
        """Wait for the first byte of a request; return False if none came."""
        read_timeout_ms = self._limits.read_timeout_ms
        wait_ms = read_timeout_ms
        if self._has_begun_request:
            wait_ms = max(self._limits.idle_timeout_ms, read_timeout_ms)
        self._stream.start_time_limit(wait_ms)
        self._stream.is_polling = self._port.is_stopping
        self.conn_state[2] = wsgi.STATE_IDLE
        try:
            if not self.rfile.peek(1):
                return False
        except TimeoutError:
            return False
        finally:
            self._stream.is_polling = False
        self.begin_request()
        self._stream.start_time_limit(read_timeout_ms)
        return True

    def _read_request_line(self):
        # eventlet calls this; it closes the connection if the result is empty.
        limit = self._limits.max_head_bytes
        line = self._input.readline(limit + 1)
        if line == b'\r\n':
            # Some callers send an empty line after a body.
            line = self._input.readline(limit + 1)
        self._remaining_head_bytes = limit - len(line)
        if self._remaining_head_bytes < 0:
            self._refuse_oversized_head('the request line is too long')
            return b''
        if not _REQUEST_LINE.fullmatch(line):
            self._refuse(
                ResultCode.REQUEST_MALFORMED,
                'not a request line of HTTP/1.1 or HTTP/1.0',
            )
            return b''
        return line

    def parse_request(self):
        """Read and check the head; return False if it was refused."""
        block = self._read_header_lines()
        if block is None:
            return False
        # eventlet restores its own stream afterwards.
        self.rfile = _HeaderBlock(block)
        if not super().parse_request():
            return False
        if not self._apply_target():
            return False
        connection = self.headers.get('Connection', '').lower()
        if 'close' in [token.strip() for token in connection.split(',')]:
            self.close_connection = True
        if self.request_version == 'HTTP/1.0':
            # HTTP/1.0 does not have the interim answer 100.
            del self.headers['Expect']
        self._is_answering = self._check_framing()
        return self._is_answering

    def _apply_target(self):
        """Set path and host as the target says; return False if refused.

        The standard library reduces several slashes at the start of a path to
        one, which changes the rule of the request.
        """
        target = parse_target(
            self.command, self.raw_requestline.split(b' ')[1].decode('ascii')
        )
        if target is None:
            self._refuse(
                ResultCode.REQUEST_MALFORMED, 'the target is not a path'
            )
            return False
        self.path = target.path
        if target.authority is not None:
            del self.headers['Host']
            self.headers['Host'] = target.authority
        return True

    def _read_header_lines(self):
        lines = []
        while True:
            line = self._input.readline(self._remaining_head_bytes + 1)
            self._remaining_head_bytes -= len(line)
            if self._remaining_head_bytes < 0:
                return self._refuse_oversized_head('the head is too large')
            if line == b'\r\n':
                return b''.join([*lines, line])
            if not _FIELD_LINE.fullmatch(line):
                return self._refuse(
                    ResultCode.REQUEST_MALFORMED,
                    f'header line {len(lines) + 1} is not valid',
                )
            lines.append(line)
            self._reserve_head(
                self._limits.max_head_bytes - self._remaining_head_bytes
            )
            if len(lines) > self._limits.max_headers:
                return self._refuse_oversized_head('too many header lines')

    def _reserve_head(self, size_bytes):
        """Account for the head read so far; subclasses may limit it."""

    def _check_framing(self):
        """Check how the body ends; return False if it was refused."""
        if 'Transfer-Encoding' in self.headers:
            return self._check_transfer_encoding()
        lengths = self.headers.get_all('Content-Length', [])
        if not lengths:
            return True
        length = lengths[0].strip(' \t')
        if len(lengths) > 1 or not _LENGTH.fullmatch(length):
            self._refuse(
                ResultCode.REQUEST_MALFORMED, 'Content-Length is not a number'
            )
            return False
        if int(length) > self._limits.max_body_bytes:
            self._refuse(
                ResultCode.REQUEST_TOO_LARGE,
                f'the body exceeds {self._limits.max_body_bytes} bytes',
            )
            return False
        self.headers.replace_header('Content-Length', length)
        return True

    def _check_transfer_encoding(self):
        """Refuse Transfer-Encoding; subclasses may return True to accept."""
        self._refuse(
            ResultCode.REQUEST_MALFORMED,
            'send the body with Content-Length, not Transfer-Encoding',
        )
        return False

    def get_environ(self):
        """Return the WSGI environment of a request."""
        environ = super().get_environ()
        environ[CLOSE_KEY] = self._close_after_answer
        environ[HAS_INPUT_KEY] = self._has_input
        return environ

    def _has_input(self):
        """Return whether bytes of a further request have arrived."""
        self._stream.is_polling = True
        try:
            return bool(self._input.peek(1))
        except OSError:
            return False
        finally:
            self._stream.is_polling = False

    def _close_after_answer(self):
        self.close_connection = True

    def send_error(self, code, message=None, explain=None):
        """Refuse a head in which the standard library found a fault."""
        self._refuse(ResultCode.REQUEST_MALFORMED, 'the head is not valid')

    def _refuse_oversized_head(self, detail):
        self._refuse(ResultCode.REQUEST_TOO_LARGE, detail, status=431)

    def _refuse(self, code, detail, status=None):
        """Refuse a request without calling the application; then close."""
        self._port.count('caller_refusals', code=str(int(code)))
        answer = requests.create_refusal(code, detail)
        if status is not None:
            answer = answer._replace(status=status)
        body = answer.body
        self.close_connection = True
        self.request_version = 'HTTP/1.1'
        self.send_response_only(answer.status)
        for name, value in requests.create_headers(answer, body):
            self.send_header(name, value)
        self.send_header('Connection', 'close')
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def _discard_input(self):
        """Close the sending side; discard input until the caller closes."""
        self.conn_state[2] = wsgi.STATE_CLOSE
        self.wfile.flush()
        self.connection.shutdown(socket.SHUT_WR)
        self._stream.start_time_limit(DISCARD_MS)
        remaining_bytes = DISCARD_BYTES
        buffer = bytearray(16_384)
        while remaining_bytes > 0:
            count = self._stream.readinto(buffer)
            if not count:
                return
            remaining_bytes -= count
