"""A gateway node as a process, between stand-ins of platform and servers."""

import json
import signal
import socket
import threading
import time
import unittest

from hawthornfold.gateway.tests import support as servers
from hawthornfold.platform.tests import support
from hawthornfold.rules import RequestFacts
from hawthornfold.rules import compile_rules


def create_route(name, prefix, **fields):
    route = {
        'Name': name,
        'Host': 'a.example',
        'Prefix': prefix,
        'RouteType': 'idempotent',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 500,
        'Priority': 1,
        'MaxAttempts': 2,
    }
    return {**route, **fields}


def answer(connection, request, number):
    """Answer as a server of the platform does, with one record."""
    target = request.headers['x-target-instance']
    body = target.encode().ljust(16, b'.')[:16]
    connection.sendall(
        servers.create_answer(
            request, body, X_Server_Seal=f'seal-{target}', X_Seal=None
        )
    )
    return True


class NodeTestCase(unittest.TestCase):
    def setUp(self):
        self.store = support.MetadataStore()
        self.addCleanup(self.store.close)
        self.version = 0
        self.routes = [
            create_route('search', '/s/', FanoutServices=['x', 'y'], TopK=5),
            create_route('fetch', '/f/', Backend='z'),
            create_route(
                'pay', '/p/', Backend='z', RouteType='non_idempotent'
            ),
        ]

    def publish(self):
        """Write the next version of the configuration."""
        self.version += 1
        services = [
            {'Name': name, 'HealthPath': '/health', 'MaxConns': 26}
            for name in ('x', 'y', 'z', 'w')
        ]
        self.store.put(
            'op/config',
            {
                'Version': self.version,
                'Routes': self.routes,
                'Services': services,
                'Limits': support.LIMITS,
            },
        )

    def add_server(self, server_id, service, script=answer, **fields):
        """Start a server and register it."""
        server = servers.ScriptedServer(script)
        self.addCleanup(server.close)
        self.register(server, server_id, service, **fields)
        return server

    def register(self, server, server_id, service, **fields):
        entry = {
            'Backend': service,
            'Address': server.address,
            'Zone': 'hall-a',
            'Version': 'v1',
            'MaxConcurrency': 2,
            'State': 'ready',
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': 1000,
        }
        self.store.put(f'servers/{server_id}', {**entry, **fields})

    def start(self, **options):
        """Start a node and wait until it is ready."""
        node = support.Node(self.store, **options)
        self.addCleanup(node.close)
        node.wait_until(node.is_ready)
        return node

    def start_all(self):
        """Publish everything; start a server of each service and a node."""
        self.publish()
        self.servers = {
            name: self.add_server(f'i-{name}', name) for name in 'xyz'
        }
        return self.start()


