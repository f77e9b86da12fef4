import contextlib
import types
import unittest

import eventlet
import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import Delegate
from hawthornfold.delegation import DelegateCancel
from hawthornfold.delegation import Delegated
from hawthornfold.delegation import Room
from hawthornfold.delegation import RoomQuery
from hawthornfold.delegation import ServerNotice
from hawthornfold.delegation import create_delegation_policy
from hawthornfold.delegation.policy import DelegationOffer
from hawthornfold.delegation.tests.support import create_decision
from hawthornfold.directory import ServerRecord
from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.delegations import CALLER_LEFT
from hawthornfold.gateway.delegations import MAX_ACCEPTED
from hawthornfold.gateway.delegations import Delegations
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.runner import RequestPlan
from hawthornfold.gateway.tests import support
from hawthornfold.gathering import ExecutionTimes
from hawthornfold.gathering import ServerSignals
from hawthornfold.gathering import create_answer_margin
from hawthornfold.metrics import create_metrics

SMALL = Capacity(7.0, 0.5)
LARGE = Capacity(70.0, 2.0)
REQUEST = Delegate(
    0, 5, 'GET', '/a/', 'a.example', (('X-Id', '1'),), b'', 80.0, 500.0, 99.0
)


class Network:
    """Delivers messages in memory; drops those of nodes in `cut`."""

    def __init__(self):
        self.fleets = {}
        self.cut = set()

    def create(self, name):
        """Create the fleet of a node; a former process of it sends no more."""
        former = self.fleets.get(name)
        return StubFleet(self, name, former.incarnation + 1 if former else 1)


class StubFleet:
    def __init__(self, network, name, incarnation):
        self._network = network
        self.name = name
        self.incarnation = incarnation
        self._handlers = {}
        network.fleets[name] = self

    def register(self, body_type, handler):
        self._handlers[body_type] = handler

    def reply(self, sender, body):
        self.send(sender.name, sender.address, body)

    def is_live(self, name):
        return True

    def send(self, name, address, body, keeps_open=False):
        if self._network.fleets[self.name] is not self:
            return
        if not {name, self.name} & self._network.cut:
            receiver = self._network.fleets[name]
            sender = types.SimpleNamespace(
                name=self.name,
                incarnation=self.incarnation,
                address=self.name,
            )
            eventlet.spawn_n(receiver._handlers[type(body)], sender, body)


@contextlib.contextmanager
def ignore_caller(notify):
    yield


class DelegationsTestCase(unittest.TestCase):
    """A small node that delegates to a large one."""

    def setUp(self):
        self.network = Network()
        self.notices = []
        self.small = self.create('small', SMALL, lambda *_: None)
        self.large = self.create('large', LARGE, self.answer)
        self.room = Room('large', 'large', 'dc', *LARGE, 0.0)

    def create(self, name, capacity, answer):
        settings = types.SimpleNamespace(
            node_name=name, peer_address=name, data_centre='dc'
        )
        return Delegations(
            create_delegation_policy(name, 'dc', capacity),
            self.network.create(name),
            settings,
            create_system_clock(),
            create_metrics(),
            answer,
            handle_notice=self.notices.append,
        )

    def answer(self, delegate, watch_caller):
        raise NotImplementedError


