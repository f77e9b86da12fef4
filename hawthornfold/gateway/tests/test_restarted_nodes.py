"""Messages for a process that has ended, and whose name another one has.

A restarted process has the name and the address of the one before it. What
other nodes send to that one reaches its successor.
"""

import eventlet

from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.tests import test_delegations
from hawthornfold.gateway.tests.test_delegations import LARGE
from hawthornfold.gateway.tests.test_delegations import REQUEST
from hawthornfold.gateway.tests.test_delegations import SMALL

HANG_S = 10.0


class DelegatedAnswerTest(test_delegations.DelegationsTestCase):
    """A node delegates a request, is killed, and starts again."""

    def setUp(self):
        super().setUp()
        self.answers = {}
        self.create('other', LARGE, self.answer)
        eventlet.spawn_n(self.delegate, self.small, 'large', '/old/')
        self.wait_until(lambda: '/old/' in self.answers)
        self.small = self.create('small', SMALL, lambda *_: None)

    def answer(self, delegate, watch_caller):
        """Answer a request when its event is set."""
        event = self.answers[delegate.target] = eventlet.event.Event()
        return event.wait()

    def delegate(self, node, name, target):
        room = self.room._replace(name=name, address=name)
        request = REQUEST._replace(
            target=target, objective_left_ms=1_000.0 * HANG_S
        )
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
        self.wait_until(lambda: '/new/' in self.answers)
        self.answers['/old/'].send(old_answer)
        eventlet.sleep(0.02)
        self.answers['/new/'].send(GatewayAnswer(200, (), b'new'))
        return thread.wait()

    def wait_until(self, condition):
        with eventlet.Timeout(HANG_S):
            while not condition():
                eventlet.sleep(0.001)

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
