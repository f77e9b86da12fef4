"""A client for tests of the emulator, on green sockets."""

import json

import eventlet
from eventlet.green.http import client

from hawthornfold.emulator import server_spec

# Ends a test that waits for an event that does not come; decides nothing.
TIMEOUT_S = 20.0

# Work of this service time ends only by cancellation.
ENDLESS_SERVICE_MS = 1e7


# What a client sees when its connection ends early.
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
    """Return the first truthy value of `condition`, polled."""
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
