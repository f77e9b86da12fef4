"""Nodes that are paused, or whose messages are delayed.

Guards against failure 6 of docs/design/server-signals.md, R7: running work is
started again elsewhere, or abandoned. Here `time.sleep` pauses the event loop,
as SIGSTOP pauses a process; platform/tests/test_pause_faults.py has processes.
"""

import math
import socket
import time
import types
import unittest
from unittest import mock

import eventlet
from eventlet import hubs
import logbook

from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import DelegateCancel
from hawthornfold.delegation import Delegated
from hawthornfold.delegation import GatherParts
from hawthornfold.delegation import Room
from hawthornfold.delegation import create_delegation_policy
from hawthornfold.gateway import connections
from hawthornfold.gateway.delegations import Delegations
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests import test_groups
from hawthornfold.gateway.tests.test_delegations import REQUEST
from hawthornfold.gateway.tests.test_delegations import ignore_caller
from hawthornfold.gateway.tests.test_exchange import ExchangeTestCase
from hawthornfold.metrics import create_metrics


class PausedConnectTest(ExchangeTestCase):
    def test_connection_that_opened_during_a_pause_is_used(self):
        # Guards against servers that count as unreachable, and are blocked,
        # because the node was paused while it connected.
        self.open()
        original = connections.ServerConnection.open
        # The loop runs timers next when a pause falls into its handling of a
        # readable socket.
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        writer.close()
        hubs.trampoline(reader, read=True)

        def open_and_pause(connection, timeout_ms, on_open):
            original(connection, timeout_ms, on_open)
            time.sleep(2.0 * timeout_ms / 1000.0)

        with mock.patch.object(
            connections.ServerConnection, 'open', open_and_pause
        ):
            self.assertIsNone(self.connect(timeout_ms=20.0))


class DelegationPauseTest(unittest.TestCase):
    def setUp(self):
        self.sent, self.handlers, self.runs = [], {}, []
        fleet = types.SimpleNamespace(
            register=self.handlers.__setitem__,
            send=self.send,
            reply=lambda sender, body: self.sent.append(body),
        )
        settings = types.SimpleNamespace(
            node_name='n', peer_address='n', data_centre='dc'
        )
        self.delegations = Delegations(
            create_delegation_policy('n', 'dc', Capacity(7.0, 0.5)),
            fleet,
            settings,
            create_system_clock(),
            create_metrics(),
            self.answer,
        )
        self.sender = types.SimpleNamespace(
            name='other', incarnation=1, address='other'
        )

    def send(self, name, address, body, keeps_open=False):
        self.sent.append(body)

    def answer(self, delegate, watch_caller):
        cancelled = []
        with watch_caller(lambda: cancelled.append(True)):
            if not cancelled:
                self.runs.append(delegate)

    def deliver(self, body):
        self.handlers[type(body)](self.sender, body)

    def test_query_that_was_given_up_during_a_pause_does_not_start(self):
        # A paused delegate receives the query and its cancellation together.
        self.deliver(REQUEST._replace(call=3))
        self.deliver(DelegateCancel(3))
        support.wait_until(lambda: self.sent)
        self.assertEqual(self.runs, [])
        self.assertEqual(self.delegations.accepted_count, 0)

    def test_answer_that_arrived_during_a_pause_is_used(self):
        # Guards against 'it may have run' for a query whose answer is there.
        replies = []

        def pause():
            # The answer is readable when the time for it has passed.
            time.sleep(0.1)
            replies.append(Delegated(self.sent[0].call, 200, (), b'body'))
            eventlet.spawn_after(0, self.deliver, replies[0])

        eventlet.spawn_after(0, pause)
        room = Room('other', 'other', 'dc', 70.0, 2.0, 0.0)
        request = REQUEST._replace(
            objective_left_ms=1.0, deadline_left_ms=60.0
        )
        reply = self.delegations.delegate_request(room, request, ignore_caller)
        self.assertEqual([reply], replies)


class GroupPauseTest(unittest.TestCase):
    def test_group_with_absurd_times_ends_with_its_rule(self):
        # Guards against failure 4: with NaN for a deadline the group, its
        # timers and the stop of the node would never end.
        self.enterContext(logbook.NullHandler().applicationbound())
        nodes = {}
        silent = support.ScriptedServer(
            lambda connection, request, number: connection.recv(1)
        )
        self.addCleanup(silent.close)
        with mock.patch.object(test_groups, 'DEADLINE_MS', 300.0):
            left = test_groups.Node(nodes, 'left', [silent.address] * 8)
            test_groups.Node(nodes, 'entry', [])
        decision = left.state.configuration.rules.rules[0].decision
        for time_ms in (math.nan, math.inf, -math.inf, 1e308):
            with self.subTest(time_ms):
                left.fleet.deliver(
                    'entry',
                    GatherParts(
                        7,
                        'search',
                        left.state.get_digest(decision),
                        (0, 2),
                        'r1',
                        'GET',
                        b'GET /a HTTP/1.1\r\nX-Request-Id: r1\r\n',
                        b'',
                        time_ms,
                        time_ms,
                    ),
                )
                self.assertEqual(left.helper.running_count, 1)
                support.wait_until(lambda: not left.helper.running_count)
