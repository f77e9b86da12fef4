"""Encodes sub-requests and checks replies of backend servers."""

import enum
import typing

import msgspec
from result import Err
from result import Ok

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode

MAX_REPLY_BYTES = 1024 * 1024


class Ran(enum.IntEnum):
    """Whether a request was executed."""

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
    """The answer of one shard: matches in all, and the best of them."""

    shard: str
    total: int
    hits: tuple[Hit, ...]


class BackendReply(typing.NamedTuple):
    """A checked answer of a server; `answers` stays encoded for the entry."""

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

REFUSAL_CODES = {
    'draining': ResultCode.BACKEND_DRAINING,
    'overloaded': ResultCode.BACKEND_REFUSED,
    'snapshot': ResultCode.BACKEND_SNAPSHOT,
    'deadline': ResultCode.DEADLINE_EXCEEDED,
}


class Refusal(typing.NamedTuple):
    """A refusal that names the request it refuses.

    Parameters
    ----------
    code : ResultCode
        Why the server refused.
    ran : Ran
        What the server says about execution.
    incarnation : str
        The server's incarnation, empty when it did not say.
    held : tuple of str
        Snapshots that the server holds, empty when it did not say.
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

    A reply that names another request, attempt, snapshot or set of shards
    must never count: connections may deliver replies late or crossed.

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


def decode_refusal(request, data):
    """Decode a 503 or 409 reply; None unless it names `request`."""
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
    """Decode the answers of one reply at the entry.

    Returns
    -------
    list of ShardAnswer or None
        None when the bytes are not valid answers.
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
    """Decode a health report; Err with a `Failure` when it is not valid."""
    try:
        return Ok(_HEALTH_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_reply(str(error))
