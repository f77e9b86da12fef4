"""The WSGI applications of the callers' and the operators' port."""

import urllib.parse

import msgspec

from hawthornfold.callers import requests
from hawthornfold.callers.handling import QUERY_PATH
from hawthornfold.codes import ResultCode

TICKETS_PATH = '/v1/tickets'
OPERATOR_PREFIX = '/v1/operator/'
DEFAULT_AUDIT_LIMIT = 100

_REASONS = {
    200: 'OK',
    400: 'Bad Request',
    403: 'Forbidden',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    409: 'Conflict',
    410: 'Gone',
    413: 'Content Too Large',
    428: 'Precondition Required',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def _read_headers(environ):
    return {
        key[5:].replace('_', '-').lower(): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }


class _Responder:
    """Sends answers; shared by both applications."""

    def __init__(self, lifecycle):
        self._lifecycle = lifecycle

    def _send(self, start_response, answer):
        headers = []
        after_ms = answer.document.get('retry_after_ms')
        if after_ms is not None:
            # Whole seconds, rounded up; the body has milliseconds.
            headers.append(('Retry-After', str(-(-after_ms // 1000))))
        return self._send_bytes(
            start_response,
            answer.status,
            'application/json',
            answer.body,
            headers,
        )

    def _send_bytes(self, start_response, status, content, body, headers=()):
        all_headers = [
            ('Content-Type', content),
            ('Content-Length', str(len(body))),
            *headers,
        ]
        if self._lifecycle.is_stopping:
            all_headers.append(('Connection', 'close'))
        reason = _REASONS.get(status, 'Error')
        start_response(f'{status} {reason}', all_headers)
        return [body]


class CallerApplication(_Responder):
    """Queries, tickets, liveness and readiness."""

    def __init__(self, context, handler):
        super().__init__(context.lifecycle)
        self._max_body_bytes = context.settings.callers.max_body_bytes
        self._handler = handler
        self._metrics = context.metrics

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        with self._lifecycle.track_request():
            answer = self._answer(environ)
            return self._send(start_response, answer)

    def _answer(self, environ):
        path = environ.get('PATH_INFO', '')
        method = environ['REQUEST_METHOD']
        if path == '/healthz':
            return requests.CallerAnswer(200, {'alive': True})
        if path == '/readyz':
            return self._readiness()
        if path not in (QUERY_PATH, TICKETS_PATH):
            return requests.create_refusal(
                ResultCode.PATH_UNKNOWN, 'no such path'
            )
        if method != 'POST':
            return requests.create_refusal(
                ResultCode.METHOD_NOT_ALLOWED, f'{path} takes POST'
            )
        if path == TICKETS_PATH:
            return self._handler.issue_ticket()
        body = self._read_body(environ)
        if body is None:
            return requests.create_refusal(
                ResultCode.REQUEST_TOO_LARGE, 'body is too large or missing'
            )
        return self._handler.handle(
            requests.CallerRequest(method, path, _read_headers(environ), body)
        )

    def _readiness(self):
        if self._lifecycle.is_ready:
            return requests.CallerAnswer(200, {'ready': True})
        document = {'ready': False, 'state': self._lifecycle.state}
        return requests.CallerAnswer(503, document)

    def _read_body(self, environ):
        """Read the whole body; None when it has no or too great a length."""
        length = environ.get('CONTENT_LENGTH') or '0'
        if not length.isdigit() or int(length) > self._max_body_bytes:
            return None
        body = environ['wsgi.input'].read(int(length))
        return body if len(body) == int(length) else b''


class OperatorApplication(_Responder):
    """Status, audit trail, metrics and explanations for operators."""

    def __init__(self, context, describe_status):
        super().__init__(context.lifecycle)
        self._describe_status = describe_status
        self._audit = context.audit
        self._journal = context.journal
        self._metrics = context.metrics

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        path = environ.get('PATH_INFO', '')
        if path == OPERATOR_PREFIX + 'metrics':
            accept = environ.get('HTTP_ACCEPT', 'text/plain').split(',')
            body, headers = self._metrics.render(accept)
            content = headers.get('Content-Type', 'text/plain')
            return self._send_bytes(start_response, 200, content, body)
        return self._send(start_response, self._answer(path, environ))

    def _answer(self, path, environ):
        if path == OPERATOR_PREFIX + 'status':
            return requests.CallerAnswer(200, self._describe_status())
        if path == OPERATOR_PREFIX + 'audit':
            return self._list_audit(environ)
        if path.startswith(OPERATOR_PREFIX + 'explain/'):
            prefix = OPERATOR_PREFIX + 'explain/'
            return self._explain(path.removeprefix(prefix))
        return requests.create_refusal(ResultCode.PATH_UNKNOWN, 'no such path')

    def _list_audit(self, environ):
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        text = query.get('limit', [''])[0]
        limit = int(text) if text.isdigit() else DEFAULT_AUDIT_LIMIT
        entries = [entry._asdict() for entry in self._audit.entries(limit)]
        return requests.CallerAnswer(200, {'entries': entries})

    def _explain(self, request_id):
        events = self._journal.events(request_id)
        if events is None:
            return requests.create_refusal(
                ResultCode.REQUEST_ID_UNKNOWN,
                'this node holds no record of the request',
                'unknown',
            )
        document = {
            'request_id': request_id,
            'events': [event._asdict() for event in events],
        }
        return requests.CallerAnswer(200, msgspec.to_builtins(document))


def create_caller_application(context, handler):
    """Create the application of the callers' port."""
    return CallerApplication(context, handler)


def create_operator_application(context, describe_status):
    """Create the application of the operators' port.

    Parameters
    ----------
    describe_status : callable
        Returns the status document, a dictionary.
    """
    return OperatorApplication(context, describe_status)
