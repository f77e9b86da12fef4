"""Callers' requests and their answers: bodies, statuses, headers."""

import typing

import msgspec
from result import Err
from result import Ok

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode

KINDS = ('search', 'status', 'record')
MAX_LIMIT = 1000
# Maximum length, in characters, of the detail of a refused body: it can quote
# names from the request, of any length.
MAX_DETAIL_LENGTH = 200


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of ``POST /v1/query``."""

    service: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    kind: typing.Literal['search', 'status', 'record']
    text: typing.Annotated[str, msgspec.Meta(max_length=4096)] = ''
    limit: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_LIMIT)] = 10


class CallerRequest(typing.NamedTuple):
    """A request that was read from a caller or forwarded by a node.

    Parameters
    ----------
    method, path : str
        From the request line.
    headers : dict of str to str
        Header values by lowercase name.
    body : bytes
        The raw body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class CallerAnswer(typing.NamedTuple):
    """An HTTP status and the JSON object that is the body."""

    status: int
    document: dict[str, typing.Any]

    @property
    def body(self):
        """The document as encoded JSON."""
        return _ENCODER.encode(self.document)


_ENCODER = msgspec.json.Encoder()
_BODY_DECODER = msgspec.json.Decoder(QueryBody)

# HTTP statuses by result code. Codes of backend servers and peers (5xx, 6xx)
# that are not listed have status 503. Codes of documents, settings and the
# platform (1xx, 2xx, 7xx) never reach a caller.
_STATUSES = {
    ResultCode.OK: 200,
    ResultCode.PARTIAL: 200,
    ResultCode.REQUEST_MALFORMED: 400,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.SERVICE_UNKNOWN: 404,
    ResultCode.RULE_NOT_MATCHED: 403,
    ResultCode.PATH_UNKNOWN: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.REQUEST_QUARANTINED: 400,
    ResultCode.TICKET_INVALID: 400,
    ResultCode.TICKET_EXPIRED: 410,
    ResultCode.TICKET_CONFLICT: 409,
    ResultCode.TICKET_REQUIRED: 428,
    ResultCode.REQUEST_ID_UNKNOWN: 404,
    ResultCode.TOO_MANY_CONNECTIONS: 429,
    ResultCode.DEADLINE_EXCEEDED: 504,
    ResultCode.TICKET_ANSWER_GONE: 410,
    ResultCode.TICKET_ISSUER_UNREACHABLE: 503,
    ResultCode.TICKET_IN_PROGRESS: 503,
    ResultCode.NOT_READY: 503,
    ResultCode.STOPPING: 503,
    ResultCode.OVERLOADED: 503,
    ResultCode.COVERAGE_TOO_LOW: 503,
    ResultCode.SNAPSHOT_UNAVAILABLE: 503,
    ResultCode.BELIEFS_STALE: 503,
    ResultCode.INTERNAL: 500,
}

# Time after which a retry by the caller may succeed, by result code.
_RETRY_AFTER_MS = {
    ResultCode.NOT_READY: 1000,
    ResultCode.STOPPING: 1000,
    ResultCode.OVERLOADED: 1000,
    ResultCode.BELIEFS_STALE: 2000,
    ResultCode.SNAPSHOT_UNAVAILABLE: 2000,
    ResultCode.COVERAGE_TOO_LOW: 2000,
    ResultCode.TICKET_IN_PROGRESS: 1000,
    ResultCode.TICKET_ISSUER_UNREACHABLE: 5000,
    ResultCode.TICKET_REQUIRED: 0,
    ResultCode.DEADLINE_EXCEEDED: 2000,
    ResultCode.TOO_MANY_CONNECTIONS: 1000,
}


def http_status(code):
    """Return the HTTP status of a result code.

    Examples
    --------
    >>> http_status(ResultCode.OVERLOADED)
    503
    """
    if code in _STATUSES:
        return _STATUSES[code]
    return 503 if 500 <= int(code) < 700 else 500


def retry_after_ms(code):
    """Return the time until a retry may succeed, or None if it can't.

    The time is in milliseconds.
    """
    if code in _RETRY_AFTER_MS:
        return _RETRY_AFTER_MS[code]
    return 1000 if 500 <= int(code) < 700 else None


def create_headers(answer, body):
    """Return the HTTP headers of an answer as (name, value) pairs.

    Examples
    --------
    >>> answer = create_refusal(ResultCode.OVERLOADED, 'shed')
    >>> create_headers(answer, b'{}')[1:]
    [('Content-Length', '2'), ('Retry-After', '1')]
    """
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    after_ms = answer.document.get('retry_after_ms')
    if after_ms is not None:
        # The header has whole seconds, rounded up; the body has
        # milliseconds.
        headers.append(('Retry-After', str(-(-after_ms // 1000))))
    return headers


def parse_body(data):
    """Parse a query body; Err with a `Failure` if it is not valid.

    Examples
    --------
    >>> parse_body(b'{"service": "a", "kind": "search"}').ok_value.limit
    10
    >>> parse_body(b'[]').err_value.code.name
    'REQUEST_MALFORMED'
    """
    try:
        return Ok(_BODY_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        detail = str(error)[:MAX_DETAIL_LENGTH]
        return Err(Failure(ResultCode.REQUEST_MALFORMED, detail))


def create_refusal(code, detail, ran='no', **fields):
    """Create the answer to a request that was refused.

    Parameters
    ----------
    ran : str
        ``no``, ``yes`` or ``unknown``: whether the request has run.
    **fields
        Further fields of the document.

    Examples
    --------
    >>> create_refusal(ResultCode.NOT_READY, 'starting').document['ran']
    'no'
    """
    document = {
        'outcome': 'refused',
        'code': int(code),
        'code_name': code.name,
        'detail': detail,
        'ran': ran,
        **fields,
    }
    after_ms = retry_after_ms(code)
    if after_ms is not None:
        document['retry_after_ms'] = after_ms
    return CallerAnswer(http_status(code), document)
