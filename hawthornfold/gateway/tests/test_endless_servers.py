"""Servers that send bytes without end, over real sockets."""

import contextlib
import threading
import time
import types
import unittest

import eventlet
import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import QueryCostModel
from hawthornfold.directory import CallerLimits
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.runner import RequestRunner
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.state import GatewayState
from hawthornfold.gateway.sweep import ServerSweep
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests.test_responses import ENDLESS
from hawthornfold.gateway.tests.test_responses import ENDLESS_BODIES
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import ForwardTarget
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

DEADLINE_MS = 900
# Deadline of tests that are about what is read, not about when it ends.
LONG_DEADLINE_MS = 10_000
# An endless server stops by itself after this much, more than any bound.
SENT_BYTES = 16 << 20
# Interval at which a slow server sends another byte.
TRICKLE_INTERVAL_MS = 20.0
# The smallest memory that the settings in use have.
MEMORY_BYTES = 200 << 20


class EndlessServer(support.ScriptedServer):
    """A server that sends `start` and then `unit` until it is cut off."""

    def __init__(self, start, unit, interval_ms=0.0):
        super().__init__(self._answer)
        self._start, self._unit = start, unit
        self._interval_ms = interval_ms
        self.cut_count = 0

    def _answer(self, connection, request, number):
        repeats = 1 if self._interval_ms else 1 + 65_536 // len(self._unit)
        try:
            connection.sendall(self._start)
            sent = 0
            while sent < SENT_BYTES:
                connection.sendall(self._unit * repeats)
                sent += len(self._unit) * repeats
                time.sleep(self._interval_ms / 1000.0)
        except OSError:
            self.cut_count += 1
        return False


class GatewayTestCase(unittest.TestCase):
    """Sends requests through the handler of a node to scripted servers."""

    def setUp(self):
        self.enterContext(logbook.NullHandler().applicationbound())
        self.number = 0
        self.clock = create_system_clock()
        self.metrics = create_metrics()

    def start(
        self,
        servers,
        memory_bytes=MEMORY_BYTES,
        deadline_ms=DEADLINE_MS,
        **then,
    ):
        """Start a node with servers of one service, the first one nearest."""
        for server in servers:
            self.addCleanup(server.close)
        settings = GatewaySettings(
            'n', 'd0', '', '', '', (), 0, '', 0.2, 1e3, 1e4, 6e3
        )._replace(memory_bytes=memory_bytes)
        names = HeaderNames()
        self.state = GatewayState(settings, names, self.clock, self.metrics)
        self.addCleanup(self.state.pools.close)
        then = Then(
            deadline_ms=deadline_ms, forward=(ForwardTarget('p'),), **then
        )
        document = RulesDocument((Rule('r', When(path='/*'), then),))
        self.state.set_configuration(
            RoutingConfiguration(
                1,
                compile_document(document, 1),
                {'p': ServiceRecord('p', '/health', 500)},
                CallerLimits(16_384, 262_144, 3e3, 15e3),
                document,
            )
        )
        changes = [
            ServerChange(
                f's{n}', ServerRecord(f's{n}', 'p', server.address, f'd{n}', 9)
            )
            for n, server in enumerate(servers)
        ]
        self.state.directory.apply(changes, self.clock.now_ms())
        watcher = types.SimpleNamespace(age_ms=lambda now_ms: 0.0)
        runner = RequestRunner(
            self.state,
            watcher,
            QueryCostModel(Capacity(1_000.0, 1.0)),
            self.clock,
            self.metrics,
        )
        self.handler = GatewayHandler(
            self.state, names, watcher, runner, self.clock, self.metrics
        )
        sweep = eventlet.spawn(
            ServerSweep(self.state, self.clock, self.metrics).run
        )
        self.addCleanup(sweep.kill)
        # A node that starts opens one connection to each server, and has no
        # budget for repeats yet.
        self.state._is_settled = True
        self.state._started_ms -= 60_000.0

    def ask(self):
        self.number += 1
        request_id = f'r{self.number}'
        incoming = IncomingRequest(
            'POST',
            '/a',
            'a.example',
            (('Host', 'a.example'), ('X-Request-Id', request_id)),
            b'',
            self.clock.now_ms(),
            0.0,
        )
        with eventlet.Timeout(support.HANG_S):
            return self.handler.handle(incoming, ignore_caller)

    def count(self, name, **labels):
        return self.metrics.value(name, **labels)