class ServingTest(NodeTestCase):
    def test_query_is_gathered_and_request_passed_through(self):
        node = self.start_all()
        response = node.query('/s/2f', 'r1')
        self.assertEqual(response.status, 200)
        self.assertEqual(
            response.headers['X-Part-Seals'], 'seal-i-x, seal-i-y'
        )
        self.assertEqual(response.headers['X-Missing-Parts'], '0')
        self.assertEqual(response.data, b'i-y.............i-x.............')
        response = node.query('/f/a?b=c', 'r2')
        self.assertEqual(response.headers['X-Server-Seal'], 'seal-i-z')
        self.assertEqual(response.headers['X-Request-Id'], 'r2')
        self.assertEqual(response.data, b'i-z.............')
        self.assertEqual(self.servers['z'].requests[0].target, '/f/a?b=c')

    def test_chunked_body_arrives_whole(self):
        # Guards against bodies that are lost or framed in two ways.
        node = self.start_all()
        with socket.create_connection(
            (node.ip, node.ports['front']), servers.HANG_S
        ) as caller:
            caller.sendall(
                b'POST /p/ HTTP/1.1\r\nHost: a.example\r\n'
                b'X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n'
                b'Connection: close\r\n\r\n'
                b'3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n'
            )
            reply = b''.join(iter(lambda: caller.recv(4096), b''))
        self.assertIn(b' 200 ', reply.splitlines()[0])
        self.assertEqual(self.servers['z'].requests[0].body, b'abcdefg')

    def test_chunked_answer_is_passed_on_whole(self):
        # Guards against headers of one connection that reach the caller.
        def script(connection, request, number):
            head = servers.create_answer(
                request,
                b'',
                X_Server_Seal='s',
                Content_Length=None,
                Transfer_Encoding='chunked',
                Connection='x-hop',
                X_Hop='1',
            )
            connection.sendall(head + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')
            return True

        self.publish()
        self.add_server('i-z', 'z', script)
        response = self.start().query('/f/', 'r1')
        self.assertEqual(response.data, b'abcde')
        self.assertEqual(response.headers['Content-Length'], '5')
        for name in ('Transfer-Encoding', 'X-Hop'):
            self.assertNotIn(name, response.headers)

    def test_no_configuration_is_503_and_unknown_path_404(self):
        # Guards against 404 from a node that knows no configuration yet.
        node = support.Node(self.store)
        self.addCleanup(node.close)
        node.wait_until(lambda: self.store.calls)
        response = node.query('/s/', 'r1')
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers['Retry-After']), 0.0)
        self.assertFalse(node.is_ready())
        self.publish()
        node.wait_until(node.is_ready)
        self.assertEqual(node.query('/none/', 'r2').status, 404)

    def test_unservable_request_is_refused_at_once(self):
        # Guards against refusals that are held until the deadline.
        self.publish()
        node = self.start()
        started = time.monotonic()
        response = node.query('/f/', 'r1', deadline_ms=10_000)
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(response.status, 503)
        self.assertIn('Retry-After', response.headers)

    def test_metrics_and_log_tell_of_a_request(self):
        node = self.start_all()
        node.query('/s/2f', 'request-one')
        metrics = node.ask('/metrics', port='ready').data.decode()
        self.assertIn('hawthornfold_requests_total', metrics)
        self.assertIn('hawthornfold_request_ms_bucket', metrics)
        lines = [
            line
            for line in node.read_log().splitlines()
            if 'request=request-one' in line
        ]
        self.assertEqual(len(lines), 1)
        self.assertIn('verdict=complete', lines[0])
        self.assertIn('version=1', lines[0])


class OperatorsTest(NodeTestCase):
    def test_rules_in_force_are_an_ordinary_document(self):
        # Guards against routes that operators cannot check or explain.
        node = self.start_all()
        document = node.ask('/rules', port='ready').data
        rule_set = compile_rules(document).ok()
        self.assertEqual(
            [rule.name for rule in rule_set.rules], ['search', 'fetch', 'pay']
        )
        facts = RequestFacts('', '', '', 'GET', '/s/2f', {'host': 'a.example'})
        self.assertEqual(rule_set.match(facts).gather.shards, ('x', 'y'))

    def test_audit_trail_names_changes(self):
        node = self.start_all()
        changes = json.loads(node.ask('/audit', port='ready').data)
        kinds = {change['kind'] for change in changes}
        self.assertEqual(kinds, {'configuration', 'server'})