class DelegationsTest(DelegationsTestCase):
    def setUp(self):
        super().setUp()
        self.status = 200
        self.signals = ()
        self.held_outcome = eventlet.event.Event()
        self.seen = []

    def answer(self, delegate, watch_caller):
        self.seen.append(delegate)
        if delegate.target == '/hold/':
            left = eventlet.event.Event()
            with watch_caller(lambda: left.send(None)):
                left.wait()
            self.held_outcome.send('cancelled')
            return None
        return GatewayAnswer(
            self.status, (('X-A', 'b'),), b'body', 25.0, signals=self.signals
        )

    def delegate_one(self, request=REQUEST, watch=ignore_caller):
        return self.small.delegate_request(self.room, request, watch)

    def test_complete_answer_is_returned(self):
        reply = self.delegate_one()
        expected = (200, (('X-A', 'b'),), b'body', 25.0, False)
        self.assertEqual(reply[1:], expected)
        self.assertEqual(self.seen[0].version, 5)
        self.assertEqual(self.large.accepted_count, 0)

    def test_answer_without_a_valid_status_may_have_run(self):
        # Guards against bytes of a faulty server that a node of an older
        # release takes for an answer, and which reach the caller through
        # this node.
        for status in (-1, 99, 101, 600, 999):
            with self.subTest(status):
                self.status = status
                self.assertIsNone(self.delegate_one())

    def test_wait_for_silent_node_is_limited(self):
        # Guards against callers that wait for a node that has crashed.
        self.network.cut.add('large')
        urgent = REQUEST._replace(objective_left_ms=5.0, deadline_left_ms=60.0)
        self.assertIsNone(self.delegate_one(urgent))
        now_ms = create_system_clock().now_ms()
        self.small.policy.merge_rooms([self.room], now_ms)
        self.assertEqual(len(self.small.policy.list_rooms(now_ms)), 1)

    def test_caller_that_disconnects_cancels_the_delegated_request(self):
        # Guards against servers that keep working after the caller of a
        # delegated request has disconnected.
        @contextlib.contextmanager
        def leave_soon(notify):
            eventlet.spawn_after(0.01, notify)
            yield

        request = REQUEST._replace(target='/hold/')
        request = request._replace(objective_left_ms=5_000.0)
        reply = self.delegate_one(request, leave_soon)
        self.assertEqual(reply, CALLER_LEFT)
        self.assertEqual(self.held_outcome.wait(), 'cancelled')

    def test_nothing_is_delegated_after_the_end_of_a_stop(self):
        # Guards against requests that another node runs when this one is
        # about to exit, so that their callers get no answer.
        self.small.end_early()
        self.assertEqual(self.delegate_one().status, 0)
        self.assertEqual(self.seen, [])

    def test_answer_comes_after_what_it_says_about_its_server(self):
        # Guards against requests that reach a leaving server later than is
        # allowed, from a node that has passed its announcement on but has not
        # received it from the server itself.
        leaving = ServerRecord('s1', 'a', '127.0.0.1:1', 'dc', 2, born_ms=5)
        limited = ServerRecord('s2', 'a', '127.0.0.1:2', 'dc', 2)
        self.signals = (
            (leaving, ServerSignals(is_leaving=True)),
            (limited, ServerSignals(rate_limit='2.5')),
        )
        self.assertEqual(self.delegate_one().status, 200)
        self.assertEqual(
            self.notices,
            [
                ServerNotice('s1', 5, True),
                ServerNotice('s2', 0, False, '2.5'),
            ],
        )

    def test_duplicate_of_a_running_request_is_dropped(self):
        # Guards against a request that runs twice, and against the error of
        # the second one's end, after which its sender got no answer.
        request = REQUEST._replace(target='/hold/', call=7)
        fleet = self.network.fleets['small']
        for _ in range(3):
            fleet.send('large', 'large', request)
        support.wait_until(lambda: self.seen)
        eventlet.sleep(0.01)
        self.assertEqual(len(self.seen), 1)
        fleet.send('large', 'large', DelegateCancel(7))
        support.wait_until(lambda: not self.large.accepted_count)

    def test_node_at_its_limit_declines(self):
        for number in range(MAX_ACCEPTED):
            self.large._accepted[number] = []
        reply = self.delegate_one()
        self.assertEqual(reply.status, 0)
        self.assertEqual(self.seen, [])

    def test_room_replies_include_rooms_of_other_nodes(self):
        # Guards against small nodes that never find a large one, because none
        # of their random queries reaches it.
        other = self.create('other', SMALL, lambda *_: None)
        fleet = self.network.fleets['small']
        fleet.send('large', 'large', RoomQuery(*SMALL))
        eventlet.sleep(0.01)
        fleet = self.network.fleets['other']
        fleet.send('small', 'small', RoomQuery(*SMALL))
        eventlet.sleep(0.01)
        now_ms = create_system_clock().now_ms()
        names = [room.name for room in other.policy.list_rooms(now_ms)]
        self.assertEqual(names, ['large'])


