"""Builds answers to callers: merged, passed on or a refusal."""

import http
import math
import typing

from hawthornfold.codes import ResultCode
from hawthornfold.gateway.exchange import strip_connection_headers
from hawthornfold.gathering import Verdict

# Retry-After of refusals, in milliseconds. A node without a configuration has
# to read the store first; a service without a server has to wait until a
# server restarts or a probe succeeds.
RETRY_AFTER_MS = {
    ResultCode.NOT_READY: 500.0,
    # Other nodes serve the request at once.
    ResultCode.STOPPING: 0.0,
    ResultCode.BELIEFS_STALE: 1_000.0,
    ResultCode.BACKEND_UNREACHABLE: 300.0,
    ResultCode.DEADLINE_EXCEEDED: 300.0,
    ResultCode.RATE_LIMITED: 500.0,
}
# Statuses that tell a caller that the request was not executed. A server's
# failure with such a status is not passed on, because the server may have
# executed the request.
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Headers that the node replaces by its own.
_DROPPED_HEADERS = frozenset(('content-length',))


class GatewayAnswer(typing.NamedTuple):
    """The answer to a caller.

    Parameters
    ----------
    overdue_ms : float
        Time from the objective until the required minimum share of shards
        had answered, in milliseconds; 0 if they answered in time.
    due_ms : float or None
        When the answer was due, on the node's clock, if it was sent at that
        time and not earlier. Its delay is then a sample of the node's.
    is_final : bool
        Whether no other node is to try the request: a server has answered it,
        or a refusal holds for the whole fleet.
    signals : tuple of (ServerRecord, ServerSignals)
        What servers said that concerns each node that passes the answer on.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    overdue_ms: float = 0.0
    due_ms: float | None = None
    is_final: bool = False
    signals: tuple = ()

    @property
    def status_line(self):
        """Status code and reason phrase, as WSGI expects them."""
        try:
            reason = http.HTTPStatus(self.status).phrase
        except ValueError:
            reason = 'Unknown'
        return f'{self.status} {reason}'


def create_answer(decision, execution, verdict, names, retry_after_ms=None):
    """Create the answer to a request that has ended.

    Parameters
    ----------
    decision : Decision
        The rule of the request.
    execution : Execution
        Its answers and failures.
    verdict : Verdict or None
        How it ended; None if the caller has disconnected.
    names : HeaderNames
        The deployment's header names.
    retry_after_ms : float or None
        As for `create_refusal`, if no server has executed the request.

    Returns
    -------
    GatewayAnswer or None
        None if the caller has disconnected.
    """
    if verdict is None:
        return None
    if verdict in (Verdict.COMPLETE, Verdict.PARTIAL):
        if decision.gather is None:
            return _pass_on(execution.collected.answers[0])
        return _merge_answers(execution.collected, names)
    failure = execution.collected.failure
    if (
        verdict is Verdict.PASSED_FAILURE
        and failure.status not in _NOT_EXECUTED_STATUSES
    ):
        return _pass_on(failure)
    if verdict is Verdict.NOT_RUN:
        return create_refusal(
            ResultCode.BACKEND_UNREACHABLE,
            503,
            'no server can run it',
            retry_after_ms,
        )
    if verdict is Verdict.TIMED_OUT:
        return create_refusal(
            ResultCode.DEADLINE_EXCEEDED, 504, 'no answer in time'
        )
    return create_refusal(
        ResultCode.BACKEND_CONNECTION_LOST, 502, 'it may have run'
    )


def _merge_answers(collected, names):
    headers = (
        (names.part_seals, ', '.join(a.seal for a in collected.answers)),
        (names.missing_parts, str(collected.missing_count)),
        ('Content-Type', 'application/octet-stream'),
    )
    return GatewayAnswer(200, headers, collected.merged_records)


def _pass_on(response):
    headers = tuple(
        (name, value)
        for name, value in strip_connection_headers(response.headers)
        if name.lower() not in _DROPPED_HEADERS
    )
    return GatewayAnswer(
        response.status, headers, response.body, is_final=True
    )


def create_refusal(code, status, detail, retry_after_ms=None):
    """Create a plain-text refusal; with status 503 it has Retry-After.

    Parameters
    ----------
    code : ResultCode
        Named in the body.
    status : int
        HTTP status.
    detail : str
        Reason, for the body.
    retry_after_ms : float or None
        Time until the request can be served, if it is known; None for the
        usual time of the code.

    Returns
    -------
    GatewayAnswer
    """
    headers = [('Content-Type', 'text/plain')]
    if retry_after_ms is None:
        retry_after_ms = RETRY_AFTER_MS.get(code)
    if status == 503 and retry_after_ms is not None:
        # Rounded up: a caller that returns earlier is refused again.
        seconds = math.ceil(retry_after_ms / 10.0) / 100.0
        headers.append(('Retry-After', f'{seconds:.2f}'))
    body = f'{int(code)} {code.name}: {detail}\n'.encode()
    return GatewayAnswer(status, tuple(headers), body)
