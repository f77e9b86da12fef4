"""Builds the requests to backend servers and classifies the responses.

The head is built once per request, and httptools parses the responses. An
exchange through urllib3 costs three times the processor time, and a query
needs one for each of its shards (docs/decisions/exchanges.md).
"""

import typing

from hawthornfold.gathering import NO_SIGNALS
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import ServerResponse
from hawthornfold.gathering import ServerSignals

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


# Larger numbers in headers are ignored: they would not fit into a float.
_MAX_DIGITS = 9


class OutgoingRequest(typing.NamedTuple):
    """A caller's request as it is sent to servers.

    Parameters
    ----------
    method : str
        The HTTP method.
    head : bytes
        Request line and the headers that are the same for all servers.
    body : bytes
        The body.
    request_id : str
        The caller's id of the request.
    is_idempotent : bool
        Whether the request may be executed twice.
    """

    method: str
    head: bytes
    body: bytes
    request_id: str
    is_idempotent: bool = True


def create_outgoing_request(method, target, headers, body, request_id, names):
    """Create an `OutgoingRequest` from a caller's request.

    Parameters
    ----------
    headers : iterable of tuple of str
        All headers as the caller sent them.
    names : HeaderNames
        The deployment's header names. The deadline and target headers are
        left out, because the node sets its own.

    Returns
    -------
    OutgoingRequest
    """
    replaced = {names.deadline.lower(), names.target.lower(), 'content-length'}
    lines = [f'{method} {target} HTTP/1.1\r\n']
    lines += [
        f'{name}: {value}\r\n'
        for name, value in strip_connection_headers(headers)
        if name.lower() not in replaced
    ]
    if body or method in ('POST', 'PUT', 'PATCH'):
        lines.append(f'Content-Length: {len(body)}\r\n')
    head = ''.join(lines).encode('latin-1')
    return OutgoingRequest(method, head, body, request_id)


def strip_connection_headers(headers):
    """Return the end-to-end headers, without hop-by-hop ones.

    Examples
    --------
    >>> strip_connection_headers(
    ...     [('Connection', 'close, X-Hop'), ('X-Hop', '1'), ('X-A', '2')]
    ... )
    (('X-A', '2'),)
    """
    dropped = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == 'connection':
            dropped.update(token.strip().lower() for token in value.split(','))
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


class ResponseClassifier:
    """Determines what the complete response of a server means.

    Parameters
    ----------
    names : HeaderNames
        The deployment's header names.
    """

    def __init__(self, names):
        self._load = names.load.lower().encode()
        self._not_executed = names.not_executed.lower().encode()
        self._seal = names.seal.lower().encode()
        self._request_id = names.request_id.lower().encode()
        self._warmup = names.warmup.lower().encode()
        self._leaving = names.leaving.lower().encode()
        self._retry_after = names.retry_after.lower().encode()
        self._rate_limit = names.rate_limit.lower().encode()

    @property
    def request_id_name(self):
        """Lowercase name of the header with the request id, as bytes."""
        return self._request_id

    def classify(self, request, reader, is_reused=False):
        """Return the outcome of an exchange.

        Parameters
        ----------
        request : OutgoingRequest
            The request of the exchange.
        reader : ResponseReader
            Its complete response.
        is_reused : bool
            Whether the connection has carried an earlier response. One
            without a request id may then be a late copy of that.

        Returns
        -------
        tuple of (ExchangeOutcome, int or None)
            The outcome, and the number of requests that wait at the server
            if it reports one.
        """
        status = reader.status
        fields = reader.read_fields()
        # Another request's refusal says nothing about this one, so the id is
        # compared first.
        fault = self._find_origin_fault(request, fields)
        if fault:
            return ExchangeOutcome(OutcomeKind.LOST, None, fault), None
        if status == 421:
            return ExchangeOutcome(
                OutcomeKind.WRONG_SERVER, None, 'status 421'
            ), None
        is_unidentified = is_reused and not fields.get(self._request_id)
        waiting_count = _parse_waiting_count(fields.get(self._load, b''))
        signals = self.read_signals(status, fields)
        if fields.get(self._not_executed) and not (
            is_unidentified and not request.is_idempotent
        ):
            outcome = ExchangeOutcome(
                OutcomeKind.NOT_EXECUTED, None, f'status {status}', signals
            )
            return outcome, waiting_count
        seal = fields.get(self._seal, b'').decode('latin-1')
        fault = self._find_fault(status, fields, seal)
        if is_unidentified:
            fault = 'the connection was in use and there is no request id'
        if fault:
            return ExchangeOutcome(
                OutcomeKind.LOST, None, fault, signals
            ), None
        response = ServerResponse(
            status, tuple(reader.raw_headers), reader.body, seal
        )
        if 200 <= status < 300:
            outcome = ExchangeOutcome(
                OutcomeKind.ANSWERED, response, '', signals
            )
        else:
            outcome = ExchangeOutcome(
                OutcomeKind.FAILED, response, f'status {status}', signals
            )
        return outcome, waiting_count

    def read_signals(self, status, fields):
        """Return what a response says about its server.

        Parameters
        ----------
        status : int
            The HTTP status.
        fields : dict of bytes to bytes
            The header values by lowercase name.

        Returns
        -------
        ServerSignals
            `NO_SIGNALS` if it says nothing, and if another server sent it.
        """
        leaving = fields.get(self._leaving)
        # Equal names are joined.
        is_leaving = leaving is not None and b'1' in map(
            bytes.strip, leaving.split(b',')
        )
        warmup = fields.get(self._warmup, b'')
        is_full = status == 503
        retry_after = fields.get(self._retry_after, b'') if is_full else b''
        rate_limit = fields.get(self._rate_limit)
        if status == 421 or not (
            is_leaving or warmup or is_full or rate_limit is not None
        ):
            return NO_SIGNALS
        return ServerSignals(
            is_leaving,
            warmup.decode('latin-1'),
            retry_after.decode('latin-1'),
            is_full,
            None if rate_limit is None else rate_limit.decode('latin-1'),
        )

    def _find_origin_fault(self, request, fields):
        """Return why a response belongs to another request, or ''."""
        echoed = fields.get(self._request_id)
        if echoed and echoed.decode('latin-1') != request.request_id:
            return 'the response has another request id'
        return ''

    def _find_fault(self, status, fields, seal):
        """Return why a response cannot be used, or ''."""
        if fields.get(b'content-encoding'):
            return 'the response has a content encoding'
        if 200 <= status < 300 and not seal:
            return 'the successful response has no seal'
        return ''


def _parse_waiting_count(text):
    """Return the number of waiting requests in a load header, or None."""
    fields = text.split(b',', 2)
    if len(fields) >= 2:
        waiting = fields[1].strip()
        if waiting.isdigit() and len(waiting) <= _MAX_DIGITS:
            return int(waiting)
    return None
