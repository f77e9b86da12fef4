"""Planned stops of a node's process under load.

Guards against failure 2 of docs/design/server-signals.md, R7: requests that
were just accepted are dropped without a response.
"""

import collections
import contextlib
import http.client
import itertools
import re
import socket
import threading

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests.test_node import DelegationTestCase
from hawthornfold.platform.tests.test_node import NodeTestCase
from hawthornfold.platform.tests.test_node import send_answer

REQUEST = (
    'GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n'
    'X-Deadline-Ms: 20000\r\n\r\n'
)


class HeldServerTestCase(NodeTestCase):
    """Servers whose answers wait for an event."""

    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.addCleanup(self.release.set)
        self.publish_configuration()

    def answer_when_released(self, connection, request, number):
        self.release.wait(gateway_support.HANG_S)
        return send_answer(connection, request, number)

    def open_caller(self, node, *request_ids):
        """Send requests on one connection; return its socket and stream."""
        caller = socket.create_connection(
            (node.ip, node.ports['front']), gateway_support.HANG_S
        )
        self.addCleanup(caller.close)
        caller.sendall(
            ''.join(
                REQUEST.format(path='/f/1', id=request_id)
                for request_id in request_ids
            ).encode()
        )
        stream = caller.makefile('rb')
        self.addCleanup(stream.close)
        return stream

    def read_answer(self, stream):
        """Return status line and body of the next answer of a connection."""
        status, length = stream.readline(), 0
        while (line := stream.readline()) not in (b'\r\n', b''):
            if line.lower().startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        body = stream.read(length)
        self.assertEqual(len(body), length)
        return status, body


class PlannedStopTest(HeldServerTestCase):
    def test_requests_that_reached_a_server_are_answered(self):
        # Callers on kept connections and on new ones send steadily, until the
        # node refuses connections.
        for name in 'xyz':
            self.add_server(f'i-{name}', name)
        node = self.start_node()
        answered, failed = collections.Counter(), []
        busy = threading.Semaphore(0)

        def call(caller):
            connection = None
            for number in itertools.count():
                request_id = f'{caller}-{number}'
                try:
                    if connection is None:
                        connection = http.client.HTTPConnection(
                            node.ip,
                            node.ports['front'],
                            timeout=gateway_support.HANG_S,
                        )
                        connection.connect()
                except OSError:
                    return
                try:
                    connection.request(
                        'GET',
                        ('/s/1', '/f/1')[number % 2],
                        headers={
                            'Host': 'a.example',
                            'X-Request-Id': request_id,
                        },
                    )
                    response = connection.getresponse()
                    response.read()
                    answered[request_id] = response.status
                    if response.will_close or caller % 2:
                        connection.close()
                        connection = None
                except (OSError, http.client.HTTPException) as error:
                    failed.append((request_id, repr(error)))
                    connection.close()
                    connection = None
                if number == 20:
                    busy.release()

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(8)
        ]
        for thread in threads:
            thread.start()
        for _ in threads:
            self.assertTrue(busy.acquire(timeout=gateway_support.HANG_S))
        node.terminate()
        self.assertEqual(node.wait_for_exit(), 0)
        for thread in threads:
            thread.join(gateway_support.HANG_S)
        lost = dict(failed)
        received = {
            request.headers['x-request-id']
            for server in self.servers_of_all()
            for request in server.requests
        }
        self.assertEqual({r: lost[r] for r in received & set(lost)}, {})
        self.assertEqual(received - set(answered), set())
        self.assertEqual(set(answered.values()), {200})

    def add_server(self, *arguments, **fields):
        server = super().add_server(*arguments, **fields)
        self.__dict__.setdefault('all_servers', []).append(server)
        return server

    def servers_of_all(self):
        return self.all_servers

    def test_pipelined_requests_are_answered(self):
        # Guards against a connection that is closed after the answer to the
        # first of several requests that were read together.
        self.add_server('i-z', 'z', self.answer_when_released)
        node = self.start_node()
        stream = self.open_caller(node, 'r1', 'r2', 'r3')
        node.wait_until(lambda: self.all_servers[0].requests)
        node.terminate()
        node.wait_until(lambda: 'event=stopping' in node.read_log())
        self.release.set()
        for _ in range(3):
            status, body = self.read_answer(stream)
            self.assertIn(b' 200 ', status)
            self.assertEqual(body, b'i-z.............')
        self.assertEqual(stream.read(), b'')
        self.assertEqual(node.wait_for_exit(), 0)

    def test_request_that_outlasts_the_stop_is_answered(self):
        # Guards against a connection that ends without an answer when the
        # platform is about to kill the process.
        self.routes[1]['TimeoutMs'] = 20_000
        self.publish_configuration()
        self.add_server('i-z', 'z', self.answer_when_released)
        node = self.start_node()
        stream = self.open_caller(node, 'r1')
        node.wait_until(lambda: self.all_servers[0].requests)
        node.terminate()
        status, body = self.read_answer(stream)
        self.assertIn(b' 504 ', status)
        self.assertIn(b'DEADLINE_EXCEEDED', body)
        self.assertEqual(node.wait_for_exit(), 0)
        log = node.read_log()
        self.assertIn('event=requests_ended_early count=1', log)


