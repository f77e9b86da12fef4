"""Determines from response headers whether a connection may be reused."""

# Idle connections are not reused from this long before the server's announced
# idle limit. When a request and the server's close cross, it is unknown
# whether the request was executed.
IDLE_MARGIN_MS = 1_000.0
# Assumed idle limit of servers that announce none.
DEFAULT_IDLE_LIMIT_MS = 4_000.0
# Non-idempotent requests reuse a connection only within this time after its
# last answer. A reset would leave it unknown whether they were executed.
NON_IDEMPOTENT_IDLE_MS = 300.0
# Longer numbers of seconds are ignored: they would not fit into a float.
_MAX_DIGITS = 9


class ConnectionReuse:
    """What the responses on a connection say about its reuse."""

    def __init__(self):
        self._idle_limit_ms = DEFAULT_IDLE_LIMIT_MS
        self._is_identified = False

    @property
    def is_identified(self):
        """Whether the last response contains the id of its request.

        A late copy without an id could not be told from the next response.
        """
        return self._is_identified

    def idle_limit_ms(self, is_idempotent):
        """Return for how long an idle connection may carry a new request."""
        if is_idempotent:
            return self._idle_limit_ms
        return min(self._idle_limit_ms, NON_IDEMPOTENT_IDLE_MS)

    def record_headers(self, raw_headers, request_id_name):
        """Record the headers of a response.

        Parameters
        ----------
        raw_headers : iterable of (bytes, bytes)
            Names and values. A later idle limit replaces an earlier one.
        request_id_name : bytes
            Lowercase name of the header with the request id.
        """
        self._is_identified = False
        for name, value in raw_headers:
            name = name.lower()
            if name == b'keep-alive':
                self._record_keep_alive(value)
            elif name == request_id_name:
                self._is_identified = bool(value)

    def _record_keep_alive(self, text):
        for token in text.split(b','):
            name, _, value = token.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                if len(value) > _MAX_DIGITS:
                    continue
                limit_ms = int(value) * 1000.0 - IDLE_MARGIN_MS
                self._idle_limit_ms = max(limit_ms, NON_IDEMPOTENT_IDLE_MS)


def create_connection_reuse():
    """Create the state of a connection that has carried no response.

    Examples
    --------
    >>> reuse = create_connection_reuse()
    >>> headers = [(b'Keep-Alive', b'timeout=9, max=100')]
    >>> reuse.record_headers(headers, b'x-request-id')
    >>> reuse.idle_limit_ms(True), reuse.idle_limit_ms(False)
    (8000.0, 300.0)
    >>> reuse.is_identified
    False
    """
    return ConnectionReuse()
