"""Groups of parts whose servers request pauses, over real sockets."""

import eventlet
import logbook

from hawthornfold.delegation import GatherParts
from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests import test_groups

PAUSE_S = 30.0


class GroupPausesTest(test_groups.GroupsTestCase):
    """Eight shards with one server each; `left` gathers 0, 2 and 4."""

    def setUp(self):
        super().setUp()
        self.enterContext(logbook.NullHandler().applicationbound())
        self.wait_for_nodes()
        self.paused = set()

    def create_script(self, number):
        answer = super().create_script(number)

        def script(connection, request, sequence):
            if number not in self.paused:
                return answer(connection, request, sequence)
            connection.sendall(
                support.create_answer(
                    request,
                    status=503,
                    Retry_After=str(PAUSE_S),
                    X_Not_Executed='1',
                )
            )
            return True

        return script

    def count_received(self):
        return [len(server.requests) for server in self.scripted]

    def test_part_that_another_node_may_not_send_is_sent_from_here(self):
        # Guards against a part that is missing because its server wants no
        # request of the other node.
        state = self.left.state
        now_ms = self.left.clock.now_ms()
        state.pauses.record_pause(state.directory.get('s2'), 1e4, now_ms)
        self.assert_complete(self.entry.query())
        self.assert_each_server_received(1)
        replies = [
            (reply.status, reply.unsent, reply.not_executed)
            for reply in self.left.fleet.sent
        ]
        self.assertEqual(replies[1], ('not-run', (2,), ()))

    def test_query_is_refused_at_once_while_too_many_shards_pause(self):
        # Guards against a query that is divided, and answered "it may have
        # run", although the node knows that it can't be served.
        self.paused.update((0, 2, 4))
        first = self.entry.query()
        self.assertIn(first.status, (502, 503))
        support.wait_until(lambda: not self.left.helper.running_count)
        received = self.count_received()
        # The node asked the servers itself, so that it knows their pauses.
        self.assertEqual([received[n] for n in (0, 2, 4)], [2, 2, 2])
        self.entry.fleet.sent.clear()
        # At once: before the event loop runs anything else, so that the node
        # waits neither for a timer nor for a socket.
        others = []
        eventlet.spawn_n(others.append, 'ran')
        answer = self.entry.query()
        self.assertEqual(others, [])
        self.assertEqual(answer.status, 503)
        retry_after_s = float(dict(answer.headers)['Retry-After'])
        self.assertEqual(retry_after_s, PAUSE_S)
        self.assertEqual(self.count_received(), received)
        self.assertFalse(
            [x for x in self.entry.fleet.sent if isinstance(x, GatherParts)]
        )

    def test_query_is_answered_without_a_few_shards_that_pause(self):
        # Guards against a query that is refused although enough shards can
        # answer, and against further requests to the one that pauses.
        self.paused.add(2)
        for _ in range(5):
            answer = self.entry.query()
            self.assertEqual(answer.status, 200)
            self.assertEqual(dict(answer.headers)['X-Missing-Parts'], '1')
            support.wait_until(lambda: not self.left.helper.running_count)
        # One from each of the two nodes.
        self.assertEqual(self.count_received()[2], 2)
