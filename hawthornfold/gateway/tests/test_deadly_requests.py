"""Requests that end the servers that run them, over real sockets."""

import eventlet

from hawthornfold.gateway.tests import crash_support
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests.signal_support import SignalTestCase
from hawthornfold.rules import Gather

SHARDS = ('a', 'b', 'c', 'd', 'e', 'f')
SERVERS_PER_SHARD = 2
# The bound of the users: at most three sends later than this after the third
# server has ended.
WINDOW_S = 4.0
MAX_LATE_SENDS = 3
# The request, and how often its caller sends it.
TARGET = '/deadly/1'
ROUNDS = 8
# Larger than what the kernel accepts at once.
LARGE_BODY = bytes(32 << 20)


def begin_head(request):
    return support.create_answer(request)[:20]


def begin_body(request):
    return support.create_answer(request, 1_500 * b'x')[:-1_000]


def begin_chunks(request):
    head = support.create_answer(
        request, b'', Content_Length=None, Transfer_Encoding='chunked'
    )
    return head + b'3\r\nabc\r\n'


# Names and functions: what a server sends before it ends.
BEGINNINGS = {
    'nothing': lambda request: b'',
    'a part of the head': begin_head,
    'a part of the body': begin_body,
    'a part of the chunks': begin_chunks,
}


class DeadlyRequestTest(SignalTestCase):
    def start_servers(
        self, shards=SHARDS, per_shard=SERVERS_PER_SHARD, **options
    ):
        self.crashing = {}
        self.born_ms = 0
        for shard in shards:
            for number in range(per_shard):
                server = crash_support.CrashingServer(
                    support.create_answer, **options
                )
                self.addCleanup(server.close)
                server_id = f'{shard}{number}'
                self.crashing[server_id] = self.servers[server_id] = server
        self.restart_servers()

    def restart_servers(self):
        """Start the servers that have ended; list all of them."""
        self.born_ms += 1
        for server_id, server in self.crashing.items():
            if server.is_running and self.born_ms > 1:
                continue
            if not server.is_running:
                server.start()
            self.list_server(server_id, self.born_ms, server_id[0])
        eventlet.sleep(crash_support.RESTART_S)

    def count_ends(self):
        return sum(server.end_count for server in self.crashing.values())

    def send_deadly_rounds(self, method='GET', body=b''):
        """Send the request until it is known, and again after the window.

        Returns
        -------
        tuple of (list of int, int)
            The statuses, and the number of sends after the window.
        """
        statuses = []
        servers = self.crashing.values()
        while self.count_ends() < 3 and len(statuses) < ROUNDS:
            statuses.append(self.send(method, TARGET, body).status)
            self.restart_servers()
        third_s = crash_support.find_third_arrival_s(servers, TARGET)
        eventlet.sleep(WINDOW_S)
        for _ in range(ROUNDS):
            statuses.append(self.send(method, TARGET, body).status)
            self.restart_servers()
        return statuses, crash_support.count_arrivals(
            servers, TARGET, third_s + WINDOW_S
        )

    def check_gathered(self, **options):
        self.configure(gather=Gather(SHARDS, 3), max_servers=2)
        self.start_servers(**options)
        statuses, late_sends = self.send_deadly_rounds()
        self.assertLessEqual(late_sends, MAX_LATE_SENDS)
        self.assertLessEqual(self.count_ends(), len(SHARDS) + MAX_LATE_SENDS)
        # Final, so that callers don't repeat it.
        self.assertEqual(set(statuses[-4:]), {400})
        self.assertEqual(self.send(target='/other').status, 200)

    def test_deadly_query_is_kept_away_from_servers(self):
        # Guards against a query that ends a server of each shard, and those
        # that its hedges and retries reach, each time it comes.
        self.check_gathered()

    def test_deadly_query_that_is_answered_in_part_is_kept_away(self):
        # As above, if servers end while they send the body.
        self.check_gathered(begin_answer=begin_body)

    def check_forwarded(self, method, is_idempotent, body=b'', **options):
        self.configure(is_idempotent=is_idempotent, max_servers=2)
        self.start_servers(('a',), 6, **options)
        statuses, late_sends = self.send_deadly_rounds(method, body)
        self.assertLessEqual(late_sends, MAX_LATE_SENDS)
        self.assertEqual(set(statuses[-4:]), {400})
        self.assertEqual(self.send(method, '/other').status, 200)

    def test_deadly_idempotent_request_is_kept_away_from_servers(self):
        self.check_forwarded('GET', True)

    def test_deadly_non_idempotent_request_is_kept_away_from_servers(self):
        self.check_forwarded('POST', False)

    def test_servers_that_end_while_they_answer_are_evidence(self):
        # Guards against a request that is never suspected because servers
        # send a part of their answer before they end.
        for name, is_reset in (
            ('a part of the head', False),
            ('a part of the body', False),
            ('a part of the body', True),
            ('a part of the chunks', False),
        ):
            with self.subTest(name, is_reset=is_reset):
                self.setUp()
                self.check_forwarded(
                    'GET',
                    True,
                    begin_answer=BEGINNINGS[name],
                    is_reset=is_reset,
                )
                self.doCleanups()

    def test_servers_that_end_before_they_read_the_body_are_evidence(self):
        # Guards against a request that is never suspected because the node is
        # still sending it when the server ends.
        self.check_forwarded(
            'POST', False, reads_body=False, is_reset=True, body=LARGE_BODY
        )

    def test_requests_beside_a_deadly_one_are_not_refused(self):
        # Guards against innocent requests that were running on the servers
        # that ended. Their callers repeat them once, as they do.
        for name, begin_answer in BEGINNINGS.items():
            with self.subTest(name):
                self.setUp()
                self.check_innocent(begin_answer)
                self.doCleanups()

    def check_innocent(self, begin_answer):
        self.configure(gather=Gather(SHARDS, 3), max_servers=2)
        self.start_servers(begin_answer=begin_answer)
        statuses = []

        def call(number):
            target = f'/innocent/{number}'
            answer = self.send(target=target)
            if answer.status in (502, 503):
                eventlet.sleep(0.3)
                answer = self.send(target=target)
            statuses.append(answer.status)

        callers = []
        for number in range(60):
            callers.append(eventlet.spawn(call, number))
            if number % 20 == 5:
                callers.append(eventlet.spawn(self.send, 'GET', TARGET))
            eventlet.sleep(0.01)
            if number % 20 == 15:
                self.restart_servers()
        for caller in callers:
            caller.wait()
        self.assertNotIn(400, statuses)
        self.assertGreaterEqual(statuses.count(200), 0.9 * len(statuses))

    def test_broken_connections_of_living_servers_accuse_no_request(self):
        # Guards against requests that are refused because a server resets
        # connections.
        self.configure(gather=Gather(('a', 'b'), 3), max_servers=2)
        servers = []
        for service in 'ab':
            server = support.ScriptedServer(
                lambda connection, request, number: support.reset(connection)
            )
            self.addCleanup(server.close)
            servers.append(server)
            self.servers[f'r{service}'] = server
            self.list_server(f'r{service}', 1, service)
        statuses = [self.send(target='/same').status for _ in range(6)]
        self.assertNotIn(400, statuses)
        # The first broken part ends the query. The other one is cancelled,
        # possibly before it has reached its server.
        self.assertGreater(max(len(x.requests) for x in servers), 1)
        self.assertGreater(
            self.metrics.value('server_end_checks', outcome='alive'), 1
        )
