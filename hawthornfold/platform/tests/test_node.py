"""Tests a node's process against doubles of the platform and servers."""

import json
import signal
import socket
import threading
import time
import unittest

from hawthornfold.gateway.tests import support as gateway_support
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


def send_answer(connection, request, number):
    """Send the answer of a server of the platform, with one record."""
    target = request.headers['x-target-instance']
    body = target.encode().ljust(16, b'.')[:16]
    connection.sendall(
        gateway_support.create_answer(
            request, body, X_Server_Seal=f'seal-{target}', X_Seal=None
        )
    )
    return True


class NodeTestCase(unittest.TestCase):
    def setUp(self):
        self.store = support.MetadataStoreStub()
        self.addCleanup(self.store.close)
        self.version = 0
        self.routes = [
            create_route('search', '/s/', FanoutServices=['x', 'y'], TopK=5),
            create_route('fetch', '/f/', Backend='z'),
            create_route(
                'pay', '/p/', Backend='z', RouteType='non_idempotent'
            ),
        ]

    def publish_configuration(self):
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

    def add_server(self, server_id, service, script=send_answer, **fields):
        """Start a server and register it."""
        server = gateway_support.ScriptedServer(script)
        self.addCleanup(server.close)
        self.register_server(server, server_id, service, **fields)
        return server

    def register_server(self, server, server_id, service, **fields):
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

    def start_node(self, **options):
        """Start a node and wait until it is ready."""
        node = support.Node(self.store, **options)
        self.addCleanup(node.close)
        node.wait_until(node.is_ready)
        return node

    def start_node_and_servers(self):
        """Start a server for each of x, y and z, and a node; return it."""
        self.publish_configuration()
        self.servers = {
            name: self.add_server(f'i-{name}', name) for name in 'xyz'
        }
        return self.start_node()


class ServingTest(NodeTestCase):
    def test_query_is_gathered_and_request_is_forwarded(self):
        node = self.start_node_and_servers()
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

    def test_chunked_request_body_is_forwarded_complete(self):
        # Guards against a chunked body that is lost, or is forwarded with both
        # a length and chunked framing.
        node = self.start_node_and_servers()
        with socket.create_connection(
            (node.ip, node.ports['front']), gateway_support.HANG_S
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

    def test_chunked_answer_is_returned_complete(self):
        # Guards against hop-by-hop headers of the server's connection that
        # reach the caller.
        def script(connection, request, number):
            head = gateway_support.create_answer(
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

        self.publish_configuration()
        self.add_server('i-z', 'z', script)
        response = self.start_node().query('/f/', 'r1')
        self.assertEqual(response.data, b'abcde')
        self.assertEqual(response.headers['Content-Length'], '5')
        for name in ('Transfer-Encoding', 'X-Hop'):
            self.assertNotIn(name, response.headers)

    def test_no_configuration_is_503_and_unknown_path_404(self):
        # Guards against 404 from a node without a configuration.
        node = support.Node(self.store)
        self.addCleanup(node.close)
        node.wait_until(lambda: self.store.calls)
        response = node.query('/s/', 'r1')
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers['Retry-After']), 0.0)
        self.assertFalse(node.is_ready())
        self.publish_configuration()
        node.wait_until(node.is_ready)
        self.assertEqual(node.query('/none/', 'r2').status, 404)

    def test_unservable_request_is_refused_at_once(self):
        # Guards against a refusal that is sent only at the deadline.
        self.publish_configuration()
        node = self.start_node()
        started = time.monotonic()
        response = node.query('/f/', 'r1', deadline_ms=10_000)
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(response.status, 503)
        self.assertIn('Retry-After', response.headers)

    def test_request_appears_in_metrics_and_log(self):
        node = self.start_node_and_servers()
        node.query('/s/2f', 'request-one')
        metrics = node.send_request('/metrics', port='ready').data.decode()
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
    def test_active_rules_are_served_as_a_rules_document(self):
        # Guards against routes that operators cannot pass to the commands
        # that check and explain rules.
        node = self.start_node_and_servers()
        document = node.send_request('/rules', port='ready').data
        rule_set = compile_rules(document).ok()
        self.assertEqual(
            [rule.name for rule in rule_set.rules], ['search', 'fetch', 'pay']
        )
        facts = RequestFacts('', '', '', 'GET', '/s/2f', {'host': 'a.example'})
        self.assertEqual(rule_set.match(facts).gather.shards, ('x', 'y'))

    def test_audit_trail_names_changes(self):
        node = self.start_node_and_servers()
        changes = json.loads(node.send_request('/audit', port='ready').data)
        kinds = {change['kind'] for change in changes}
        self.assertEqual(kinds, {'configuration', 'server'})


