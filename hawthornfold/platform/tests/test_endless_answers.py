"""Servers that send without end, against a node's process."""

import contextlib
import pathlib
import threading

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.gateway.tests import test_responses
from hawthornfold.platform.tests.test_node import NodeTestCase
from hawthornfold.platform.tests.test_node import create_route

# What the settings of these tests give a node, which names no memory.
MEMORY_BYTES = 300 << 20
REQUEST_COUNT = 12
# Twelve such answers exceed the memory of the node, many times over.
SENT_BYTES = 200 << 20
ENDLESS = {
    **test_responses.ENDLESS,
    **test_responses.ENDLESS_BODIES,
    'no response': (b'', b'\x00rubbish'),
    'a large length': (
        test_responses.HEAD + b'Content-Length: 100000000000\r\n\r\n',
        b'x',
    ),
    'status 000': (b'', b'HTTP/1.1 000 S\r\nContent-Length: 1\r\n\r\nx'),
    'interim responses with a body': (
        b'',
        b'HTTP/1.1 104 S\r\nContent-Length: 1\r\n\r\nx',
    ),
}


class EndlessAnswersTest(NodeTestCase):
    """A node keeps what a faulty server sends until it has no memory left."""

    def create_script(self, start, unit):
        data = unit * (1 + 65_536 // len(unit))

        def script(connection, request, number):
            try:
                connection.sendall(start(request))
                for _ in range(SENT_BYTES // len(data)):
                    connection.sendall(data)
                self.uncut.append(unit)
            except OSError:
                self.cut.append(unit)
            return False

        return script

    def start(self):
        """Start a node with a route to a sound and to a faulty service."""
        self.cut, self.uncut, self.failed = [], [], []
        self.served_count = 0
        self.routes.append(
            create_route(
                'w',
                '/w/',
                Backend='w',
                RouteType='non_idempotent',
                TimeoutMs=10_000,
            )
        )
        node = self.start_node_and_servers()
        self.is_ended = threading.Event()
        other = threading.Thread(target=self.send_others, args=(node,))
        other.start()
        self.addCleanup(other.join)
        self.addCleanup(self.is_ended.set)
        return node

    def send_others(self, node):
        """Send requests to the sound service until the test ends."""
        while not self.is_ended.wait(0.01):
            status = node.query('/f/1', f'other-{self.served_count}').status
            if status != 200:
                self.failed.append(status)
            self.served_count += 1

    def ask_faulty(self, node, name):
        """Send requests at the same time; return their statuses."""
        statuses = []
        threads = [
            threading.Thread(
                target=lambda n=n: statuses.append(
                    node.query('/w/1', f'{name}-{n}', 10_000).status
                )
            )
            for n in range(REQUEST_COUNT)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def read_peak_bytes(self, node):
        """Return the highest resident memory of the node's process so far."""
        status = pathlib.Path(f'/proc/{node.pid}/status').read_text()
        (line,) = (x for x in status.splitlines() if x.startswith('VmHWM:'))
        return int(line.split()[1]) << 10

    @contextlib.contextmanager
    def serve(self, node, name, start, unit):
        """Run a faulty server, the only one of its service."""
        server_id = f'i-{name}'
        server = self.add_server(
            server_id,
            'w',
            self.create_script(start, unit),
            MaxConcurrency=REQUEST_COUNT,
        )
        subject = f'subject={server_id} before= after='
        node.wait_until(lambda: f'{subject}added' in node.read_log())
        yield server
        self.store.delete(f'servers/{server_id}')
        # A server that is avoided may be tried again until it is removed.
        node.wait_until(lambda: f'{subject}removed' in node.read_log())

    def test_endless_answers_end_early_and_others_are_served(self):
        # Guards against a process that runs out of memory, and with it the
        # requests of all other callers.
        node = self.start()
        for number, (name, (start, unit)) in enumerate(ENDLESS.items()):
            with (
                self.subTest(name),
                self.serve(
                    node, f'w{number}', lambda request, s=start: s, unit
                ) as server,
            ):
                statuses = self.ask_faulty(node, f'w{number}')
                # 503 while the server is avoided: sent to no server. At the
                # deadline it would be 504.
                self.assertLessEqual(set(statuses), {502, 503}, statuses)
                self.assertGreater(len(server.requests), 0)
        self.check_node(node)

    def test_bytes_after_an_answer_end_its_connection(self):
        # Guards against bytes behind a complete answer that are read on. One
        # request at a time: bytes that cross the next request lose it.
        node = self.start()
        for number, unit in enumerate(
            (b'x', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx')
        ):
            with self.serve(
                node,
                f'w{number}',
                lambda request: gateway_support.create_answer(
                    request, X_Server_Seal='s'
                ),
                unit,
            ):
                for n in range(REQUEST_COUNT):
                    cut_count = len(self.cut)
                    status = node.query('/w/1', f'after-{number}-{n}').status
                    self.assertEqual(status, 200, node.read_log()[-2_000:])
                    node.wait_until(lambda c=cut_count: len(self.cut) > c)
        self.check_node(node)

    def check_node(self, node):
        """Check the node's memory and what other callers got."""
        # The platform ends a process that exceeds its memory.
        self.assertLess(self.read_peak_bytes(node), MEMORY_BYTES)
        self.assertEqual(self.failed, [])
        count = self.served_count
        node.wait_until(lambda: self.served_count > count + 1)
        self.assertEqual(self.uncut, [])
