"""Messages for a process that has ended, and whose name another one has.

A restarted process has the name and the address of the one before it. What
other nodes send to that one reaches its successor.
"""

import contextlib
import types
import unittest
from unittest import mock

import eventlet
import eventlet.queue

from hawthornfold.audit import create_audit_trail
from hawthornfold.clock import create_manual_clock
from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Delegate
from hawthornfold.delegation import Delegated
from hawthornfold.delegation import GatherParts
from hawthornfold.delegation import PartsReply
from hawthornfold.emulator.processes import pick_ports
from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.fleet import open_fleet
from hawthornfold.gateway.group_calls import GroupCaller
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests import test_delegations
from hawthornfold.gateway.tests.test_delegations import LARGE
from hawthornfold.gateway.tests.test_delegations import REQUEST
from hawthornfold.gateway.tests.test_delegations import SMALL
from hawthornfold.gathering import GroupEnd
from hawthornfold.membership import Member
from hawthornfold.metrics import create_metrics

HELPER = Member('helper', 'helper', 'dc', 1, 'live')
GROUP = GatherParts(0, 'search', '', (0, 1), 'r1', 'GET', b'', b'', 1e4, 1e4)


class DelegatedAnswerTest(test_delegations.DelegationsTestCase):
    """A node delegates a request, is killed, and starts again."""

    def setUp(self):
        super().setUp()
        self.answers = {}
        self.create('other', LARGE, self.answer)
        eventlet.spawn_n(self.delegate, self.small, 'large', '/old/')
        support.wait_until(lambda: '/old/' in self.answers)
        self.small = self.create('small', SMALL, lambda *_: None)

    def answer(self, delegate, watch_caller):
        """Answer a request when its event is set."""
        event = self.answers[delegate.target] = eventlet.event.Event()
        return event.wait()

    def delegate(self, node, name, target):
        room = self.room._replace(name=name, address=name)
        request = REQUEST._replace(target=target, objective_left_ms=1e4)
        return node.delegate_request(
            room, request, test_delegations.ignore_caller
        )

    def delegate_new(self, name, old_answer):
        """Have the restarted node delegate a request.

        The answer to the killed process is sent first.

        Returns
        -------
        Delegated
            What the restarted node takes for the answer to its request.
        """
        thread = eventlet.spawn(self.delegate, self.small, name, '/new/')
        support.wait_until(lambda: '/new/' in self.answers)
        self.answers['/old/'].send(old_answer)
        eventlet.sleep(0.02)
        self.answers['/new/'].send(GatewayAnswer(200, (), b'new'))
        return thread.wait()

    def test_answer_to_a_killed_process_does_not_reach_another_caller(self):
        # Guards against callers that get the answer to the request of another
        # caller, which a killed process of the same node had delegated.
        reply = self.delegate_new('large', GatewayAnswer(200, (), b'old'))
        self.assertEqual((reply.status, reply.body), (200, b'new'))

    def test_answer_of_another_node_to_a_killed_process(self):
        # Guards against the same if the two requests are at different nodes.
        reply = self.delegate_new('other', GatewayAnswer(200, (), b'old'))
        self.assertEqual((reply.status, reply.body), (200, b'new'))

    def test_decline_to_a_killed_process_does_not_count(self):
        # Guards against a request that is sent to a second node, or reported
        # as not run, while the first one runs it.
        reply = self.delegate_new('large', None)
        self.assertEqual((reply.status, reply.body), (200, b'new'))


