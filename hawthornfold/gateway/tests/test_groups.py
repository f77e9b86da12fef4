"""Groups of parts that one node gathers for another, over real sockets."""

import contextlib
import threading
import time
import types
import unittest
from unittest import mock

import eventlet
from eventlet import hubs
import logbook

from hawthornfold.clock import create_manual_clock
from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import GatherCancel
from hawthornfold.delegation import GatherParts
from hawthornfold.delegation import PartsReply
from hawthornfold.delegation import PlannedGroup
from hawthornfold.delegation import QueryCostModel
from hawthornfold.delegation import ServerNotice
from hawthornfold.delegation import create_division_policy
from hawthornfold.directory import CallerLimits
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.gateway import group_calls
from hawthornfold.gateway.group_calls import MIN_ACCEPT_TIMEOUT_MS
from hawthornfold.gateway.group_calls import GroupCaller
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.helper import GroupHelper
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.runner import RequestRunner
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.state import GatewayState
from hawthornfold.gateway.tests import support
from hawthornfold.gathering import GroupEnd
from hawthornfold.membership.records import Member
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

SHARDS = tuple(f'shard-{number}' for number in range(8))
OBJECTIVE_MS = 400.0
DEADLINE_MS = 1_500.0
CAPACITY = Capacity(1_000.0, 1.0)
# Age of the nodes when a test starts. The repeat budget of a node grows from
# zero after its start, and a younger node does not repeat parts.
NODE_AGE_MS = 1_000.0
# Between the time before the objective at which another node reports what it
# has (8.5 ms) and that at which the query is answered (2.5 ms).
REPORT_LEAD_MS = 6.0


class StubFleet:
    """Delivers messages between nodes in memory."""

    def __init__(self, nodes, name):
        self._nodes = nodes
        self._name = name
        self._handlers = {}
        # Called with each message before it is sent; drops it if false.
        self.passes = lambda body: True
        self.sent = []
        # The messages that the node has handled.
        self.received = []

    def register(self, body_type, handler):
        self._handlers[body_type] = handler

    def send(self, name, address, body, keeps_open=False):
        self.sent.append(body)
        if self.passes(body):
            eventlet.spawn_n(self._nodes[name].fleet.deliver, self._name, body)

    def reply(self, sender, body):
        self.send(sender.name, sender.address, body)

    def deliver(self, name, body):
        sender = types.SimpleNamespace(name=name, incarnation=1, address=name)
        self._handlers[type(body)](sender, body)
        self.received.append(body)


class Node:
    """The parts of a gateway node that divide queries."""

    def __init__(self, nodes, name, servers, shards=SHARDS, clock=None):
        clock, metrics = clock or create_system_clock(), create_metrics()
        names = HeaderNames()
        self.metrics = metrics
        settings = GatewaySettings(
            name, 'dc', '', '', '', (), 0, '', 0.2, 1e3, 1e4, 6e3
        )
        self.state = GatewayState(settings, names, clock, metrics)
        self.configure(shards)
        changes = [
            ServerChange(
                f's{n}', ServerRecord(f's{n}', SHARDS[n % 8], address, 'dc', 2)
            )
            for n, address in enumerate(servers)
        ]
        self.state.directory.apply(changes, clock.now_ms())
        watcher = types.SimpleNamespace(age_ms=lambda now_ms: 0.0)
        model = QueryCostModel(CAPACITY)
        runner = RequestRunner(self.state, watcher, model, clock, metrics)
        self.handler = GatewayHandler(
            self.state, names, watcher, runner, clock, metrics
        )
        self.fleet = StubFleet(nodes, name)
        self.policy = create_division_policy(name, 'dc', CAPACITY, model)
        self.caller = GroupCaller(self.fleet, self.policy, clock, metrics)
        self.helper = GroupHelper(
            self.state, runner, self.fleet, model, clock, metrics
        )
        # `Delegations` does this on a node.
        self.fleet.register(
            ServerNotice,
            lambda sender, notice: self.state.handle_server_notice(notice),
        )
        self.clock = clock
        nodes[name] = self

    def count_answers(self):
        return self.metrics.value('exchanges', outcome='answered')

    def configure(self, shards, hedge=True):
        then = Then(
            urgency='urgent',
            deadline_ms=int(DEADLINE_MS),
            idempotent=True,
            coverage_percent=75,
            hedge=hedge,
            objective_ms=OBJECTIVE_MS,
            max_servers=2,
            gather=Gather(shards, 3),
        )
        document = RulesDocument((Rule('search', When(path='/*'), then),))
        self.state.set_configuration(
            RoutingConfiguration(
                1,
                compile_document(document, 1),
                {x: ServiceRecord(x, '/health', 50) for x in SHARDS},
                CallerLimits(16_384, 262_144, 3e3, 15e3),
                document,
            )
        )

    def divide(self, *groups):
        """Have nodes gather groups, each a pair of node name and parts."""
        planned = tuple(
            PlannedGroup(Member(name, name, 'dc', 1, 'live'), parts)
            for name, parts in groups
        )
        self.handler.set_division(
            types.SimpleNamespace(plan=lambda *_: planned), self.caller
        )

    def query(self, watch_caller=None):
        headers = (('Host', 'a.example'), ('X-Request-Id', 'r1'))
        incoming = IncomingRequest(
            'GET',
            '/a',
            'a.example',
            headers,
            b'',
            self.clock.now_ms(),
            0.0,
        )
        with eventlet.Timeout(support.HANG_S):
            return self.handler.handle(incoming, watch_caller or ignore_caller)


