"""Parses the responses of a server with httptools, within bounds.

The parser keeps no bound itself. It joins the pieces of a header name or value
at a cost that is quadratic in their number, so a head is fed in small pieces,
and its size is checked after each of them.
"""

import contextlib

import httptools

from hawthornfold.sockets import ReadBudgetError

# Maximum size of a head with the interim responses before it. Heads of servers
# have a few hundred bytes, and callers accept no more than 64 KB.
MAX_HEAD_BYTES = 32 << 10
# Size of the pieces in which a head is fed. Header lines of four bytes take
# 350 KB of memory before their number is checked.
HEAD_PIECE_BYTES = 8 << 10
# Maximum number of headers and trailers. Each takes 170 bytes of memory, even
# if it has only four.
MAX_HEADERS = 256
# Maximum number of interim (1xx) responses before a response.
MAX_INTERIM_RESPONSES = 32
# Maximum number of bytes after the head without a byte of the body: chunk
# sizes, chunk extensions and trailers. It exceeds what one call receives.
MAX_FRAMING_BYTES = 96 << 10
# Maximum number of such bytes for each byte of the body, beside the above. A
# chunk with a record of 16 bytes has six of them. Chunks of one byte would
# take the event loop a second for 6 MB.
MAX_FRAMING_RATIO = 0.5
# Responses up to this size use none of the node's budget, so that ordinary
# ones cost no bookkeeping.
FREE_BYTES = 4 << 10


# The valid status codes, and those of responses that end an exchange
# (RFC 9110, section 15).
VALID_STATUSES = range(100, 600)
FINAL_STATUSES = range(200, 600)


class _BoundError(Exception):
    """A response exceeds a bound; the argument is its name."""


class _InvalidResponseError(Exception):
    """Bytes that the parser accepts are no response; says why."""


