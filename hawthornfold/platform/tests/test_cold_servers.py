"""Tests a node's process against servers that are cold."""

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests import support
from hawthornfold.platform.tests import test_node


class ColdServerTest(test_node.NodeTestCase):
    def send_answer(self, connection, request, number):
        connection.sendall(
            gateway_support.create_answer(
                request,
                X_Server_Seal='seal',
                X_Seal=None,
                X_Warmup_Ms=self.header,
            )
        )
        return True

    def query(self, node):
        """Send a request; return its status and Retry-After in seconds."""
        self.count += 1
        response = node.query('/f/', f'r{self.count}')
        return response.status, float(response.headers.get('Retry-After', 0))

    def test_signals_of_a_cold_server_limit_its_requests(self):
        # Guards against signals and settings that don't reach the limiter, and
        # against refusals that don't say when there is room.
        self.count, self.header = 0, None
        service = {'Name': 'z', 'WarmupS': 3.0, 'WarmupPerS': 2.0}
        document = {
            'Version': 1,
            'Routes': self.routes,
            'Services': [service],
            'Limits': support.LIMITS,
        }
        self.store.put('op/config', document)
        server = self.add_server(
            'i-1', 'z', self.send_answer, WarmupLeftMs=2_500
        )
        node = self.start_node()
        status, retry_after_s = self.query(node)
        self.assertEqual(status, 503)
        self.assertTrue(0.0 < retry_after_s <= 2.5, retry_after_s)
        self.assertEqual(server.requests, [])
        self.header = '60000'
        node.wait_until(lambda: self.query(node)[0] == 200)
        status, retry_after_s = self.query(node)
        self.assertEqual((status, len(server.requests)), (503, 1))
        self.assertTrue(50.0 < retry_after_s <= 60.0, retry_after_s)
        node.wait_until(lambda: 'event=fleet_known' in node.read_log())
        node.wait_until(lambda: self.query(node)[0] == 200)
        self.assertEqual(self.query(node)[0], 200)
        status, retry_after_s = self.query(node)
        self.assertEqual((status, len(server.requests)), (503, 3))
        self.assertTrue(0.0 < retry_after_s <= 1.25, retry_after_s)
        self.assertEqual(node.read_log().count('event=server_cold '), 2)
        self.assertIn('event=server_warm server=i-1', node.read_log())