@contextlib.contextmanager
def ignore_caller(notify):
    yield


class GroupsTestCase(unittest.TestCase):
    """Three nodes whose common clock moves only when a test says so.

    A busy machine can delay the event loop by more than the objective, and a
    query is then answered without the parts that are late.
    """

    def setUp(self):
        self.enterContext(logbook.NullHandler().applicationbound())
        self.delays_s = {}
        # Servers whose answers announce that they leave.
        self.leaving = set()
        # Servers that answer only when their event is set.
        self.blocked = {}
        self.scripted = [
            support.ScriptedServer(self.create_script(n)) for n in range(8)
        ]
        for server in self.scripted:
            self.addCleanup(server.close)
        self.nodes = {}
        addresses = [server.address for server in self.scripted]
        self.clock = create_manual_clock()
        self.entry, self.left, self.right = (
            Node(self.nodes, name, addresses, clock=self.clock)
            for name in ('entry', 'left', 'right')
        )
        self.clock.advance(NODE_AGE_MS)
        self.entry.divide(('left', (0, 2, 4)), ('right', (1, 3)))

    def wait_for_nodes(self):
        """Have the entry never take a node for silent.

        These timeouts are timers of the event loop, which nodes in one
        process share: when it is late, the replies are late as well.
        """
        timeout_ms = 10.0 * support.HANG_S * 1_000.0
        for name in (
            'MIN_ACCEPT_TIMEOUT_MS',
            'MAX_ACCEPT_TIMEOUT_MS',
            'REPLY_GRACE_MS',
        ):
            self.enterContext(mock.patch.object(group_calls, name, timeout_ms))

    def create_script(self, number):
        def script(connection, request, _):
            delay_s = self.delays_s.get(number, 0.0)
            if delay_s:
                time.sleep(delay_s)
            if number in self.blocked:
                self.blocked[number].wait(support.HANG_S)
            body = bytes([97 + number]) * 16
            fields = {'X_Seal': f'seal-{number}'}
            if number in self.leaving:
                fields['X_Leaving'] = '1'
            connection.sendall(support.create_answer(request, body, **fields))
            return True

        return script

    def block_server(self, number):
        """Have a server not answer before the end of the test."""
        event = self.blocked[number] = threading.Event()
        self.addCleanup(event.set)

    def assert_complete(self, answer):
        headers = dict(answer.headers)
        self.assertEqual(answer.status, 200)
        seals = headers['X-Part-Seals'].split(', ')
        self.assertEqual(seals, [f'seal-{n}' for n in range(8)])
        self.assertEqual(headers['X-Missing-Parts'], '0')
        self.assertEqual(answer.body, b'h' * 16 + b'g' * 16 + b'f' * 16)

    def assert_each_server_received(self, count):
        received = [len(server.requests) for server in self.scripted]
        self.assertEqual(received, [count] * 8)