class ResponseReader:
    """Parses the responses of one connection, one after the other.

    `begin` has to be called before each response, `release` after it has been
    processed, and `close` at the end of the connection.

    Parameters
    ----------
    bounds : ResponseBounds
        The bounds of all responses that the node reads.
    on_revoke : callable, optional
        Called when the response is given up while nothing of it is being
        fed, because the node needs the memory for others. Must not block.
    """

    def __init__(self, bounds, on_revoke=None):
        self._bounds = bounds
        self._on_revoke = on_revoke
        self._parser = httptools.HttpResponseParser(self)
        self._has_no_body = False
        # Whether a bound was counted. Most responses arrive whole, and need
        # no counters.
        self._has_counted = True
        self._reserving = contextlib.ExitStack()
        self._reservation = None
        self._reset()

    def _reset(self):
        # Names and values as received.
        self.raw_headers = []
        # Becomes a bytearray with the second piece. A list would take many
        # times the size of a body in short chunks.
        self._body = b''
        self._size = 0
        self._status = 0
        self._has_head = False
        self._has_final_head = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._keeps_open = False
        if self._has_counted:
            self._reset_counters()

    def _reset_counters(self):
        self._has_counted = False
        self._interim_count = 0
        # Bytes received before the piece in which the head ends.
        self._head_bytes = 0
        self._is_head_checked = False
        # Bytes after the head that are not the body, in all and since the
        # last byte of the body.
        self._framing_bytes = 0
        self._recent_framing_bytes = 0
        self._is_revoked = False

    def begin(self, method):
        """Prepare for the response to a request.

        Parameters
        ----------
        method : str
            Method of the request; a response to HEAD has no body.
        """
        if self._has_head or self._has_counted:
            self.release()
        self._has_no_body = method == 'HEAD'

    @property
    def is_complete(self):
        """Whether the response is complete."""
        return self._is_complete

    @property
    def is_revoked(self):
        """Whether the response was given up for the memory of others."""
        return self._is_revoked

    @property
    def has_head(self):
        """Whether the head of a response is complete."""
        return self._has_head

    @property
    def has_extra_bytes(self):
        """Whether bytes that belong to no response came after this one."""
        return self._has_extra_bytes

    @property
    def status(self):
        """The HTTP status code; 0 before the head is complete."""
        return self._status

    @property
    def body(self):
        """The body received so far."""
        return bytes(self._body)

    @property
    def keeps_open(self):
        """Whether the connection may carry another exchange."""
        return self._keeps_open

    def read_fields(self):
        """Return the header values by lowercase name, as bytes.

        Values of equal names are joined.
        """
        fields = {}
        for name, value in self.raw_headers:
            name = name.lower()
            if name in fields:
                value = b'%b, %b' % (fields[name], value)
            fields[name] = value
        return fields

    def feed(self, data):
        """Parse received bytes.

        Parameters
        ----------
        data : bytes
            At most some 64 KB: after the head, bounds are checked once for
            each call.

        Raises
        ------
        ValueError
            If they are not an HTTP response, or exceed a bound.
        """
        if self._is_revoked:
            raise ReadBudgetError('its memory was given to other responses')
        if len(data) > HEAD_PIECE_BYTES and not self._has_final_head:
            data = self._feed_head(data)
        size_before = self._size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _BoundError):
                self._refuse(str(cause))
            if isinstance(cause, _InvalidResponseError):
                raise ValueError(str(cause))
            if not self._is_complete:
                raise ValueError(f'{type(error).__name__}: {error}')
            self._has_extra_bytes = True
        except httptools.HttpParserUpgrade:
            if not self._is_complete:
                raise ValueError('the server switches to another protocol')
            self._has_extra_bytes = True
        if not self._is_complete or len(data) + self._size > FREE_BYTES:
            self._check_bounds(len(data), self._size - size_before)

    def _feed_head(self, data):
        """Parse a head in small pieces; return the bytes after them."""
        rest = memoryview(data)
        while rest and not self._has_final_head:
            self.feed(rest[:HEAD_PIECE_BYTES])
            rest = rest[HEAD_PIECE_BYTES:]
        return rest

    def feed_eof(self):
        """Handle the end of the connection.

        It completes a response without a length; any other is incomplete.
        """
        if self._has_final_head:
            fields = self.read_fields()
            self._is_complete = (
                b'content-length' not in fields
                and b'transfer-encoding' not in fields
            )

    def release(self):
        """Drop the response, and return its memory to the budget."""
        self._reset()
        if self._reservation is not None:
            self._reservation = None
            self._reserving.close()

    def close(self):
        """Release everything; no further method may be called.

        The parser refers to the reader. Without this, both stay in memory
        until a full collection.
        """
        self.release()
        self._parser = None

    def _check_bounds(self, received_bytes, body_bytes):
        """Check the bounds after bytes were parsed, some of them body."""
        self._has_counted = True
        if self._size > self._bounds.body_bytes:
            self._refuse('body')
        if not self._has_final_head:
            self._head_bytes += received_bytes
            if (
                self._head_bytes > MAX_HEAD_BYTES
                or len(self.raw_headers) > MAX_HEADERS
            ):
                self._refuse('head')
        elif not self._is_head_checked:
            self._is_head_checked = True
            if self._head_bytes + received_bytes > MAX_HEAD_BYTES:
                self._check_head_size()
        elif not self._is_complete:
            # Bytes behind a complete response are not its framing.
            self._check_framing(received_bytes - body_bytes, body_bytes)
        if not self._is_complete:
            self._reserve(
                self._head_bytes + self._size + self._recent_framing_bytes
            )

    def _check_head_size(self):
        """Check the size of a complete head, whose end came with a body."""
        size = sum(len(n) + len(v) + 4 for n, v in self.raw_headers)
        if size > MAX_HEAD_BYTES:
            self._refuse('head')

    def _check_framing(self, framing_bytes, body_bytes):
        self._framing_bytes += framing_bytes
        if body_bytes:
            self._recent_framing_bytes = 0
        self._recent_framing_bytes += framing_bytes
        limit_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._size
        if (
            self._recent_framing_bytes > MAX_FRAMING_BYTES
            or self._framing_bytes > limit_bytes
        ):
            self._refuse('framing')

    def _reserve(self, size_bytes):
        if size_bytes <= FREE_BYTES:
            return
        if self._reservation is None:
            self._reservation = self._reserving.enter_context(
                self._bounds.budget.reserve(self._handle_revoked)
            )
        self._reservation.resize(size_bytes)

    def _handle_revoked(self):
        """Drop what was read, since other responses need the memory."""
        self.release()
        self._has_counted = self._is_revoked = True
        if self._on_revoke is not None:
            self._on_revoke()

    def _refuse(self, bound):
        self._bounds.record_refusal(bound)
        raise ValueError(f'the response exceeds the bound of its {bound}')

    # Callbacks of httptools.

    def on_message_begin(self):
        """Start a response, or record that another one follows."""
        if self._is_complete:
            self._has_extra_bytes = True
        elif self._has_head:
            # An interim response came first.
            self._has_counted = True
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise _BoundError('interim')
            self.raw_headers = []
            self._has_head = False

    def on_header(self, name, value):
        """Store a header or trailer."""
        if self._has_final_head:
            self._add_trailer(name, value)
        else:
            self.raw_headers.append((name, value))

    def _add_trailer(self, name, value):
        if not self._is_complete:
            self.raw_headers.append((name, value))
            if len(self.raw_headers) > MAX_HEADERS:
                raise _BoundError('head')

    def on_headers_complete(self):
        """Record the status and the end of the head."""
        if self._is_complete:
            return
        if len(self.raw_headers) > MAX_HEADERS:
            raise _BoundError('head')
        # The parser may have read the next message of the same bytes by the
        # time that the response is classified, and then has its status.
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            raise _InvalidResponseError(f'no response has status {status:03}')
        self._status = status
        self._has_head = True
        self._has_final_head = status in FINAL_STATUSES
        if not self._has_final_head:
            self._check_interim_head()
        if self._has_no_body and self._has_final_head:
            # The parser still expects the body, so that it cannot parse
            # another response.
            self._is_complete = True

    def _check_interim_head(self):
        """Refuse an interim response with a body; it ends with its head.

        The parser would read the body, and this reader would take it for a
        part of the body of the response.
        """
        fields = self.read_fields()
        length = fields.get(b'content-length', b'0')
        if b'transfer-encoding' in fields or length.strip(b'0'):
            raise _InvalidResponseError('an interim response has a body')

    def on_body(self, data):
        """Store a piece of the body."""
        if self._is_complete:
            return
        if not self._size:
            self._body = data
        elif isinstance(self._body, bytes):
            self._body = bytearray(self._body) + data
        else:
            self._body += data
        self._size += len(data)

    def on_message_complete(self):
        """Record the end of the response; ignore interim (1xx) responses."""
        if self._has_final_head and not self._is_complete:
            self._is_complete = True
            self._keeps_open = self._parser.should_keep_alive()