class GatheredPartsTest(unittest.TestCase):
    """A node has another one gather parts, is killed, and starts again."""

    def setUp(self):
        _, self.old_id = self.start(mock.Mock())
        self.listener = mock.Mock()
        self.call, self.new_id = self.start(self.listener)

    def start(self, listener):
        """Start a process of the node and its first call.

        Returns
        -------
        tuple of (_Call, int)
            The call and its id.
        """
        self.fleet = mock.Mock()
        caller = GroupCaller(
            self.fleet,
            mock.Mock(),
            create_manual_clock(),
            create_metrics(),
        )
        self.addCleanup(lambda: caller.cancel(call))
        call = caller.start(HELPER, GROUP, 0, listener)
        return call, self.fleet.send.call_args.args[2].call

    def deliver(self, *fields):
        """Deliver a reply of the helper to the restarted process."""
        _, handle = self.fleet.register.call_args.args
        sender = types.SimpleNamespace(name=HELPER.name, incarnation=1)
        handle(sender, PartsReply(*fields))

    def test_parts_for_a_killed_process_do_not_count(self):
        # Guards against answers with records of another caller's query, which
        # a killed process of the same node had divided.
        for status in (
            'accepted',
            'repeating',
            'answers',
            'not-run',
            'declined',
            'lost',
            'finished',
        ):
            with self.subTest(status):
                self.deliver(self.old_id, status, (0,), ('old',), b'o' * 16)
                self.assertEqual(self.listener.method_calls, [])
        self.assertEqual(self.call.end, '')
        self.deliver(self.new_id, 'finished', (0, 1), ('a', 'b'), b'n' * 16)
        (answers, end) = self.listener.method_calls
        self.assertEqual(answers.args[1].seals, ('a', 'b'))
        self.assertEqual(end.args, (0, GroupEnd.FINISHED))


class ReplyTest(unittest.TestCase):
    """A node is asked by another one, which then restarts."""

    def setUp(self):
        self.received = eventlet.queue.Queue()
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(
                ('helper', 'entry'), pick_ports(2), strict=True
            )
        }
        self.metrics = create_metrics()
        self.fleet = self.enterContext(self.open('helper', self.metrics))

    @contextlib.contextmanager
    def open(self, name, metrics):
        """Run a process of a node with the helper as its seed."""
        settings = GatewaySettings(
            name,
            'dc',
            '',
            '',
            self.addresses[name],
            (self.addresses['helper'],),
            0,
            '',
            0.2,
            1e3,
            1e4,
            6e3,
        )
        clock = create_system_clock()
        audit = create_audit_trail(clock)
        with open_fleet(settings, clock, metrics, audit) as fleet:
            for body_type in (Delegate, Delegated):
                fleet.register(
                    body_type, lambda *message: self.received.put(message)
                )
            yield fleet

    def ask(self, fleet, call):
        """Have a process of the entry ask the helper; return the sender."""
        fleet.send(
            'helper', self.addresses['helper'], REQUEST._replace(call=call)
        )
        sender, _ = self.received.get(timeout=support.HANG_S)
        return sender

    def test_reply_to_a_former_process_is_withheld(self):
        # Guards against restarted nodes of an older release, which take the
        # reply to a former process for that to a call of their own: their
        # callers get the answers of other callers.
        with self.open('entry', create_metrics()) as fleet:
            former = self.ask(fleet, 0)
        eventlet.sleep(0.002)
        with self.open('entry', create_metrics()) as fleet:
            sender = self.ask(fleet, 0)
            self.fleet.reply(former, Delegated(0, 200, (), b'old'))
            self.fleet.reply(sender, Delegated(0, 200, (), b'new'))
            _, reply = self.received.get(timeout=support.HANG_S)
        self.assertEqual(reply.body, b'new')
        self.assertEqual(self.metrics.value('replies_withheld'), 1)

    def test_restart_that_a_third_node_reports(self):
        # Guards against the same if the restarted node has sent nothing yet.
        with self.open('entry', create_metrics()) as fleet:
            former = self.ask(fleet, 0)
            support.wait_until(lambda: self.fleet.list_others())
            newer = former.incarnation + 1
            own = self.fleet._membership._state.table.get('entry')
            self.fleet._membership._state.merge_update(
                own._replace(incarnation=newer), 'third'
            )
            self.fleet.reply(former, Delegated(0, 200, (), b'old'))
            self.fleet.reply(
                former._replace(incarnation=newer),
                Delegated(0, 200, (), b'new'),
            )
            _, reply = self.received.get(timeout=support.HANG_S)
        self.assertEqual(reply.body, b'new')
        self.assertEqual(self.metrics.value('replies_withheld'), 1)