class FaultTest(NodeTestCase):
    def hold(self, connection, request, number):
        """Keep a request until the connection closes."""
        self.held.set()
        connection.settimeout(servers.HANG_S)
        if not connection.recv(1):
            self.left_ms = time.monotonic()
            self.released.set()
        return False

    def setUp(self):
        super().setUp()
        self.held = threading.Event()
        self.released = threading.Event()

    def test_caller_that_leaves_cancels_its_request(self):
        # Guards against servers that work on for nobody.
        self.publish()
        self.add_server('i-z', 'z', self.hold)
        node = self.start()
        caller = socket.create_connection((node.ip, node.ports['front']))
        caller.sendall(
            b'GET /f/ HTTP/1.1\r\nHost: a.example\r\n'
            b'X-Request-Id: r1\r\nX-Deadline-Ms: 20000\r\n\r\n'
        )
        self.assertTrue(self.held.wait(servers.HANG_S))
        closed_ms = time.monotonic()
        caller.close()
        self.assertTrue(self.released.wait(servers.HANG_S))
        self.assertLess(self.left_ms - closed_ms, 0.5)

    def test_request_ends_at_the_timeout_of_its_route(self):
        # Guards against callers that are kept waiting beyond it.
        self.routes[1]['TimeoutMs'] = 400
        self.publish()
        self.add_server('i-z', 'z', self.hold)
        node = self.start()
        started = time.monotonic()
        response = node.query('/f/', 'r1', deadline_ms=20_000)
        self.assertEqual(response.status, 504)
        self.assertLess(time.monotonic() - started, 0.9)

    def test_non_idempotent_request_whose_answer_is_lost_runs_once(self):
        # Guards against a second run, and a refusal that promises none.
        def lose(connection, request, number):
            servers.reset(connection)
            return False

        self.publish()
        both = [self.add_server(f'i-{n}', 'z', lose) for n in (1, 2)]
        node = self.start()
        response = node.query('/p/', 'r1', method='POST', body=b'pay')
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(len(s.requests) for s in both), 1)

    def test_answer_that_is_reset_on_the_way_is_not_complete(self):
        # Guards against half an answer without a length: eventlet reports a
        # reset as the end of the stream.
        def break_off(connection, request, number):
            connection.sendall(
                servers.create_answer(
                    request, X_Server_Seal='s', Content_Length=None
                )
            )
            time.sleep(0.05)
            servers.reset(connection)
            return False

        self.publish()
        self.add_server('i-1', 'z', break_off)
        node = self.start()
        response = node.query('/p/', 'r1', method='POST', body=b'pay')
        self.assertEqual(response.status, 502)

    def test_idempotent_request_moves_to_another_server(self):
        def lose(connection, request, number):
            servers.reset(connection)
            return False

        self.publish()
        self.add_server('i-1', 'z', lose)
        self.add_server('i-2', 'z')
        node = self.start()
        time.sleep(2.0)
        statuses = {node.query('/f/', f'r{n}').status for n in range(8)}
        self.assertEqual(statuses, {200})

    def test_address_of_another_service_is_left(self):
        # Guards against requests that run at the wrong service.
        def refuse(connection, request, number):
            connection.sendall(
                servers.create_answer(request, b'', status=421, X_Seal=None)
            )
            return True

        self.publish()
        wrong = self.add_server('i-1', 'z', refuse)
        self.add_server('i-2', 'z')
        node = self.start()
        time.sleep(2.0)
        for number in range(6):
            self.assertEqual(node.query('/f/', f'r{number}').status, 200)
        self.assertLessEqual(len(wrong.requests), 1)


class PublishedChangeTest(NodeTestCase):
    def test_draining_and_removed_servers_get_no_work(self):
        node = self.start_all()
        first = self.servers['z']
        second = self.add_server('i-z2', 'z')
        self.register(first, 'i-z', 'z', State='draining', Seq=2)
        node.wait_until(lambda: 'after=draining' in node.read_log())
        for number in range(5):
            node.query('/f/', f'r{number}')
        self.assertEqual(len(first.requests), 0)
        self.assertEqual(len(second.requests), 5)
        self.store.delete('servers/i-z2')
        node.wait_until(lambda: 'after=removed' in node.read_log())
        time.sleep(1.1)
        self.assertEqual(node.query('/f/', 'r9').status, 503)

    def test_changes_after_lost_history_are_taken_over(self):
        node = self.start_all()
        self.routes.append(create_route('new', '/n/', Backend='z'))
        self.store.forget_history()
        self.publish()
        node.wait_until(lambda: node.query('/n/', 'r1').status == 200)

    def test_outage_of_the_store_keeps_the_last_beliefs(self):
        # Guards against a node that serves nothing without its store.
        node = self.start_all()
        self.store.mode = 'busy'
        node.wait_until(lambda: 'store_lost' in node.read_log())
        self.assertEqual(node.query('/s/', 'r1').status, 200)
        self.assertTrue(node.is_ready())
        self.store.mode = 'ok'
        node.wait_until(lambda: 'store_regained' in node.read_log())

    def test_unreadable_items_leave_the_last_good_state(self):
        node = self.start_all()
        self.store.put('op/config', b'\xff{')
        self.store.put('servers/other', b'[]')
        node.wait_until(lambda: node.read_log().count('item_refused') == 2)
        self.assertEqual(node.query('/s/', 'r1').status, 200)

    def test_settings_are_read_again(self):
        node = self.start_all()
        node.write_settings(slack=7)
        node.send_signal(signal.SIGHUP)
        node.wait_until(
            lambda: 'settings_loaded cause=SIGHUP' in (node.read_log())
        )
        node.settings.write_text('not = [toml')
        node.wait_until(lambda: 'settings_refused' in node.read_log())
        self.assertEqual(node.query('/s/', 'r1').status, 200)