class EndlessServersTest(GatewayTestCase):
    def test_endless_responses_may_have_run_and_block_the_server(self):
        # Guards against a request that is lost without notice or runs twice,
        # and against a faulty server that keeps its share of the requests.
        for name, (start, unit) in {**ENDLESS, **ENDLESS_BODIES}.items():
            with self.subTest(name):
                server = EndlessServer(start, unit)
                self.start([server], deadline_ms=LONG_DEADLINE_MS)
                self.metrics._counts.clear()
                answers = [self.ask() for _ in range(2)]
                blocked = self.state.placement.blocked_server_ids()
                lost = [x for x in answers if x.status == 502]
                lost_count = len(lost)
                self.assertEqual(answers[0].status, 502, answers[0])
                # On a busy machine the first exchange may take so long that
                # the server is blocked for silence before the second one.
                if self.count('servers_blocked', cause='silence'):
                    self.assertIn(answers[1].status, (502, 503), answers[1])
                else:
                    self.assertEqual(answers[1].status, 502, answers[1])
                for answer in lost:
                    self.assertIn(b'may have run', answer.body.lower())
                self.assertEqual(len(server.requests), lost_count)
                self.assertEqual(
                    self.count('exchanges', outcome='lost'), lost_count
                )
                self.assertEqual(
                    self.metrics.total('responses_refused'), lost_count
                )
                self.assertEqual(blocked, ['s0'])
                support.wait_until(
                    lambda s=server, n=lost_count: s.cut_count == n
                )
                self.assertEqual(
                    self.state.response_bounds.budget.used_bytes, 0
                )

    def test_other_servers_answer_idempotent_requests(self):
        # Guards against callers that notice a faulty server.
        start, unit = ENDLESS['header value']
        endless = EndlessServer(start, unit)
        sound = support.ScriptedServer(support.answer_correctly)
        self.start(
            [endless, sound],
            deadline_ms=LONG_DEADLINE_MS,
            idempotent=True,
            max_retries=2,
        )
        for _ in range(20):
            self.assertEqual(self.ask().status, 200)
        self.assertIn(len(endless.requests), (1, 2))
        self.assertEqual(len(sound.requests), 20)

    def test_requests_that_may_have_run_are_not_repeated(self):
        # Guards against a non-idempotent request that runs at two servers.
        start, unit = ENDLESS['trailers']
        endless = EndlessServer(start, unit)
        sound = support.ScriptedServer(support.answer_correctly)
        self.start([endless, sound], max_retries=2)
        statuses = [self.ask().status for _ in range(20)]
        failed = len(endless.requests)
        self.assertIn(failed, (1, 2))
        self.assertEqual(statuses.count(502), failed)
        self.assertEqual(statuses.count(200), 20 - failed)
        self.assertEqual(len(sound.requests), 20 - failed)

    def test_bytes_on_an_idle_connection_close_it(self):
        # Guards against bytes after a complete response, which a node would
        # read without end or take for the response to the next request.
        cut = []

        def script(connection, request, number):
            answer = support.create_answer(request)
            connection.sendall(answer)
            time.sleep(0.05)
            try:
                for _ in range(SENT_BYTES // (100 * len(answer))):
                    connection.sendall(100 * answer)
            except OSError:
                cut.append(number)
            return False

        server = support.ScriptedServer(script)
        self.start([server])
        for number in range(1, 4):
            self.assertEqual(self.ask().status, 200)
            support.wait_until(lambda n=number: len(cut) == n)
        self.assertEqual(cut, [0, 0, 0])
        self.assertEqual(server.connection_count, 3)

    def check_trickle(self, start, unit):
        server = EndlessServer(start, unit, TRICKLE_INTERVAL_MS)
        self.start([server])
        started_ms = self.clock.now_ms()
        blocked = []
        watch = eventlet.spawn(
            support.wait_until,
            lambda: (
                blocked.append(self.state.placement.blocked_server_ids())
                or blocked[-1]
            ),
        )
        answer = self.ask()
        # Of the failure statuses this one doesn't say that it was not run.
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(server.requests), 1)
        support.wait_until(lambda: server.cut_count)
        elapsed_ms = self.clock.now_ms() - started_ms
        # The server notices the close with one of its next bytes.
        self.assertLess(elapsed_ms, 2 * DEADLINE_MS)
        watch.wait()
        self.assertEqual(blocked[-1], ['s0'])
        self.assertEqual(self.count('servers_blocked', cause='silence'), 1)
        # A probe shows only that it accepts connections.
        health = self.state.placement.health('s0')
        self.assertGreater(health.estimate(self.clock.now_ms())[1], 0.1)

    def test_trickle_of_a_head_is_silence_and_ends_at_the_deadline(self):
        # Guards against exchanges that last as long as a byte arrives now
        # and then.
        self.check_trickle(*ENDLESS['header value'])

    def test_trickle_of_a_body_is_silence_and_ends_at_the_deadline(self):
        self.check_trickle(*ENDLESS_BODIES['without a length'])

    def test_hedged_trickle_is_avoided_and_ends_soon(self):
        # Guards against exchanges with a slow server that go on after another
        # server has answered, and against further requests to it.
        start, unit = ENDLESS_BODIES['without a length']
        slow = EndlessServer(start, unit, TRICKLE_INTERVAL_MS)
        sound = support.ScriptedServer(support.answer_correctly)
        self.start(
            [slow, sound], idempotent=True, hedge=True, objective_ms=100.0
        )
        started_ms = self.clock.now_ms()
        count = 0
        while self.clock.now_ms() - started_ms < 2_000.0:
            self.assertEqual(self.ask().status, 200)
            count += 1
            eventlet.sleep(0.02)
        self.assertGreater(count, 40)
        self.assertLess(len(slow.requests), 0.1 * count)
        support.wait_until(lambda: slow.cut_count == len(slow.requests))

    def test_node_stays_within_its_memory_and_answers_others(self):
        # Guards against 90 bodies that are read at once and exceed the memory
        # of the node, though each is within its own bound.
        memory_bytes = 32 << 20
        start, unit = ENDLESS_BODIES['with a length']
        gate = threading.Semaphore(0)
        size = 600_000

        def stall(connection, request, number):
            connection.sendall(start + unit * size)
            gate.acquire(timeout=support.HANG_S)
            return False

        stalling = support.ScriptedServer(stall)
        self.start([stalling], memory_bytes, LONG_DEADLINE_MS)
        budget = self.state.response_bounds.budget
        self.assertEqual(budget.limit_bytes, 4 << 20)
        threads = [eventlet.spawn(self.ask) for _ in range(12)]
        peaks = []
        watch = eventlet.spawn(
            support.wait_until,
            lambda: peaks.append(budget.used_bytes) or all(threads_dead()),
        )

        def threads_dead():
            return [thread.dead for thread in threads]

        support.wait_until(
            lambda: (
                len(stalling.requests) == 12
                and max(peaks) > 3 << 20
                and self.count('responses_refused', bound='memory') >= 6
            )
        )
        gate.release(12)
        answers = [thread.wait() for thread in threads]
        watch.wait()
        self.assertTrue(all(x.status in (502, 504) for x in answers))
        self.assertLessEqual(max(peaks), 4 << 20)
        self.assertGreater(max(peaks), 3 << 20)
        self.assertEqual(len(stalling.requests), 12)
        self.assertGreaterEqual(
            self.count('responses_refused', bound='memory'), 6
        )
        self.assertEqual(budget.used_bytes, 0)


@contextlib.contextmanager
def ignore_caller(notify):
    yield
