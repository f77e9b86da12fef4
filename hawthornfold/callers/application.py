"""WSGI applications of the callers' port and the operators' port."""

import abc
import contextlib
import http
import re
import urllib.parse

import logbook
from result import Err
from result import Ok

from hawthornfold.audit import JournalEvent
from hawthornfold.callers import requests
from hawthornfold.callers.handling import QUERY_PATH
from hawthornfold.callers.protocol import CLOSE_KEY
from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode

_LOG = logbook.Logger('callers')

HEALTH_PATH = '/healthz'
READY_PATH = '/readyz'
TICKETS_PATH = '/v1/tickets'
OPERATOR_PREFIX = '/v1/operator/'
DEFAULT_AUDIT_LIMIT = 100

_METHODS = {
    HEALTH_PATH: ('GET', 'HEAD'),
    READY_PATH: ('GET', 'HEAD'),
    QUERY_PATH: ('POST',),
    TICKETS_PATH: ('POST',),
}


def _read_headers(environ):
    return {
        key[5:].replace('_', '-').lower(): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }


def _close_after_answer(environ):
    environ[CLOSE_KEY]()


def _create_failure(code, detail):
    return Err(Failure(code, detail))


class _Responder(abc.ABC):
    """Base of both applications: sends answers and handles errors."""

    def __init__(self, context):
        self._lifecycle = context.lifecycle
        self._metrics = context.metrics

    @abc.abstractmethod
    def _respond(self, environ, send):
        """Answer a request by calling ``send(status, headers, body)``."""

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""

        def send(status, headers, body):
            # The stop may have begun while the request was in progress.
            if self._lifecycle.is_stopping:
                _close_after_answer(environ)
            phrase = http.HTTPStatus(status).phrase
            start_response(f'{status} {phrase}', headers)
            # A caller would read a body after the answer to HEAD as the start
            # of the next answer.
            return [] if environ['REQUEST_METHOD'] == 'HEAD' else [body]

        try:
            return self._respond(environ, send)
        except Exception:  # noqa: BLE001
            # Whatever went wrong, tell the caller that the request may have
            # run.
            self._metrics.count('caller_internal_errors')
            _LOG.exception('request failed with an internal error')
            answer = requests.create_refusal(
                ResultCode.INTERNAL, 'internal error', 'unknown'
            )
            return self._send_answer(send, answer)

    def count(self, name, **labels):
        """Add 1 to a counter; `CallerPort` uses it to count refusals."""
        self._metrics.count(name, **labels)

    def _send_answer(self, send, answer, extra_headers=()):
        body = answer.body
        headers = requests.create_headers(answer, body)
        return send(answer.status, [*headers, *extra_headers], body)


