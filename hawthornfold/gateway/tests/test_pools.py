import errno
import unittest
from unittest import mock

from hawthornfold.clock import create_system_clock
from hawthornfold.directory import ServerRecord
from hawthornfold.gateway import connections
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.pools import ConnectionLimits
from hawthornfold.gateway.pools import ConnectionUser
from hawthornfold.gateway.pools import ServerPools
from hawthornfold.gateway.pools import compute_connection_limits
from hawthornfold.gateway.tests import support
from hawthornfold.metrics import create_metrics


class RecordingUser(ConnectionUser):
    def __init__(self, priority=(0, 0.0)):
        self.priority = priority
        self.results = []

    def handle_connection(self, connection, reason):
        self.results.append((connection, reason))


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.server = support.ScriptedServer(support.answer_correctly)
        self.addCleanup(self.server.close)
        self.metrics = create_metrics()
        self.pools = ServerPools(
            HeaderNames(),
            create_system_clock(),
            self.metrics,
            lambda elapsed_ms: None,
            support.create_bounds(),
        )
        self.addCleanup(self.pools.close)
        self.record = ServerRecord('s1', 'portal', self.server.address, 'd', 2)

    def get_pool(self, limit, kept=None):
        kept = limit if kept is None else kept
        limits = ConnectionLimits(kept, limit)
        return self.pools.get(self.record, lambda record: limits)

    def acquire(self, pool):
        user = RecordingUser()
        pool.acquire(user)
        support.wait_until(lambda: user.results)
        ((connection, reason),) = user.results
        self.assertIsNotNone(connection, reason)
        return connection

    @property
    def opened_count(self):
        return self.metrics.value('server_connections_opened')

    def test_idle_connection_is_reused(self):
        pool = self.get_pool(2)
        first = self.acquire(pool)
        pool.release(first)
        self.assertTrue(pool.has_idle)
        self.assertIs(self.acquire(pool), first)
        self.assertEqual(self.opened_count, 1)

    def test_connection_without_a_socket_costs_no_slot(self):
        # Guards against a server that gets no request any more after the
        # process has been short of descriptors.
        pool = self.get_pool(2)
        for error in (
            OSError(errno.EMFILE, 'Too many open files'),
            OSError(errno.ENOBUFS, 'No buffer space available'),
        ):
            user = RecordingUser()
            with mock.patch.object(
                connections._socket, 'socket', side_effect=error
            ):
                pool.acquire(user)
                support.wait_until(lambda u=user: u.results)
            ((connection, reason),) = user.results
            self.assertIsNone(connection)
            self.assertIn(error.strerror, reason)
        self.acquire(pool)
        self.acquire(pool)

    def test_request_waits_while_all_connections_are_busy(self):
        # Guards against more connections than the server accepts.
        pool = self.get_pool(1)
        first = self.acquire(pool)
        users = [RecordingUser((0, 1.0)), RecordingUser((0, 2.0))]
        for user in users:
            pool.acquire(user)
        self.assertEqual([user.results for user in users], [[], []])
        pool.release(first)
        self.assertEqual([user.results for user in users], [[(first, '')], []])
        pool.release(first)
        self.assertEqual(users[1].results, [(first, '')])
        self.assertEqual(self.opened_count, 1)

    def test_waiting_requests_are_served_by_priority(self):
        # Guards against a backlog of late requests that makes all later ones
        # late as well, and against ordinary requests before urgent ones.
        pool = self.get_pool(1)
        connection = self.acquire(pool)
        priorities = [(1, -9.0), (0, -1.0), (0, -5.0), (1, -8.0)]
        users = [RecordingUser(priority) for priority in priorities]
        for user in users:
            pool.acquire(user)
        served = []
        for _ in users:
            pool.release(connection)
            (found,) = [
                user.priority
                for user in users
                if user.results and user.priority not in served
            ]
            served.append(found)
        self.assertEqual(served, sorted(priorities))

    def test_cancelled_request_gets_no_connection(self):
        # Guards against a connection that is assigned to nobody.
        pool = self.get_pool(1)
        first = self.acquire(pool)
        user = RecordingUser()
        pool.acquire(user)
        user.is_cancelled = True
        pool.release(first)
        self.assertEqual(user.results, [])
        self.assertTrue(pool.has_idle)

    def test_connection_of_a_cancelled_request_joins_the_pool(self):
        pool = self.get_pool(1)
        user = RecordingUser()
        pool.acquire(user)
        user.is_cancelled = True
        support.wait_until(lambda: pool.has_idle)
        self.assertEqual(user.results, [])

    def test_lower_limit_closes_idle_connections(self):
        # Guards against nodes that together keep more connections than the
        # server accepts after nodes have joined.
        pool = self.get_pool(2)
        both = [self.acquire(pool), self.acquire(pool)]
        for connection in both:
            pool.release(connection)
        pool.set_limits(ConnectionLimits(1, 1))
        self.assertEqual(sum(c.is_reusable for c in both), 1)

    def test_probe_opens_a_new_connection_within_the_limit(self):
        # Guards against a probe that takes a silent connection for a live
        # server, and against one connection too many.
        pool = self.get_pool(1)
        first = self.acquire(pool)
        pool.release(first)
        (has_succeeded,) = support.wait_for_callback(pool.probe)
        self.assertTrue(has_succeeded)
        self.assertEqual(self.opened_count, 2)
        self.assertFalse(first.is_reusable)

    def test_probe_fails_while_all_connections_are_busy(self):
        pool = self.get_pool(1)
        self.acquire(pool)
        self.assertEqual(support.wait_for_callback(pool.probe), (False,))

    def test_moved_server_gets_a_new_pool(self):
        # Guards against requests to the address that a server had before.
        pool = self.get_pool(1)
        moved = self.record._replace(address='127.0.0.1:1')
        self.assertIsNot(self.pools.get(moved, lambda record: None), pool)

    def test_node_without_a_share_closes_its_connection_after_use(self):
        # Guards against more connections than the server accepts, where there
        # are more nodes than connections.
        pool = self.get_pool(1, kept=0)
        connection = self.acquire(pool)
        pool.release(connection)
        self.assertFalse(pool.has_idle)
        self.assertFalse(connection.is_reusable)

    def test_waiting_request_uses_a_connection_that_is_not_kept(self):
        pool = self.get_pool(1, kept=0)
        first = self.acquire(pool)
        user = RecordingUser()
        pool.acquire(user)
        pool.release(first)
        self.assertEqual(user.results, [(first, '')])


class LimitsTest(unittest.TestCase):
    def test_kept_connections_add_up_to_the_share_of_the_server(self):
        # Guards against servers that reset connections, because each of many
        # nodes keeps at least one.
        for nodes, limit in ((9, 26), (86, 65), (195, 120), (300, 25)):
            with self.subTest((nodes, limit)):
                ranks = [(number + 0.5) / nodes for number in range(nodes)]
                limits = [
                    compute_connection_limits(limit, 1.0 / nodes, rank)
                    for rank in ranks
                ]
                kept = sum(item.kept for item in limits)
                self.assertLessEqual(kept, limit * 0.8 + 1.0)
                self.assertGreaterEqual(kept, limit * 0.8 - 1.0)
                self.assertTrue(all(item.maximum >= 1 for item in limits))