class LateRequestTest(HeldServerTestCase):
    """Requests that a stopping node has read late in its grace period."""

    def open_slow_caller(self, node):
        """Send a request but the last byte of its body; return its socket."""
        caller = socket.create_connection(
            (node.ip, node.ports['front']), gateway_support.HANG_S
        )
        self.addCleanup(caller.close)
        caller.sendall(
            b'POST /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\n'
            b'X-Deadline-Ms: 20000\r\nContent-Length: 3\r\n\r\nab'
        )
        return caller

    def test_request_read_after_the_last_answers_is_not_passed_on(self):
        # Guards against requests, also ones that may run once only, that are
        # passed on to a server when the process is about to exit, and end
        # without an answer.
        for route in self.routes:
            route['TimeoutMs'] = 20_000
        self.publish_configuration()
        # The node may block one of them for silence.
        servers = [
            self.add_server(f'i-z{n}', 'z', self.answer_when_released)
            for n in range(3)
        ]
        node = self.start_node()
        node.wait_until(lambda: 'after=2' in node.read_log())
        self.open_caller(node, 'held')
        caller = self.open_slow_caller(node)
        node.wait_until(lambda: any(server.requests for server in servers))
        node.terminate()
        node.wait_until(
            lambda: 'event=requests_ended_early' in node.read_log()
        )
        caller.sendall(b'c')
        answer = b''
        with contextlib.suppress(OSError):
            while received := caller.recv(4096):
                answer += received
        node.wait_for_exit()
        ids = {
            request.headers.get('x-request-id', 'held')
            for server in servers
            for request in server.requests
        }
        self.assertEqual(ids, {'held'}, answer)
        if answer:
            # It comes unless the node exits before it reads the last byte.
            self.assertIn(b' 503 ', answer)
            self.assertIn(b'Retry-After', answer)
        self.assertIn('cut_requests=0', node.read_log())


class DelegateStopTest(DelegationTestCase):
    def test_delegated_query_outlives_the_stop_of_its_delegate(self):
        # Guards against a query that the stopping node gives up, or that runs
        # a second time.
        self.holding.set()
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self.small.query('/w/1', 'held', 1000)
            )
        )
        caller.start()
        self.small.wait_until(lambda: all(self.count_runs('held')))
        self.large.terminate()
        self.large.wait_until(
            lambda: 'event=stopping' in self.large.read_log()
        )
        self.holding.clear()
        caller.join(gateway_support.HANG_S)
        self.assertEqual([a.status for a in answers], [200])
        self.assertEqual(answers[0].headers['X-Missing-Parts'], '0')
        self.assertEqual(self.count_runs('held'), [1] * len(self.SHARDS))
        self.assertEqual(self.large.wait_for_exit(), 0)
        self.assertTrue(re.search('cut_requests=0', self.large.read_log()))
