"""Defines the outcomes of an exchange with a backend server."""

import enum
import typing


class OutcomeKind(enum.Enum):
    """How an exchange ended and whether the request may have run."""

    # The server returned a complete success response to this request.
    ANSWERED = 'answered'
    # The server returned a failure response; the request ran.
    FAILED = 'failed'
    # The server reported that it did not execute the request.
    NOT_EXECUTED = 'not-executed'
    # Another server uses the address now; it did not execute the request.
    WRONG_SERVER = 'wrong-server'
    # There was no connection, so nothing was sent.
    UNREACHABLE = 'unreachable'
    # The node sent nothing, because the server may receive no request now.
    WITHHELD = 'withheld'
    # The request was sent without a usable answer; it may have run.
    LOST = 'lost'

    @property
    def may_have_run(self):
        """Whether the request may have been executed."""
        return self in _MAY_HAVE_RUN

    @property
    def has_response(self):
        """Whether the server has responded to the request itself."""
        return self in _RESPONDED

    @property
    def may_have_arrived(self):
        """Whether the request may have reached the server."""
        return self not in _NOT_SENT


_MAY_HAVE_RUN = frozenset(
    (OutcomeKind.ANSWERED, OutcomeKind.FAILED, OutcomeKind.LOST)
)
_RESPONDED = frozenset(
    (OutcomeKind.ANSWERED, OutcomeKind.FAILED, OutcomeKind.NOT_EXECUTED)
)
_NOT_SENT = frozenset((OutcomeKind.UNREACHABLE, OutcomeKind.WITHHELD))


class ServerResponse(typing.NamedTuple):
    """A complete response of a server.

    Parameters
    ----------
    status : int
        HTTP status.
    raw_headers : tuple of tuple of bytes
        Names and values, as the server sent them.
    body : bytes
        The whole body.
    seal : str
        The server's seal, which proves the origin; empty if it sent none.
    """

    status: int
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    seal: str

    @property
    def headers(self):
        """Names and values as text."""
        return tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in self.raw_headers
        )


class ServerSignals(typing.NamedTuple):
    """What a response says about its server, beside the answer.

    The texts are header values as received; empty if the header is missing.

    Parameters
    ----------
    is_leaving : bool
        Whether the server announces that it leaves.
    warmup : str
        How long the server remains cold, in milliseconds.
    retry_after : str
        For how long a server that is full wants no request of this node, in
        seconds.
    is_full : bool
        Whether the response has status 503.
    rate_limit : str or None
        Requests a second that the server takes from all nodes together; None
        if the header is missing.
    """

    is_leaving: bool = False
    warmup: str = ''
    retry_after: str = ''
    is_full: bool = False
    rate_limit: str | None = None


NO_SIGNALS = ServerSignals()


class ExchangeOutcome(typing.NamedTuple):
    """The outcome of one exchange.

    Parameters
    ----------
    kind : OutcomeKind
        How the exchange ended.
    response : ServerResponse or None
        The response, if a complete one was received.
    detail : str
        The reason of a failure, for the log.
    signals : ServerSignals
        What the response says about the server.
    is_interrupted : bool
        Whether the connection broke before the response was complete. The
        server may have ended while it ran the request.
    """

    kind: OutcomeKind
    response: ServerResponse | None = None
    detail: str = ''
    signals: ServerSignals = NO_SIGNALS
    is_interrupted: bool = False
