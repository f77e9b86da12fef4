"""Encodes sub-requests and validates the replies of backend servers."""

import enum
import typing

import msgspec
from result import Err
from result import Ok

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode

MAX_REPLY_BYTES = 1024 * 1024


class Ran(enum.IntEnum):
    """Whether the server executed a request."""

    NO = 0
    YES = 1
    UNKNOWN = 2


class SubRequest(typing.NamedTuple):
    """The part of a query that one server executes.

    Parameters
    ----------
    deadline_ms : int
        Time left when the request is sent, in milliseconds.
    """

    request_id: str
    attempt: int
    snapshot: str
    deadline_ms: int
    shards: tuple[str, ...]
    kind: str
    text: str
    limit: int


class Hit(typing.NamedTuple):
    """One matching document."""

    id: str
    score: int
    text: str


class ShardAnswer(typing.NamedTuple):
    """The answer of one shard: the number of matches and the best ones."""

    shard: str
    total: int
    hits: tuple[Hit, ...]


class BackendReply(typing.NamedTuple):
    """A validated reply; the entry node decodes `answers`."""

    incarnation: str
    held: tuple[str, ...]
    is_draining: bool
    answers: bytes


class BackendHealth(typing.TypedDict):
    """The health report of a server."""

    incarnation: str
    draining: bool
    held: list[str]
    load: float
    slots: int
    cold: bool


class _HitDocument(msgspec.Struct):
    id: str
    score: int
    text: str


class _AnswerDocument(msgspec.Struct):
    shard: str
    total: typing.Annotated[int, msgspec.Meta(ge=0)]
    hits: list[_HitDocument]


class _ShardName(msgspec.Struct):
    shard: str


class _ReplyDocument(msgspec.Struct):
    request_id: str
    attempt: int
    snapshot: str
    held: list[str]
    incarnation: str
    draining: bool
    answers: msgspec.Raw


class _RefusalDocument(msgspec.Struct):
    request_id: str
    attempt: int
    ran: bool
    reason: str
    incarnation: str = ''
    held: list[str] = []


_ENCODER = msgspec.json.Encoder()
_REPLY_DECODER = msgspec.json.Decoder(_ReplyDocument)
_REFUSAL_DECODER = msgspec.json.Decoder(_RefusalDocument)
_NAMES_DECODER = msgspec.json.Decoder(list[_ShardName])
_ANSWERS_DECODER = msgspec.json.Decoder(list[_AnswerDocument])
_HEALTH_DECODER = msgspec.json.Decoder(BackendHealth)

# Statuses with which a server refuses a request.
REFUSAL_STATUSES = frozenset((409, 503))
REFUSAL_CODES = {
    'draining': ResultCode.BACKEND_DRAINING,
    'overloaded': ResultCode.BACKEND_REFUSED,
    'snapshot': ResultCode.BACKEND_SNAPSHOT,
    'deadline': ResultCode.DEADLINE_EXCEEDED,
}


class Refusal(typing.NamedTuple):
    """A refusal whose request id and attempt match the request.

    Parameters
    ----------
    code : ResultCode
        Why the server refused.
    ran : Ran
        Whether the server reports that it executed the request.
    incarnation : str
        The server's incarnation, empty if it was not reported.
    held : tuple of str
        Snapshots that the server holds, empty if it did not report any.
    """

    code: ResultCode
    ran: Ran
    incarnation: str
    held: tuple[str, ...]


def encode_sub_request(request):
    """Encode a `SubRequest` as the JSON object a server expects."""
    return _ENCODER.encode(request._asdict())


def _bad_reply(detail):
    return Err(Failure(ResultCode.BACKEND_BAD_REPLY, detail))


def decode_reply(request, data):
    """Decode a 200 reply and check that it answers `request`.

    A reply that names another request, attempt, snapshot or set of shards is
    invalid: connections may deliver replies late or to the wrong request.

    Returns
    -------
    result.Result
        Ok with a `BackendReply`, or Err with a `Failure`.
    """
    try:
        reply = _REPLY_DECODER.decode(data)
        names = _NAMES_DECODER.decode(reply.answers)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_reply(str(error))
    if reply.request_id != request.request_id:
        return _bad_reply(f'reply names request {reply.request_id}')
    if reply.attempt != request.attempt:
        return _bad_reply(f'reply names attempt {reply.attempt}')
    if reply.snapshot != request.snapshot:
        return _bad_reply(f'reply names snapshot {reply.snapshot}')
    answered = sorted(entry.shard for entry in names)
    if answered != sorted(request.shards):
        return _bad_reply('reply answers other shards than asked')
    return Ok(
        BackendReply(
            reply.incarnation,
            tuple(reply.held),
            reply.draining,
            bytes(reply.answers),
        )
    )


def decode_refusal(request, status, data):
    """Decode a refusal; None if it is none, or does not match `request`."""
    if status not in REFUSAL_STATUSES:
        return None
    try:
        refusal = _REFUSAL_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if (refusal.request_id, refusal.attempt) != (
        request.request_id,
        request.attempt,
    ):
        return None
    code = REFUSAL_CODES.get(refusal.reason, ResultCode.BACKEND_REFUSED)
    ran = Ran.YES if refusal.ran else Ran.NO
    return Refusal(code, ran, refusal.incarnation, tuple(refusal.held))


def decode_answers(data):
    """Decode the answers of one reply on the entry node.

    Returns
    -------
    list of ShardAnswer or None
        None if `data` is not valid.
    """
    try:
        documents = _ANSWERS_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return [
        ShardAnswer(
            document.shard,
            document.total,
            tuple(Hit(h.id, h.score, h.text) for h in document.hits),
        )
        for document in documents
    ]


def decode_health(data):
    """Decode a health report; Err with a `Failure` if it is invalid."""
    try:
        return Ok(_HEALTH_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_reply(str(error))
