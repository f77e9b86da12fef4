"""Requests that end servers, at the processes of several nodes."""

import json
import time

from hawthornfold.gateway.tests import crash_support
from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests import test_node

# The bound of the users: at most three sends later than this after the third
# server has ended, from all nodes.
WINDOW_S = 4.0
MAX_LATE_SENDS = 3
TARGET = '/w/deadly'


def create_answer(request):
    target = request.headers['x-target-instance']
    return gateway_support.create_answer(
        request, X_Server_Seal=f'seal-{target}', X_Seal=None
    )


class DeadlyRequestTest(test_node.NodeTestCase):
    SHARDS = tuple(f'shard-{number}' for number in range(4))

    def setUp(self):
        super().setUp()
        self.routes = [
            test_node.create_route(
                'wide', '/w/', FanoutServices=list(self.SHARDS), TopK=5
            )
        ]
        self.publish_configuration()
        self.crashing = {}
        self.born_ms = 1
        for shard in self.SHARDS:
            for number in range(2):
                server = crash_support.CrashingServer(create_answer)
                self.addCleanup(server.close)
                server_id = f'i-{shard}-{number}'
                self.crashing[server_id] = server
                self.register_server(server, server_id, shard, born=1)
        self.nodes = [self.start_node(number=1)]
        self.nodes += [
            self.start_node(number=n, seeds=[self.nodes[0].control])
            for n in (2, 3)
        ]
        for node in self.nodes:
            node.wait_until(lambda node=node: ' nodes=3 ' in node.read_log())

    def restart_servers(self):
        self.born_ms += 1
        for server_id, server in self.crashing.items():
            if not server.is_running:
                server.start()
                self.register_server(
                    server,
                    server_id,
                    server_id[2:-2],
                    born=self.born_ms,
                    Seq=self.born_ms,
                )
        time.sleep(0.3)

    def test_nodes_tell_each_other_which_request_ends_servers(self):
        # Guards against a request that ends servers at each node anew, also
        # at one that has just started.
        servers = self.crashing.values()
        for round_number in range(3):
            self.nodes[round_number].query(TARGET, f'q{round_number}')
            self.restart_servers()
        third_s = crash_support.find_third_arrival_s(servers, TARGET)
        time.sleep(WINDOW_S)
        self.nodes.append(
            self.start_node(number=4, seeds=[self.nodes[0].control])
        )
        time.sleep(2.0)
        statuses = []
        for round_number in range(8):
            node = self.nodes[round_number % len(self.nodes)]
            answer = node.query(TARGET, f'r{round_number}')
            statuses.append(answer.status)
            self.restart_servers()
        late_sends = crash_support.count_arrivals(
            servers, TARGET, third_s + WINDOW_S
        )
        self.assertLessEqual(late_sends, MAX_LATE_SENDS)
        self.assertEqual(set(statuses[-4:]), {400})
        answers = [
            node.query('/w/other', f'o{number}')
            for number, node in enumerate(self.nodes)
        ]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.check_operators_view()

    def check_operators_view(self):
        """Check that operators see the evidence and can lift the entry."""
        first, last = self.nodes[0], self.nodes[-1]
        (entry,) = self.list_suspects(last)
        self.assertEqual(entry['state'], 'quarantined')
        self.assertGreaterEqual(len(entry['ends']), 3)
        self.assertGreaterEqual(len(entry['proofs']), 2)
        self.assertIn('state=quarantined', first.read_log())
        for name, status in ((32 * '0', 404), (entry['fingerprint'], 204)):
            answer = last.send_request(
                f'/quarantine/{name}', method='DELETE', port='ready'
            )
            self.assertEqual(answer.status, status)
        for node in self.nodes:
            node.wait_until(lambda node=node: not self.list_suspects(node))

    def list_suspects(self, node):
        status = node.send_request('/status', port='ready').data
        return json.loads(status)['suspect_requests']
