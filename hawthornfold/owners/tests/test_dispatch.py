import types
import unittest
import unittest.mock

import eventlet
from result import Ok

from hawthornfold import clock as clocks
from hawthornfold import metrics
from hawthornfold import owners
from hawthornfold.backends import codec
from hawthornfold.codes import ResultCode
from hawthornfold.owners import messages
from hawthornfold.routing import create_direct_policy
from hawthornfold.snapshots import BackendServer

SLOTS = 6
# Longer than a connection may be idle without a check of its socket.
IDLE_MS = 100.0


class HeldConnection:
    """Answers a search when `answer` is called."""

    opened_ms = 0.0
    is_reusable = True
    is_idle_and_open = True

    def __init__(self):
        self.searches = 0
        self._answered = eventlet.Event()

    def search(self, request, timeout_ms):
        self.searches += 1
        return Ok(self._answered.wait())

    def answer(self, incarnation):
        answered, self._answered = self._answered, eventlet.Event()
        answered.send(codec.BackendReply(incarnation, ('s1',), False, b''))

    def close(self):
        pass


class DispatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = clocks.create_manual_clock()
        self.drains = unittest.mock.Mock()
        self.drains.is_draining.return_value = False
        pause_guard = unittest.mock.Mock()
        pause_guard.is_stale.return_value = False
        self.service = owners.create_owner_service(
            types.SimpleNamespace(
                settings=types.SimpleNamespace(
                    node=types.SimpleNamespace(name='n1')
                ),
                clock=self.clock,
                links=unittest.mock.Mock(),
                policy=create_direct_policy('n1'),
                groups=unittest.mock.Mock(),
                drains=self.drains,
                pause_guard=pause_guard,
                metrics=metrics.create_metrics(),
                audit=unittest.mock.Mock(),
                membership=unittest.mock.Mock(),
            )
        )
        self.replies = []
        self.service.set_local_reply_handler(self.replies.append)
        self.state = self.service.add_server(
            'g', BackendServer('s', '127.0.0.1:1', 'dc', SLOTS, 100)
        )
        self.connections = []
        patch = unittest.mock.patch(
            'hawthornfold.backends.connection.open_connection',
            self.open_connection,
        )
        patch.start()
        self.addCleanup(patch.stop)

    def open_connection(self, address, now_ms):
        self.connections.append(HeldConnection())
        return self.connections[-1]

    def send_work(self, request_id, count):
        parts = [
            messages.WorkPart(attempt, 's', (f'shard-{attempt}',))
            for attempt in range(1, count + 1)
        ]
        self.service.handle_work(
            types.SimpleNamespace(name='n1', address=''),
            messages.Work(
                request_id,
                'g',
                's1',
                'search',
                'x',
                10,
                0,
                7,
                10_000.0,
                True,
                tuple(parts),
            ),
        )
        self.run_green_threads()

    def run_green_threads(self):
        for _ in range(10):
            eventlet.sleep(0)

    def answer_all(self, incarnation):
        for connection in self.connections:
            connection.answer(incarnation)
        self.run_green_threads()

    def open_idle_connections(self):
        """Leave one idle connection for each slot."""
        self.send_work('first', SLOTS)
        self.answer_all('i1')
        self.assertEqual(SLOTS, len(self.replies))
        self.clock.advance(IDLE_MS)

    def restart_server(self):
        for connection in self.connections:
            connection.is_idle_and_open = False
        self.connections = []

    def count_searches(self):
        return sum(connection.searches for connection in self.connections)

    def test_requests_at_once_after_a_restart_use_one_slot(self):
        # Guards against a cold server that gets a request for each slot,
        # because all were taken from the queue before the first of them found
        # that the connections are closed.
        self.open_idle_connections()
        self.restart_server()
        self.send_work('second', SLOTS)
        self.assertEqual(1, self.count_searches())
        self.answer_all('i2')
        self.assertEqual(2, self.count_searches())

    def test_requests_that_wait_again_are_answered_once_each(self):
        # Guards against requests that are lost or sent twice because they
        # were taken from the queue and put back.
        self.open_idle_connections()
        self.restart_server()
        self.send_work('second', SLOTS)
        for _ in range(SLOTS):
            self.answer_all('i2')
        self.assertEqual(2 * SLOTS, len(self.replies))
        self.assertEqual(SLOTS, self.count_searches())
        self.assertEqual(0, self.service.in_flight)
        self.assertEqual(0, self.state.queue.depth)

    def test_requests_that_wait_again_are_refused_by_a_draining_server(self):
        # Guards against new work for a server that began to drain after the
        # requests were taken from its queue.
        self.open_idle_connections()
        self.restart_server()
        self.drains.is_draining.side_effect = [False] * SLOTS + [True] * SLOTS
        self.send_work('second', SLOTS)
        self.assertEqual(1, self.count_searches())
        self.assertEqual(
            [ResultCode.BACKEND_DRAINING] * (SLOTS - 1),
            [reply.code for reply in self.replies[SLOTS:]],
        )
