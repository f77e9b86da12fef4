"""Signals of servers at a node's process, with the platform's headers."""

import time

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests import test_node


def create_script(status=200, **headers):
    """Return the script of a server whose responses have these headers."""

    def script(connection, request, number):
        target = request.headers['x-target-instance']
        connection.sendall(
            gateway_support.create_answer(
                request,
                b'record-of-server',
                status,
                X_Server_Seal=f'seal-{target}',
                X_Seal=None,
                **headers,
            )
        )
        return True

    return script


class SignalsTest(test_node.NodeTestCase):
    def query(self, node, prefix, count):
        """Send requests; return their statuses."""
        return [
            node.query(prefix, f'{prefix}{number}').status
            for number in range(count)
        ]

    def read_metrics(self, node):
        return node.send_request('/metrics', port='ready').data.decode()

    def test_server_that_leaves_while_the_store_is_down_is_not_used(self):
        # Guards against requests to a server that leaves, which the store
        # lists as ready when it returns, also from an older copy.
        self.publish_configuration()
        first = self.add_server(
            'i-1', 'z', create_script(Server_Leaving='1'), born=5
        )
        self.add_server('i-2', 'z', born=5, Zone='hall-b')
        node = self.start_node()
        self.store.mode = 'busy'
        node.wait_until(lambda: 'event=store_lost' in node.read_log())
        self.assertEqual(set(self.query(node, '/f/', 5)), {200})
        self.assertEqual(len(first.requests), 1)
        self.store.restore(0.0)
        self.store.mode = 'ok'
        node.wait_until(lambda: 'event=store_restored' in node.read_log())
        self.register_server(first, 'i-1', 'z', born=5, Seq=7)
        time.sleep(0.5)
        self.assertEqual(set(self.query(node, '/f/', 5)), {200})
        self.assertEqual(len(first.requests), 1)
        self.assertEqual(node.read_log().count('event=server_leaving '), 1)
        self.assertIn(
            'hawthornfold_servers_announced_leaving 1',
            self.read_metrics(node),
        )
        # Its next start is used again.
        self.register_server(first, 'i-1', 'z', born=6)
        self.store.delete('servers/i-2')
        node.wait_until(lambda: 'after=restarted' in node.read_log())
        node.wait_until(lambda: node.query('/f/', 'r').status == 200)

    def test_callers_are_told_when_the_first_server_is_available(self):
        # Guards against a refusal that comes late or states another time, for
        # a forwarded request, one that may run once, and a gathered query.
        self.publish_configuration()
        servers = [
            self.add_server(
                f'i-{seconds}',
                'z',
                create_script(
                    503, Retry_After=f'{seconds}.5', X_Not_Executed='1'
                ),
            )
            for seconds in (20, 10)
        ]
        servers.append(
            self.add_server('i-x', 'x', create_script(503, Retry_After='10.5'))
        )
        self.add_server('i-y', 'y')
        node = self.start_node()
        for prefix in ('/f/', '/f/', '/s/'):
            node.query(prefix, 'r')
        received = sum(len(server.requests) for server in servers)
        self.assertEqual(received, 3)
        for method, prefix in (
            ('GET', '/f/'),
            ('POST', '/p/'),
            ('GET', '/s/'),
        ):
            with self.subTest(prefix):
                started_s = time.monotonic()
                response = node.query(prefix, 'r', method=method)
                self.assertLess(time.monotonic() - started_s, 0.5)
                self.assertEqual(response.status, 503)
                retry_after_s = float(response.headers['Retry-After'])
                self.assertTrue(5.0 < retry_after_s <= 10.5, retry_after_s)
        self.assertEqual(
            sum(len(server.requests) for server in servers), received
        )
        self.assertIn('hawthornfold_servers_paused 3', self.read_metrics(node))

    def test_limit_that_a_server_names_is_kept_and_refusals_say_when(self):
        # Guards against the platform's header that no node reads.
        self.publish_configuration()
        server = self.add_server(
            'i-1', 'z', create_script(Server_Limit='2'), born=5
        )
        node = self.start_node()
        answers = [node.query('/f/', f'l{number}') for number in range(60)]
        self.assertLessEqual(len(server.requests), 20)
        refused = [x for x in answers if x.status == 503]
        self.assertGreaterEqual(len(refused), 40)
        for answer in refused:
            self.assertGreater(float(answer.headers['Retry-After']), 0.0)
        self.assertIn('event=server_limited server=i-1', node.read_log())
        metrics = self.read_metrics(node)
        self.assertIn('hawthornfold_servers_limited 1', metrics)
