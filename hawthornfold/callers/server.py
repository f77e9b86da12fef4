"""Runs a WSGI application on eventlet's server within limits."""

import contextlib

import eventlet
import eventlet.wsgi

# Callers' connections in progress at one node; the limit for each caller
# address is lower and comes from the settings.
MAX_CONNECTIONS = 4096


@contextlib.contextmanager
def serve_application(host, port, application, settings):
    """Serve `application` while the context is active.

    Parameters
    ----------
    settings : CallerSettings
        Limits on heads, bodies and time.

    Yields
    ------
    function
        Stops accepting connections; those open go on.
    """
    eventlet.wsgi.MAX_HEADER_LINE = settings.max_head_bytes
    eventlet.wsgi.MAX_TOTAL_HEADER_SIZE = settings.max_head_bytes
    listener = eventlet.listen((host, port), backlog=512, reuse_port=False)
    pool = eventlet.GreenPool(MAX_CONNECTIONS)
    server = eventlet.spawn(
        eventlet.wsgi.server,
        listener,
        application,
        custom_pool=pool,
        socket_timeout=settings.read_timeout_ms / 1000.0,
        url_length_limit=settings.max_head_bytes,
        log_output=False,
        debug=False,
    )

    def stop_accepting():
        server.kill()
        listener.close()

    try:
        yield stop_accepting
    finally:
        stop_accepting()
