"""Servers that start again under their ids, and addresses used by others."""

import threading

import eventlet

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests.test_endless_servers import LONG_DEADLINE_MS
from hawthornfold.gateway.tests.test_endless_servers import GatewayTestCase
from hawthornfold.placement.health import REPLACED_MS


def answer_for_another(connection, request, number):
    """Script of a server that uses the address of the requested one."""
    connection.sendall(support.create_answer(request, status=421))
    return True


class ReplacedServerTest(GatewayTestCase):
    """A server that is alive gets no request of a node any more."""

    def create(self, script=support.answer_correctly):
        server = support.ScriptedServer(script)
        self.addCleanup(server.close)
        return server

    def apply(self, server, born_ms=0):
        """Apply the entry of the server s0, or its removal if None."""
        record = server and ServerRecord(
            's0', 'p', server.address, 'd0', 9, born_ms=born_ms
        )
        events = self.state.directory.apply(
            [ServerChange('s0', record)], self.clock.now_ms()
        )
        self.state.handle_server_events(events)

    def test_server_that_comes_back_is_used(self):
        # Guards against review/8: its entry was removed, and a last request
        # reached the server that uses its address now.
        other = self.create(answer_for_another)
        self.start([other], deadline_ms=LONG_DEADLINE_MS)
        self.apply(None)
        self.assertEqual(self.ask().status, 503)
        self.assertEqual(len(other.requests), 1)
        returned = self.create()
        self.apply(returned, born_ms=2)
        self.assertEqual(self.ask().status, 200)
        self.assertEqual(len(returned.requests), 1)

    def test_late_response_does_not_exclude_the_restarted_server(self):
        # Guards against outcomes of requests to a former process that count
        # for the process that the entry names now.
        gate = threading.Event()

        def answer_late(connection, request, number):
            gate.wait(support.HANG_S)
            return answer_for_another(connection, request, number)

        other, restarted = self.create(answer_late), self.create()
        self.start([other], deadline_ms=LONG_DEADLINE_MS)
        asking = eventlet.spawn(self.ask)
        support.wait_until(lambda: other.requests)
        self.apply(restarted, born_ms=2)
        gate.set()
        asking.wait()
        self.assertEqual(self.ask().status, 200)

    def test_server_that_once_said_that_it_is_another_is_used_later(self):
        # Guards against an exclusion without an end: the entry stays, and
        # nothing tells the node that the response was wrong.
        scripts = [answer_for_another, support.answer_correctly]
        server = self.create(
            lambda connection, request, number: scripts.pop(0)(
                connection, request, number
            )
        )
        self.start([server], deadline_ms=LONG_DEADLINE_MS)
        self.assertEqual(self.ask().status, 503)
        self.assertEqual(self.ask().status, 503)
        self.assertEqual(len(server.requests), 1)
        health = self.state.placement.health('s0')
        health.expire_replaced(self.clock.now_ms() + REPLACED_MS)
        self.assertEqual(self.ask().status, 200)
