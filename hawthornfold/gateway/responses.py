"""Parses the responses of a server with httptools."""

import httptools

# Larger responses are refused, because the node's memory is small.
MAX_RESPONSE_BYTES = 16 << 20


class ResponseReader:
    """Parses the responses of one connection, one after the other.

    `begin` has to be called before each response.
    """

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._has_no_body = False
        self._reset()

    def _reset(self):
        # Names and values as received.
        self.raw_headers = []
        self._chunks = []
        self._size = 0
        self._has_head = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._keeps_open = False

    def begin(self, method):
        """Prepare for the response to a request.

        Parameters
        ----------
        method : str
            Method of the request; a response to HEAD has no body.
        """
        self._reset()
        self._has_no_body = method == 'HEAD'

    @property
    def is_complete(self):
        """Whether the response is complete."""
        return self._is_complete

    @property
    def has_extra_bytes(self):
        """Whether bytes that belong to no response came after this one."""
        return self._has_extra_bytes

    @property
    def status(self):
        """The HTTP status code."""
        return self._parser.get_status_code()

    @property
    def body(self):
        """The body received so far."""
        return b''.join(self._chunks)

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

        Raises
        ------
        ValueError
            If they are not an HTTP response, or the body is too large.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_complete:
                raise ValueError(f'{type(error).__name__}: {error}')
            self._has_extra_bytes = True
        except httptools.HttpParserUpgrade:
            raise ValueError('the server switches to another protocol')
        if self._size > MAX_RESPONSE_BYTES:
            raise ValueError('the response is too large')

    def feed_eof(self):
        """Handle the end of the connection.

        It completes a response without a length; any other is incomplete.
        """
        if self._has_head:
            fields = self.read_fields()
            self._is_complete = (
                b'content-length' not in fields
                and b'transfer-encoding' not in fields
            )

    # Callbacks of httptools.

    def on_message_begin(self):
        """Start a response, or record that another one follows."""
        if self._is_complete:
            self._has_extra_bytes = True
        else:
            # An interim response may have come first.
            self._reset()

    def on_header(self, name, value):
        """Store a header."""
        if not self._is_complete:
            self.raw_headers.append((name, value))

    def on_headers_complete(self):
        """Record the end of the head."""
        # An interim response is not completed by the end of the connection.
        self._has_head = self.status >= 200
        if self._has_no_body and self.status >= 200:
            # The parser still expects the body, so that it cannot parse
            # another response.
            self._is_complete = True

    def on_body(self, data):
        """Store a chunk of the body."""
        if not self._is_complete:
            self._chunks.append(data)
            self._size += len(data)

    def on_message_complete(self):
        """Record the end of the response; ignore interim (1xx) responses."""
        if self.status >= 200 and not self._is_complete:
            self._is_complete = True
            self._keeps_open = self._parser.should_keep_alive()