class FaultTest(NodeTestCase):
    def hold_request(self, connection, request, number):
        """Hold a request until the connection closes."""
        self.held.set()
        connection.settimeout(gateway_support.HANG_S)
        if not connection.recv(1):
            self.released_s = time.monotonic()
            self.released.set()
        return False

    def setUp(self):
        super().setUp()
        self.held = threading.Event()
        self.released = threading.Event()

    def test_disconnected_caller_cancels_its_request(self):
        # Guards against servers that execute requests whose callers have
        # disconnected.
        self.publish_configuration()
        self.add_server('i-z', 'z', self.hold_request)
        node = self.start_node()
        caller = socket.create_connection((node.ip, node.ports['front']))
        caller.sendall(
            b'GET /f/ HTTP/1.1\r\nHost: a.example\r\n'
            b'X-Request-Id: r1\r\nX-Deadline-Ms: 20000\r\n\r\n'
        )
        self.assertTrue(self.held.wait(gateway_support.HANG_S))
        closed_s = time.monotonic()
        caller.close()
        self.assertTrue(self.released.wait(gateway_support.HANG_S))
        self.assertLess(self.released_s - closed_s, 0.5)

    def test_request_ends_at_the_timeout_of_its_route(self):
        # Guards against answers later than the route's timeout when the
        # caller's deadline is later.
        self.routes[1]['TimeoutMs'] = 400
        self.publish_configuration()
        self.add_server('i-z', 'z', self.hold_request)
        node = self.start_node()
        started = time.monotonic()
        response = node.query('/f/', 'r1', deadline_ms=20_000)
        self.assertEqual(response.status, 504)
        self.assertLess(time.monotonic() - started, 0.9)

    def test_non_idempotent_request_whose_answer_is_lost_runs_once(self):
        # Guards against a second execution, and against a status that says
        # that the request was not executed.
        def reset_without_answer(connection, request, number):
            gateway_support.reset(connection)
            return False

        self.publish_configuration()
        both = [
            self.add_server(f'i-{n}', 'z', reset_without_answer)
            for n in (1, 2)
        ]
        node = self.start_node()
        response = node.query('/p/', 'r1', method='POST', body=b'pay')
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(len(s.requests) for s in both), 1)

    def test_answer_that_ends_with_a_reset_is_502(self):
        # Guards against an incomplete answer without a length that passes as
        # complete, because eventlet reports a reset as the end of the stream.
        def reset_after_answer(connection, request, number):
            connection.sendall(
                gateway_support.create_answer(
                    request, X_Server_Seal='s', Content_Length=None
                )
            )
            time.sleep(0.05)
            gateway_support.reset(connection)
            return False

        self.publish_configuration()
        self.add_server('i-1', 'z', reset_after_answer)
        node = self.start_node()
        response = node.query('/p/', 'r1', method='POST', body=b'pay')
        self.assertEqual(response.status, 502)

    def test_idempotent_request_is_retried_on_another_server(self):
        def reset_without_answer(connection, request, number):
            gateway_support.reset(connection)
            return False

        self.publish_configuration()
        self.add_server('i-1', 'z', reset_without_answer)
        self.add_server('i-2', 'z')
        node = self.start_node()
        time.sleep(2.0)
        statuses = {node.query('/f/', f'r{n}').status for n in range(8)}
        self.assertEqual(statuses, {200})

    def test_server_that_answers_421_is_avoided(self):
        # Guards against requests that are sent again and again to an address
        # that now belongs to another service, which answers 421.
        def refuse(connection, request, number):
            connection.sendall(
                gateway_support.create_answer(
                    request, b'', status=421, X_Seal=None
                )
            )
            return True

        self.publish_configuration()
        wrong = self.add_server('i-1', 'z', refuse)
        self.add_server('i-2', 'z')
        node = self.start_node()
        time.sleep(2.0)
        for number in range(6):
            self.assertEqual(node.query('/f/', f'r{number}').status, 200)
        self.assertLessEqual(len(wrong.requests), 1)