class StopTest(NodeTestCase):
    def test_stop_finishes_what_clients_send_on_open_connections(self):
        # Guards against requests that a planned stop cuts.
        node = self.start_all()
        outcomes = []
        stop = threading.Event()

        def call(number):
            count = 0
            while not stop.is_set():
                count += 1
                try:
                    response = node.query('/s/', f'r{number}-{count}')
                except ConnectionRefusedError:
                    return
                except OSError as error:
                    outcomes.append(repr(error))
                    return
                outcomes.append(response.status)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        self.addCleanup(stop.set)
        time.sleep(0.5)
        node.terminate()
        node.wait_until(lambda: not node.is_ready())
        self.assertEqual(node.wait(), 0)
        for thread in threads:
            thread.join(servers.HANG_S)
        # A connection that is closed before its request was read is allowed.
        refused = [o for o in outcomes if 'ConnectionReset' in str(o)]
        self.assertLessEqual(len(refused), len(threads))
        self.assertEqual(set(outcomes) - set(refused), {200})
        self.assertIn('event=stopped cut_requests=0', node.read_log())


class FleetTest(NodeTestCase):
    def test_nodes_find_each_other_through_one_seed(self):
        # Guards against nodes that each take the whole budget.
        self.publish()
        first = self.start(number=1)
        others = [self.start(number=n, seeds=[first.control]) for n in (2, 3)]
        for node in (first, *others):
            node.wait_until(lambda node=node: ' nodes=3 ' in node.read_log())


class DelegationTest(NodeTestCase):
    """A small node whose queries a large one runs."""

    SHARDS = tuple(f'shard-{number}' for number in range(16))

    def setUp(self):
        super().setUp()
        self.holding = threading.Event()
        self.addCleanup(self.holding.clear)
        self.routes = [
            create_route(
                'wide',
                '/w/',
                FanoutServices=list(self.SHARDS),
                TopK=5,
                TargetLatencyMs=60,
                TimeoutMs=1000,
            )
        ]
        self.publish()
        self.shards = [
            self.add_server(f'i-{name}', name, self.answer_or_hold)
            for name in self.SHARDS
        ]
        self.large = self.start(number=1, cores=4.0, link_mbps=100.0)
        self.small = self.start(
            number=2, cores=0.3, link_mbps=3.0, seeds=[self.large.control]
        )
        self.query_until('outcome=answered')

    def answer_or_hold(self, connection, request, number):
        end = time.monotonic() + servers.HANG_S
        while self.holding.is_set() and time.monotonic() < end:
            time.sleep(0.01)
        return answer(connection, request, number)

    def query_until(self, text):
        """Send queries until the small node's log has a text."""
        for number in range(1_000):
            response = self.small.query('/w/1', f'q-{number}', 1000)
            self.assertEqual(response.status, 200)
            if text in self.small.read_log():
                return
            time.sleep(0.05)
        self.fail(f'{text} is not in the log')

    def count_runs(self, request_id):
        """Return how often each shard has run a request."""
        return [
            sum(r.headers['x-request-id'] == request_id for r in s.requests)
            for s in self.shards
        ]

    def test_query_is_run_once_by_the_large_node(self):
        # Guards against parts that both nodes ask for.
        response = self.small.query('/w/1', 'once', 1000)
        self.assertEqual(response.headers['X-Missing-Parts'], '0')
        self.assertEqual(self.count_runs('once'), [1] * len(self.SHARDS))

    def test_large_node_that_dies_is_answered_for_and_replaced(self):
        # Guards against callers that wait for a dead node to their deadline,
        # a query that runs twice, and a node that goes on asking the dead.
        self.holding.set()
        kill = threading.Timer(0.1, self.large.kill)
        kill.start()
        self.addCleanup(kill.cancel)
        started = time.monotonic()
        response = self.small.query('/w/1', 'held', 1000)
        self.assertLess(time.monotonic() - started, 0.9)
        self.assertEqual(response.status, 502)
        self.assertLessEqual(max(self.count_runs('held')), 1)
        self.holding.clear()
        response = self.small.query('/w/1', 'after', 1000)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.count_runs('after'), [1] * len(self.SHARDS))
