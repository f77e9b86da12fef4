"""Processes and servers that are silent for a while, then go on.

Guards against failure 6 of docs/design/server-signals.md, R7: running work is
started again elsewhere, or abandoned.
"""

import signal
import threading
import time

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests.test_node import DelegationTestCase
from hawthornfold.platform.tests.test_node import NodeTestCase
from hawthornfold.platform.tests.test_node import send_answer


class PausedNodeTest(NodeTestCase):
    def setUp(self):
        super().setUp()
        self.release, self.answered = threading.Event(), threading.Event()
        self.addCleanup(self.release.set)
        self.routes[2]['TimeoutMs'] = 20_000
        self.publish_configuration()
        self.both = [
            self.add_server(f'i-{n}', 'z', self.answer_when_released)
            for n in (1, 2)
        ]
        self.node = self.start_node()

    def answer_when_released(self, connection, request, number):
        self.release.wait(gateway_support.HANG_S)
        send_answer(connection, request, number)
        self.answered.set()
        return True

    def start_payment(self, deadline_ms):
        """Send a non-idempotent request; return thread and answers."""
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self.node.query(
                    '/p/', 'r1', deadline_ms, method='POST', body=b'pay'
                )
            )
        )
        caller.start()
        self.node.wait_until(lambda: self.count_runs())
        return caller, answers

    def count_runs(self):
        return sum(len(server.requests) for server in self.both)

    def check_payment(self, caller, answers):
        caller.join(gateway_support.HANG_S)
        self.assertEqual([a.status for a in answers], [200])
        self.assertEqual(self.count_runs(), 1)

    def test_answer_that_arrives_while_the_node_is_paused_is_delivered(self):
        # The deadline passes during the pause; the answer is there.
        caller, answers = self.start_payment(500)
        self.node.send_signal(signal.SIGSTOP)
        self.release.set()
        self.assertTrue(self.answered.wait(gateway_support.HANG_S))
        time.sleep(0.6)
        self.node.send_signal(signal.SIGCONT)
        self.check_payment(caller, answers)

    def test_silent_server_keeps_its_running_request(self):
        # The server counts as silent and gets no further requests; the one
        # that it runs is neither given up nor sent to the other server.
        caller, answers = self.start_payment(20_000)
        self.node.wait_until(
            lambda: 'event=server_blocked' in self.node.read_log()
        )
        self.release.set()
        self.check_payment(caller, answers)


class PausedDelegateTest(DelegationTestCase):
    def start_query(self, request_id, deadline_ms):
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self.small.query('/w/1', request_id, deadline_ms)
            )
        )
        caller.start()
        return caller, answers

    def test_query_of_a_delegate_that_pauses_runs_once(self):
        self.routes[0]['TimeoutMs'] = 10_000
        self.publish_configuration()
        for node in (self.small, self.large):
            node.wait_until(lambda node=node: 'after=2' in node.read_log())
        self.holding.set()
        caller, answers = self.start_query('held', 10_000)
        self.small.wait_until(lambda: all(self.count_runs('held')))
        self.large.send_signal(signal.SIGSTOP)
        self.holding.clear()
        # All servers have answered the paused node.
        time.sleep(0.3)
        self.large.send_signal(signal.SIGCONT)
        caller.join(gateway_support.HANG_S)
        self.assertEqual([a.status for a in answers], [200])
        self.assertEqual(answers[0].headers['X-Missing-Parts'], '0')
        self.assertEqual(self.count_runs('held'), [1] * len(self.SHARDS))

    def test_query_that_was_given_up_does_not_start_after_the_pause(self):
        self.large.send_signal(signal.SIGSTOP)
        caller, answers = self.start_query('late', 1000)
        caller.join(gateway_support.HANG_S)
        self.large.send_signal(signal.SIGCONT)
        # The caller was told that it may have run, so it may not run later.
        self.assertEqual([a.status for a in answers], [502])
        self.assertEqual(self.large.query('/w/1', 'after').status, 200)
        self.assertEqual(self.count_runs('late'), [0] * len(self.SHARDS))
