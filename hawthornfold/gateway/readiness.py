"""Serves the readiness check, the metrics and the operators' pages."""

import contextlib

import msgspec


class ReadyLimits:
    """Request limits of the port for the balancer and operators."""

    max_headers = 64
    max_connections_per_address = 64
    max_head_bytes = 16_384
    max_body_bytes = 4_096
    read_timeout_ms = 3_000.0
    idle_timeout_ms = 60_000.0


class ReadyApplication:
    """WSGI application for the balancer and operators.

    Parameters
    ----------
    ready_path : str
        Path of the readiness check.
    is_ready : callable
        Returns whether the balancer should send callers to this node.
    pages : dict of str to callable
        By path, a function that returns the content of a JSON page.
    deletions : dict of str to callable
        By path prefix, a function that takes the rest of the path of a DELETE
        request, and returns whether there was something to remove.
    metrics : Metrics
        Rendered at ``/metrics``.
    """

    def __init__(self, ready_path, is_ready, pages, deletions, metrics):
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._pages = pages
        self._deletions = deletions
        self._metrics = metrics

    @contextlib.contextmanager
    def track_request(self):
        """Do nothing: these requests do not count as in progress."""
        yield

    def count(self, name, **labels):
        """Add 1 to a counter."""
        self._metrics.count(name, **labels)

    def __call__(self, environ, start_response):
        """Answer one request according to WSGI."""
        path = environ['PATH_INFO']
        status, kind, body = '404 Not Found', 'text/plain', b''
        if environ['REQUEST_METHOD'] == 'DELETE':
            if self._delete(path):
                status = '204 No Content'
        elif path == self._ready_path:
            is_ready = self._is_ready()
            status = '200 OK' if is_ready else '503 Service Unavailable'
        elif path == '/metrics':
            body, headers = self._metrics.render([])
            status, kind = '200 OK', headers.get('Content-Type', 'text/plain')
        elif path in self._pages:
            status, kind = '200 OK', 'application/json'
            body = msgspec.json.encode(self._pages[path]())
        headers = [('Content-Type', kind), ('Content-Length', str(len(body)))]
        start_response(status, headers)
        return [body]

    def _delete(self, path):
        for prefix, delete in self._deletions.items():
            if path.startswith(prefix):
                return delete(path.removeprefix(prefix))
        return False
