import unittest

import hypothesis
from hypothesis import strategies

from hawthornfold.emulator import backends
from hawthornfold.emulator import pacing
from hawthornfold.emulator import proxy
from hawthornfold.emulator.tests import clients


class ProxyTest(unittest.TestCase):
    def setUp(self):
        opened = backends.open_backends([clients.create_spec()])
        _, servers = self.enterContext(opened)
        self.server = servers['b1']
        target = f'127.0.0.1:{self.server.port}'
        specs = [proxy.LinkSpec('b1', 0, target)]
        self.control, listeners = self.enterContext(proxy.open_proxy(specs))
        self.listener = listeners['b1']

    def _set_fault(self, **fault):
        path = '/control/listeners/b1/fault'
        port = self.control.port
        self.assertEqual(200, clients.call(port, 'PUT', path, fault)[0])

    def _connect(self):
        """Open a proxied connection and send one request through it."""
        connection = clients.open_connection(self.listener.port)
        self.addCleanup(connection.close)
        self.assertEqual(200, self._request_health(connection))
        return connection

    def _request_health(self, connection):
        clients.send(connection, 'GET', '/v1/health')
        return clients.receive(connection)[0]

    def _wait_for_gap(self):
        clients.wait_until(lambda: self.listener.describe()['with_gap'])

    def _count_open_connections(self):
        return self.server.counters()['connections']

    # Guards against a proxy that loses bytes or does not forward the close of
    # a connection, by which clients cancel requests.
    def test_exchanges_and_closes_are_forwarded(self):
        connection = self._connect()
        self.assertEqual(200, self._request_health(connection))
        connection.close()
        clients.wait_until(lambda: not self._count_open_connections())
        clients.wait_until(lambda: not self.listener.describe()['connections'])

    # Guards against delayed connections that lose or reorder bytes, or that do
    # not close.
    def test_delayed_connection_forwards_exchanges(self):
        self._set_fault(delay_ms=1, jitter_ms=2, bandwidth_bytes_per_s=1e6)
        connection = self._connect()
        for _ in range(5):
            self.assertEqual(200, self._request_health(connection))
        connection.close()
        clients.wait_until(lambda: not self._count_open_connections())

    # Guards against a stall that ends with the fault, and against one that
    # affects new connections.
    def test_stall_outlasts_the_fault_and_spares_new_connections(self):
        stalled = self._connect()
        self._set_fault(stall=True)
        clients.send(
            stalled, 'POST', '/v1/search', clients.create_search_body()
        )
        self._set_fault()
        self._connect()
        received = self.server.counters()['received']
        self.assertEqual(0, received)
        self.assertEqual(1, self.listener.describe()['stalled'])

    # Guards against cut and reset faults that leave a connection open or
    # accept a new one.
    def test_cut_and_reset_end_connections(self):
        for fault in ({'cut': True}, {'reset': True}):
            connection = self._connect()
            self._set_fault(**fault)
            clients.wait_until(lambda: not self._count_open_connections())
            with self.assertRaises(OSError):
                self._request_health(connection)
            with self.assertRaises(OSError):
                self._connect()
            self._set_fault()
            self._connect()

    # Guards against one-way loss that also stops the other direction, and
    # against a stream with a gap that continues after the fault.
    def test_one_way_loss_keeps_the_other_direction(self):
        reply_lost = self._connect()
        self._set_fault(one_way='to_client')
        clients.send(
            reply_lost, 'POST', '/v1/search', clients.create_search_body()
        )
        self._wait_for_gap()
        self.assertEqual(1, self.server.counters()['finished'])
        self._set_fault()
        with self.assertRaises(OSError):
            clients.receive(reply_lost)
        request_lost = self._connect()
        self._set_fault(one_way='to_target')
        clients.send(
            request_lost, 'POST', '/v1/search', clients.create_search_body()
        )
        self._wait_for_gap()
        self._set_fault()
        self.assertEqual(1, self.server.counters()['received'])

    # Guards against chunks of a connection that overtake each other, and
    # against chunks that together exceed the bandwidth.
    @hypothesis.given(strategies.lists(strategies.integers(1, 10_000)))
    def test_pacer_keeps_order_and_bandwidth(self, sizes):
        fault = proxy.LinkFault(
            delay_ms=5, jitter_ms=20, bandwidth_bytes_per_s=1e6
        )
        pacer = pacing.create_pacer(1)
        due_ms = 0.0
        for now_ms, size in enumerate(sizes):
            planned_ms = pacer.schedule_chunk_ms(fault, size, now_ms, due_ms)
            self.assertGreaterEqual(planned_ms, max(due_ms, now_ms + 5))
            due_ms = planned_ms
        self.assertGreaterEqual(due_ms, sum(sizes) / 1000.0)