class PublishedChangeTest(NodeTestCase):
    def test_draining_and_removed_servers_receive_no_requests(self):
        node = self.start_node_and_servers()
        first = self.servers['z']
        second = self.add_server('i-z2', 'z')
        self.register_server(first, 'i-z', 'z', State='draining', Seq=2)
        node.wait_until(lambda: 'after=draining' in node.read_log())
        for number in range(5):
            node.query('/f/', f'r{number}')
        self.assertEqual(len(first.requests), 0)
        self.assertEqual(len(second.requests), 5)
        self.store.delete('servers/i-z2')
        node.wait_until(lambda: 'after=removed' in node.read_log())
        time.sleep(1.1)
        self.assertEqual(node.query('/f/', 'r9').status, 503)

    def test_changes_after_lost_history_are_applied(self):
        node = self.start_node_and_servers()
        self.routes.append(create_route('new', '/n/', Backend='z'))
        self.store.discard_history()
        self.publish_configuration()
        node.wait_until(lambda: node.query('/n/', 'r1').status == 200)

    def test_node_serves_from_last_state_during_store_outage(self):
        # Guards against a node that stops serving when the store is down.
        node = self.start_node_and_servers()
        self.store.mode = 'busy'
        node.wait_until(lambda: 'store_lost' in node.read_log())
        self.assertEqual(node.query('/s/', 'r1').status, 200)
        self.assertTrue(node.is_ready())
        self.store.mode = 'ok'
        node.wait_until(lambda: 'store_regained' in node.read_log())

    def test_unreadable_items_keep_the_last_valid_state(self):
        node = self.start_node_and_servers()
        self.store.put('op/config', b'\xff{')
        self.store.put('servers/other', b'[]')
        node.wait_until(lambda: node.read_log().count('item_refused') == 2)
        self.assertEqual(node.query('/s/', 'r1').status, 200)

    def test_settings_are_reloaded_on_sighup(self):
        node = self.start_node_and_servers()
        node.write_settings(slack=7)
        node.send_signal(signal.SIGHUP)
        node.wait_until(
            lambda: 'settings_loaded cause=SIGHUP' in (node.read_log())
        )
        node.settings_path.write_text('not = [toml')
        node.wait_until(lambda: 'settings_refused' in node.read_log())
        self.assertEqual(node.query('/s/', 'r1').status, 200)

    def test_invalid_settings_at_the_start_are_reported(self):
        # Guards against a traceback in place of the reason.
        # Each closes the quotation of the name and goes on behind it.
        names = ('n"\na = [', 'n"\nNodeName = "m', 'n"\n[Listen]\nx="', '\0')
        for number, name in enumerate(names, 1):
            with self.subTest(name):
                node = support.Node(self.store, number, name=name)
                self.addCleanup(node.close)
                self.assertEqual(node.wait_for_exit(), 2)
                log = node.read_log()
                self.assertIn('event=settings_refused cause=start ', log)
                self.assertEqual(log.count('\n'), 1, log)


class StopTest(NodeTestCase):
    def test_stop_answers_requests_on_open_connections(self):
        # Guards against requests that are cut off by a planned stop.
        node = self.start_node_and_servers()
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
        self.assertEqual(node.wait_for_exit(), 0)
        for thread in threads:
            thread.join(gateway_support.HANG_S)
        # Each client may see one reset: the node may close a connection
        # before it reads the request.
        refused = [o for o in outcomes if 'ConnectionReset' in str(o)]
        self.assertLessEqual(len(refused), len(threads))
        self.assertEqual(set(outcomes) - set(refused), {200})
        self.assertIn('event=stopped cut_requests=0', node.read_log())


class MembershipTest(NodeTestCase):
    def test_nodes_discover_each_other_through_one_seed(self):
        # Guards against nodes that each use the whole repeat budget, because
        # each counts only itself.
        self.publish_configuration()
        first = self.start_node(number=1)
        others = [
            self.start_node(number=n, seeds=[first.control]) for n in (2, 3)
        ]
        for node in (first, *others):
            node.wait_until(lambda node=node: ' nodes=3 ' in node.read_log())


class DelegationTestCase(NodeTestCase):
    """A small node that delegates queries to a large one."""

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
        self.publish_configuration()
        self.shards = [
            self.add_server(f'i-{name}', name, self.answer_or_hold)
            for name in self.SHARDS
        ]
        self.large = self.start_node(number=1, cores=4.0, link_mbps=100.0)
        self.small = self.start_node(
            number=2, cores=0.3, link_mbps=3.0, seeds=[self.large.control]
        )
        self.query_until_logged('outcome=answered')

    def answer_or_hold(self, connection, request, number):
        end = time.monotonic() + gateway_support.HANG_S
        while self.holding.is_set() and time.monotonic() < end:
            time.sleep(0.01)
        return send_answer(connection, request, number)

    def query_until_logged(self, text):
        """Send queries until the small node's log contains a text."""
        for number in range(1_000):
            response = self.small.query('/w/1', f'q-{number}', 1000)
            self.assertEqual(response.status, 200)
            if text in self.small.read_log():
                return
            time.sleep(0.05)
        self.fail(f'{text} is not in the log')

    def count_runs(self, request_id):
        """Return how often each shard's server has received a request."""
        return [
            sum(r.headers['x-request-id'] == request_id for r in s.requests)
            for s in self.shards
        ]


class DelegationTest(DelegationTestCase):
    def test_delegated_query_runs_once(self):
        # Guards against parts that both nodes request.
        response = self.small.query('/w/1', 'once', 1000)
        self.assertEqual(response.headers['X-Missing-Parts'], '0')
        self.assertEqual(self.count_runs('once'), [1] * len(self.SHARDS))

    def test_dead_delegate_is_detected_and_no_longer_used(self):
        # Guards against callers that wait until their deadline for a delegate
        # node that has died, a query that runs twice, and a node that keeps
        # delegating to the dead one.
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
