"""An HTTP client on green sockets for the tests of the emulator."""

import json

import eventlet
from eventlet.green.http import client

from hawthornfold.emulator import server_spec

# Bounds how long a test waits for an event that does not occur. It is not the
# bound of any assertion.
TIMEOUT_S = 20.0

# Work with this service time ends only by cancellation.
ENDLESS_SERVICE_MS = 1e7


# Errors that a client raises if its connection closes early.
CONNECTION_ERRORS = (client.HTTPException, OSError)


def open_connection(port):
    return client.HTTPConnection('127.0.0.1', port, timeout=TIMEOUT_S)


def send(connection, method, path, body=None):
    data = body if body is None or isinstance(body, str) else json.dumps(body)
    connection.request(method, path, data)


def receive(connection):
    response = connection.getresponse()
    return response.status, json.loads(response.read() or b'null')


def call(port, method, path, body=None):
    connection = open_connection(port)
    try:
        send(connection, method, path, body)
        return receive(connection)
    finally:
        connection.close()


def wait_until(condition):
    """Poll `condition`; return its first truthy value."""
    with eventlet.Timeout(TIMEOUT_S):
        while True:
            value = condition()
            if value:
                return value
            eventlet.sleep(0.002)


def create_search_body(request_id='q1', **changes):
    body = {
        'request_id': request_id,
        'attempt': 1,
        'snapshot': 's1',
        'deadline_ms': 60_000,
        'shards': ['a'],
        'kind': 'search',
        'text': 'oakford',
        'limit': 3,
    }
    return {**body, **changes}


def create_spec(name='b1', **changes):
    shards = [server_spec.ShardSpec('a', 200)]
    fields = {
        'name': name,
        'group': 'portal',
        'port': 0,
        'shards': {'s1': shards, 's2': shards},
        'held': ['s1'],
        'service_ms': 1.0,
    }
    return server_spec.ServerSpec(**{**fields, **changes})
