"""What an exchange with a backend server has come to."""

import enum
import typing


class OutcomeKind(enum.Enum):
    """How an exchange ended, by what it says about execution."""

    # The server's own success, complete and for this request.
    ANSWERED = 'answered'
    # The server's own failure; the request ran.
    FAILED = 'failed'
    # The server says that it did not execute the request.
    NOT_EXECUTED = 'not-executed'
    # Another server has the address; it did not execute the request.
    WRONG_SERVER = 'wrong-server'
    # No connection: nothing was sent.
    UNREACHABLE = 'unreachable'
    # Sent, and no usable answer: the request may have run.
    LOST = 'lost'

    @property
    def may_have_run(self):
        """Whether the request may have been executed."""
        return self in _MAY_HAVE_RUN

    @property
    def may_have_arrived(self):
        """Whether the request may have reached the server."""
        return self is not OutcomeKind.UNREACHABLE


_MAY_HAVE_RUN = frozenset(
    (OutcomeKind.ANSWERED, OutcomeKind.FAILED, OutcomeKind.LOST)
)


class ServerResponse(typing.NamedTuple):
    """The response of a server, complete.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values as the server sent them.
    body : bytes
        The whole body.
    seal : str
        The server's proof of origin, empty without one.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seal: str


class ExchangeOutcome(typing.NamedTuple):
    """The end of one exchange.

    Parameters
    ----------
    kind : OutcomeKind
        How it ended.
    response : ServerResponse or None
        The response, where a complete one came.
    detail : str
        The reason of a failure, for the log.
    """

    kind: OutcomeKind
    response: ServerResponse | None = None
    detail: str = ''