class DelegatedVersionTest(unittest.TestCase):
    def test_node_with_an_older_configuration_declines(self):
        # Guards against a caller whose request is treated by an older
        # configuration than the one that its own node already applies.
        state = types.SimpleNamespace(
            settings=types.SimpleNamespace(link_mbps=1.0, cores=1.0),
            is_stopping=False,
            placement=types.SimpleNamespace(is_isolated=False),
            configuration=types.SimpleNamespace(version=4),
        )
        handler = GatewayHandler(
            state, None, None, None, create_system_clock(), create_metrics()
        )
        with logbook.NullHandler().applicationbound():
            self.assertIsNone(handler.handle_delegated(REQUEST, ignore_caller))


class DelegationOutcomeTest(unittest.TestCase):
    """How the sending node handles each outcome of a delegation."""

    def delegate(self, reply):
        """Return how the handler ends a query whose delegate sent `reply`."""
        self.offered = []
        now_ms = create_system_clock().now_ms()
        times = ExecutionTimes(now_ms, now_ms, now_ms + 500.0)
        decision = create_decision(1, 100.0)
        rooms = [Room(n, n, 'dc', *LARGE, 0.0) for n in ('large-1', 'large-2')]
        self.margin = create_answer_margin()
        state = types.SimpleNamespace(
            settings=types.SimpleNamespace(link_mbps=7.0, cores=0.5),
            answer_margin=self.margin,
        )
        names = types.SimpleNamespace(missing_parts='X-Missing')
        clock = create_system_clock()
        handler = GatewayHandler(
            state, names, None, None, clock, create_metrics()
        )
        handler.set_delegations(
            types.SimpleNamespace(
                choose_offer=lambda _, declined_count: (
                    DelegationOffer(rooms[declined_count], 50.0)
                    if declined_count < len(rooms)
                    else None
                ),
                delegate_request=lambda room, *_: (
                    self.offered.append(room.name) or reply
                ),
            )
        )
        plan = RequestPlan('r1', decision, ('a',), times, 1)
        incoming = IncomingRequest('GET', '/', 'h', (), b'', 0.0, 0.0)
        with logbook.NullHandler().applicationbound():
            ended = handler._offers.offer(plan, incoming, ignore_caller)
        answer = ended and ended.answer
        if answer is not None:
            handler.record_sent(answer)
        return answer, ended is not None

    def test_query_without_answer_is_not_run_again(self):
        # Guards against a query that runs both at the delegate and locally,
        # and so on more servers than its rule allows.
        answer, is_final = self.delegate(None)
        self.assertTrue(is_final)
        self.assertEqual(answer.status, 502)

    def test_overdue_time_does_not_increase_the_answer_margin(self):
        # Guards against two nodes whose answer margins increase each other.
        # Only delay beyond the delegate's overdue time is the node's own.
        self.delegate(Delegated(0, 200, (('X-Missing', '7'),), b'', 1e6))
        self.assertEqual(
            self.margin.margin_ms(0.0), create_answer_margin().margin_ms(0.0)
        )

    def test_query_that_all_nodes_decline_is_run_locally(self):
        declined = Delegated(0, 0, (), b'')
        self.assertEqual(self.delegate(declined), (None, False))
        # Guards against small nodes that run a query which a second large
        # node would accept.
        self.assertEqual(self.offered, ['large-1', 'large-2'])

    def test_failure_after_execution_is_final(self):
        # Guards against a second run after the delegate has already sent the
        # query to servers.
        failed = Delegated(0, 200, (('X-Missing', '0'),), b'x')
        handler = types.SimpleNamespace(
            _state=types.SimpleNamespace(
                configuration=types.SimpleNamespace(
                    version=5,
                    rules=types.SimpleNamespace(match=lambda _: 'decision'),
                ),
                is_stopping=False,
                placement=types.SimpleNamespace(is_isolated=False),
            ),
            _clock=create_system_clock(),
        )
        for status, is_passed_on in ((504, True), (502, True), (503, False)):
            answer = GatewayAnswer(status, failed.headers, failed.body)
            handler.handle = lambda *_, answer=answer: answer
            handler._create_facts = lambda _: None
            handler._accepts_delegated = lambda *_: True
            handler.record_sent = lambda _: None
            found = GatewayHandler.handle_delegated(
                handler, REQUEST, ignore_caller
            )
            self.assertEqual(found, answer if is_passed_on else None)