class GroupsTest(GroupsTestCase):
    def test_divided_query_has_the_answer_of_an_undivided_one(self):
        # Guards against lost, repeated or wrongly merged parts.
        self.wait_for_nodes()
        self.assert_complete(self.entry.query())
        self.assert_each_server_received(1)
        self.assertEqual(
            self.entry.metrics.value('group_calls', outcome='finished'), 2
        )
        for node in (self.left, self.right):
            self.assertEqual(node.helper.running_count, 0)

    def test_node_knows_which_servers_of_its_parts_leave(self):
        # Guards against review/10: requests to a leaving server later than is
        # allowed, from a node that has passed on a part of its answer, which
        # another node had gathered.
        self.wait_for_nodes()
        self.leaving = {0, 2, 5}
        self.assert_complete(self.entry.query())
        directory = self.entry.state.directory
        now_ms = self.clock.now_ms()
        for number in range(8):
            record = directory.get(f's{number}')
            self.assertEqual(
                directory.has_announced(record), number in self.leaving
            )
        self.assertEqual(
            directory.available_servers(SHARDS[0], now_ms + 1_000.0), ()
        )

    def test_servers_get_the_deadline_and_id_of_the_caller(self):
        # Guards against servers that work longer than the caller waits, and
        # against responses that can't be matched with their request.
        self.wait_for_nodes()
        self.entry.query()
        for server in self.scripted:
            (request,) = server.requests
            self.assertEqual(request.headers['x-request-id'], 'r1')
            left_ms = int(request.headers['x-deadline-ms'])
            self.assertTrue(1_000 < left_ms <= DEADLINE_MS, left_ms)

    def test_parts_of_a_stopping_node_are_sent_directly(self):
        # Guards against queries that a graceful stop makes incomplete.
        self.wait_for_nodes()
        self.left.state.begin_stop()
        self.assert_complete(self.entry.query())
        self.assert_each_server_received(1)
        self.assertEqual(
            self.entry.metrics.value('group_calls', outcome='declined'), 1
        )

    def test_duplicate_of_a_running_group_is_dropped(self):
        # Guards against parts that are sent to servers twice, and against the
        # error of the second group's end.
        self.wait_for_nodes()
        sent = self.entry.fleet.sent
        for number in (0, 2, 4):
            self.block_server(number)
        eventlet.spawn_n(self.entry.query)
        helper = self.left.helper
        support.wait_until(lambda: helper.running_count)
        (message,) = (
            body
            for body in sent
            if isinstance(body, GatherParts) and body.parts == (0, 2, 4)
        )
        self.left.fleet.deliver('entry', message)
        self.assertEqual(
            self.left.metrics.value('duplicate_calls', type='parts'), 1
        )
        for event in self.blocked.values():
            event.set()
        support.wait_until(lambda: not helper.running_count)

    def test_request_that_outlasts_the_stop_is_refused_at_once(self):
        # Guards against requests that are read late in the grace period, and
        # are passed on although the node exits before they can end.
        self.wait_for_nodes()
        now_ms = self.clock.now_ms()
        self.entry.state.begin_stop(now_ms + OBJECTIVE_MS)
        self.assert_complete(self.entry.query())
        self.entry.state.begin_stop(now_ms + OBJECTIVE_MS - 1.0)
        answer = self.entry.query()
        self.assertEqual(answer.status, 503)
        self.assertIn(('Retry-After', '0.00'), answer.headers)
        self.assert_each_server_received(1)

    def test_node_with_another_version_of_the_rule_declines(self):
        # Guards against an answer with shards of two versions.
        self.wait_for_nodes()
        self.left.configure(SHARDS[::-1])
        self.assert_complete(self.entry.query())
        self.assert_each_server_received(1)
        self.assertEqual(
            self.entry.metrics.value('group_calls', outcome='declined'), 1
        )

    def test_parts_of_a_dead_node_are_sent_directly(self):
        # Guards against queries that wait for a node without power.
        self.left.fleet.passes = lambda body: False
        self.left.fleet.deliver = lambda *_: None
        delays_ms = self.record_timers('left')
        started_ms = time.monotonic() * 1_000.0
        self.assert_complete(self.entry.query())
        elapsed_ms = time.monotonic() * 1_000.0 - started_ms
        self.assertGreaterEqual(elapsed_ms, MIN_ACCEPT_TIMEOUT_MS)
        # How long the entry means to wait, however late the event loop is.
        self.assertGreaterEqual(sum(delays_ms), MIN_ACCEPT_TIMEOUT_MS)
        self.assertLess(sum(delays_ms), OBJECTIVE_MS)
        self.assert_each_server_received(1)

    def record_timers(self, node_name):
        """Return the delays of the entry's timers for the silence of a node.

        The list grows as timers are started. The entry takes no other node
        for silent, because a late event loop delays their replies as well.
        """
        delays_ms = []
        hub = hubs.get_hub()
        schedule = hub.schedule_call_global

        def record(delay_s, callback, *arguments):
            if getattr(callback, '__self__', None) is self.entry.caller:
                if arguments[0].node.name == node_name:
                    delays_ms.append(delay_s * 1_000.0)
                else:
                    delay_s = 10.0 * support.HANG_S
            return schedule(delay_s, callback, *arguments)

        self.enterContext(
            mock.patch.object(hub, 'schedule_call_global', record)
        )
        return delays_ms

    def test_cut_off_node_is_cancelled_and_its_answers_are_ignored(self):
        # Guards against two answers for one shard when replies are lost.
        self.left.fleet.passes = lambda body: False
        delays_ms = self.record_timers('left')
        self.assert_complete(self.entry.query())
        # The parts are sent again in time for the objective.
        self.assertLess(sum(delays_ms), OBJECTIVE_MS)
        self.assertEqual(
            self.entry.metrics.value('group_calls', outcome='silent'), 1
        )
        support.wait_until(lambda: not self.left.helper.running_count)
        for number in (0, 2, 4):
            self.assertLessEqual(len(self.scripted[number].requests), 2)

    def test_slow_part_of_a_group_is_missing_in_a_timely_answer(self):
        # Guards against answers that wait for a slow shard of another node.
        self.wait_for_nodes()
        self.block_server(2)
        answers = []
        eventlet.spawn_n(lambda: answers.append(self.entry.query()))
        support.wait_until(
            lambda: (
                self.left.count_answers() == 2
                and self.entry.count_answers() == 3
                and self.find_replies('finished')
            )
        )
        # The other node reports before the answer is due.
        self.assertEqual(self.find_replies('answers'), [])
        self.clock.advance(OBJECTIVE_MS - REPORT_LEAD_MS)
        support.wait_until(lambda: self.find_replies('answers'))
        (reply,) = self.find_replies('answers')
        self.assertEqual(set(reply.parts), {0, 4})
        self.assertEqual(answers, [])
        # The server still blocks and the deadline never passes.
        self.clock.advance(REPORT_LEAD_MS)
        support.wait_until(lambda: answers)
        headers = dict(answers[0].headers)
        self.assertEqual(answers[0].status, 200)
        self.assertEqual(headers['X-Missing-Parts'], '1')
        self.assertEqual(
            headers['X-Part-Seals'].split(', '),
            [f'seal-{n}' for n in range(8) if n != 2],
        )
        # The node stops with this query when its answer has been sent.
        support.wait_until(lambda: not self.left.helper.running_count)
        self.assertEqual(
            self.left.metrics.value('helped_requests', outcome='caller-left'),
            1,
        )

    def find_replies(self, status):
        """Return the replies with a status that the entry has handled."""
        return [
            message
            for message in self.entry.fleet.received
            if isinstance(message, PartsReply) and message.status == status
        ]

    def test_answers_after_the_objective_are_still_used(self):
        # Guards against a query that fails although its minimum share of
        # shards is answered before the deadline.
        self.wait_for_nodes()
        for number in (0, 2, 4):
            self.block_server(number)
        answers = []
        eventlet.spawn_n(lambda: answers.append(self.entry.query()))
        support.wait_until(
            lambda: (
                self.entry.count_answers() == 3
                and self.find_replies('finished')
            )
        )
        self.clock.advance(OBJECTIVE_MS + 200.0)
        support.wait_until(lambda: self.find_replies('answers'))
        self.assertEqual(answers, [])
        for event in self.blocked.values():
            event.set()
        support.wait_until(lambda: answers)
        self.assertEqual(answers[0].status, 200)

    def test_caller_that_leaves_cancels_the_groups(self):
        # Guards against servers that work for nobody.
        self.delays_s.update(dict.fromkeys(range(8), 1.0))

        @contextlib.contextmanager
        def leave(notify):
            eventlet.spawn_after(0.1, notify)
            yield

        self.assertIsNone(self.entry.query(leave))
        support.wait_until(
            lambda: (
                not self.left.helper.running_count
                and not self.right.helper.running_count
            )
        )
        self.assertEqual(
            self.entry.metrics.value('group_calls', outcome='cancelled'), 2
        )

    def test_group_that_is_cancelled_before_it_starts_sends_nothing(self):
        # Guards against servers that work for a caller that has left.
        message = self.create_message()
        self.left.fleet.deliver('entry', message)
        cancel = GatherCancel(message.call)
        self.left.fleet.deliver('entry', cancel)
        support.wait_until(lambda: not self.left.helper.running_count)
        self.assertEqual(self.scripted[0].requests, [])

    def create_message(self, **fields):
        decision = self.entry.state.configuration.rules.rules[0].decision
        message = GatherParts(
            7,
            'search',
            self.entry.state.get_digest(decision),
            (0, 2),
            'r1',
            'GET',
            b'GET /a HTTP/1.1\r\nX-Request-Id: r1\r\n',
            b'',
            100.0,
            500.0,
        )
        return message._replace(**fields)

    def test_messages_that_do_not_fit_are_declined(self):
        # Guards against a crash by a message of another release.
        for fields in (
            {'parts': ()},
            {'parts': (8,)},
            {'parts': (-1,)},
            {'rule': 'unknown'},
            {'digest': ''},
        ):
            with self.subTest(fields):
                self.left.fleet.sent.clear()
                message = self.create_message(**fields)
                self.left.fleet.deliver('entry', message)
                (reply,) = self.left.fleet.sent
                self.assertEqual(reply.status, 'declined')

    def gather_with_reset(self, parts):
        """Return status and parts of the replies if part 2 is repeated."""
        budget = self.left.state.get_repeat_budget(SHARDS[2])

        def fail(connection, request, number):
            # The repeat budget grows from zero after the start of a node.
            while self.left.count_answers() < len(
                parts
            ) - 1 or not budget.allows_repeat(self.left.clock.now_ms()):
                time.sleep(0.002)
            support.reset(connection)
            return False

        failing = support.ScriptedServer(fail)
        self.addCleanup(failing.close)
        record = ServerRecord('t2', SHARDS[2], failing.address, 'dc', 2)
        self.left.state.directory.apply([ServerChange('s2', None)], 0.0)
        self.left.state.directory.apply([ServerChange('t2', record)], 0.0)
        spare = ServerRecord(
            's2', SHARDS[2], self.scripted[2].address, 'other', 2
        )
        self.left.state.directory.apply([ServerChange('s2', spare)], 0.0)
        # Neither hedges nor the objective lead to a report.
        for node in (self.entry, self.left):
            node.configure(SHARDS, hedge=False)
        message = self.create_message(
            parts=parts, objective_left_ms=1e5, deadline_left_ms=1e6
        )
        self.left.fleet.deliver('entry', message)
        support.wait_until(lambda: not self.left.helper.running_count)
        return [(x.status, set(x.parts)) for x in self.left.fleet.sent]

    def test_helper_reports_before_it_repeats_a_part(self):
        # Guards against a part on too many servers: after a failure of the
        # helper, the entry sends parts again only if the helper cannot have
        # repeated any.
        self.assertEqual(
            self.gather_with_reset((0, 2, 4)),
            [('accepted', set()), ('repeating', {0, 4}), ('finished', {2})],
        )

    def test_helper_without_answers_reports_before_it_repeats_a_part(self):
        # Guards against the same if the first part fails before any answer.
        self.assertEqual(
            self.gather_with_reset((2,)),
            [('accepted', set()), ('repeating', set()), ('finished', {2})],
        )

    def test_parts_that_may_have_been_repeated_are_not_sent_again(self):
        # Guards against the same at the entry, also without an answer yet.
        ends = []
        listener = types.SimpleNamespace(
            may_resend_group=lambda attempt: True,
            handle_group_end=lambda attempt, end: ends.append(end),
        )
        self.left.fleet.deliver = lambda *_: None
        message = self.create_message(objective_left_ms=20.0)
        node = Member('left', 'left', 'dc', 1, 'live')
        call = self.entry.caller.start(node, message, 1, listener).call
        for status in ('accepted', 'repeating'):
            self.entry.fleet.deliver('left', PartsReply(call, status))
        support.wait_until(lambda: ends)
        self.assertEqual(ends, [GroupEnd.FINISHED])