class CallerApplication(_Responder):
    """Serves queries, tickets, liveness and readiness to callers."""

    def __init__(self, context, handler):
        super().__init__(context)
        self._max_body_bytes = context.settings.callers.max_body_bytes
        self._handler = handler

    def track_request(self):
        """Return a context that counts a request as in progress.

        It lasts from the request's first byte to the end of its answer.
        """
        return self._lifecycle.track_request()

    def _respond(self, environ, send):
        path = environ.get('PATH_INFO', '')
        method = environ['REQUEST_METHOD']
        methods = _METHODS.get(path)
        if methods is None:
            answer = requests.create_refusal(
                ResultCode.PATH_UNKNOWN, 'no such path'
            )
        elif method not in methods:
            allowed = ', '.join(methods)
            answer = requests.create_refusal(
                ResultCode.METHOD_NOT_ALLOWED, f'{path} takes {allowed}'
            )
            return self._send_answer(send, answer, [('Allow', allowed)])
        else:
            answer = self._answer_request(path, method, environ)
        return self._send_answer(send, answer)

    def _answer_request(self, path, method, environ):
        if path == HEALTH_PATH:
            return requests.CallerAnswer(200, {'alive': True})
        if path == READY_PATH:
            return self._describe_readiness()
        if path == TICKETS_PATH:
            return self._handler.issue_ticket()
        body = self._read_body(environ)
        if body.is_err():
            # The rest of this body cannot be told apart from a next request.
            _close_after_answer(environ)
            failure = body.err_value
            return requests.create_refusal(failure.code, failure.detail)
        return self._handler.handle(
            requests.CallerRequest(
                method, path, _read_headers(environ), body.ok_value
            )
        )

    def _describe_readiness(self):
        if self._lifecycle.is_ready:
            return requests.CallerAnswer(200, {'ready': True})
        document = {'ready': False, 'state': self._lifecycle.state}
        return requests.CallerAnswer(503, document)

    def _read_body(self, environ):
        """Read the whole body; Err with a `Failure` if it is not complete."""
        length = int(environ.get('CONTENT_LENGTH') or '0')
        if length > self._max_body_bytes:
            return _create_failure(
                ResultCode.REQUEST_TOO_LARGE, 'the body is too large'
            )
        try:
            body = environ['wsgi.input'].read(length)
        except TimeoutError:
            return _create_failure(
                ResultCode.REQUEST_TIMEOUT, 'the body was not sent in time'
            )
        if len(body) < length:
            return _create_failure(
                ResultCode.REQUEST_MALFORMED,
                f'the body ended after {len(body)} of {length} bytes',
            )
        if not body:
            return _create_failure(
                ResultCode.REQUEST_MALFORMED,
                'a body with its Content-Length is needed',
            )
        return Ok(body)


class OperatorApplication(_Responder):
    """Serves status, audit trail, metrics and explanations to operators."""

    def __init__(self, context, describe_status):
        super().__init__(context)
        self._describe_status = describe_status
        self._audit = context.audit
        self._journal_lookup = context.journal_lookup

    def track_request(self):
        """Return an empty context: a stop doesn't wait for these requests."""
        return contextlib.nullcontext()

    def _respond(self, environ, send):
        path = environ.get('PATH_INFO', '')
        if path == OPERATOR_PREFIX + 'metrics':
            accept = environ.get('HTTP_ACCEPT', 'text/plain').split(',')
            body, headers = self._metrics.render(accept)
            content = headers.get('Content-Type', 'text/plain')
            headers = [
                ('Content-Type', content),
                ('Content-Length', str(len(body))),
            ]
            return send(200, headers, body)
        return self._send_answer(send, self._answer_request(path, environ))

    def _answer_request(self, path, environ):
        if path == OPERATOR_PREFIX + 'status':
            return requests.CallerAnswer(200, self._describe_status())
        if path == OPERATOR_PREFIX + 'audit':
            return self._list_audit_entries(environ)
        if path.startswith(OPERATOR_PREFIX + 'explain/'):
            prefix = OPERATOR_PREFIX + 'explain/'
            return self._explain_request(path.removeprefix(prefix))
        return requests.create_refusal(ResultCode.PATH_UNKNOWN, 'no such path')

    def _list_audit_entries(self, environ):
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        text = query.get('limit', [''])[0]
        limit = DEFAULT_AUDIT_LIMIT
        if re.fullmatch('[0-9]{1,6}', text):
            limit = int(text)
        entries = [entry._asdict() for entry in self._audit.entries(limit)]
        return requests.CallerAnswer(200, {'entries': entries})

    def _explain_request(self, request_id):
        node, events = self._journal_lookup.find_events(request_id)
        if events is None:
            return requests.create_refusal(
                ResultCode.REQUEST_ID_UNKNOWN,
                f'node {node} holds no record of the request',
                'unknown',
            )
        document = {
            'request_id': request_id,
            'node': node,
            'events': [JournalEvent(*event)._asdict() for event in events],
        }
        return requests.CallerAnswer(200, document)


def create_caller_application(context, handler):
    """Create the application of the callers' port.

    Parameters
    ----------
    handler : RequestHandler
        Answers queries and issues tickets.
    """
    return CallerApplication(context, handler)


def create_operator_application(context, describe_status):
    """Create the application of the operators' port.

    Parameters
    ----------
    describe_status : callable
        Returns the status document, a dictionary.
    """
    return OperatorApplication(context, describe_status)
