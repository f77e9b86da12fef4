"""Runs a short soak, with seeds that failed before."""

import socket
import threading
import time
import unittest
from unittest import mock

from hawthornfold.platform.tests import soak
from hawthornfold.platform.tests import soak_environment
from hawthornfold.platform.tests import soak_faults
from hawthornfold.platform.tests import support

SECONDS = 8.0
# Seeds that failed before, with the cause.
REGRESSIONS = (
    # A node could not restart because another run on the machine used its
    # metrics port. Each run now has its own addresses.
    110,
    # The run waited for a fault proxy that had ended while starting. The
    # proxy is now started again (`FaultProxyTest`).
    401,
    # A node that had lost the store refused a path of a version that it had
    # never held with 503, and the soak counted that as applied. The store has
    # since then returned from a copy without the version.
    500,
)


# The release before the second review's faults were corrected.
OLD_RELEASE = '316d375'


class FaultProxyTest(unittest.TestCase):
    def test_port_in_use_is_replaced(self):
        # Guards against a soak that waits for a proxy that has ended. In the
        # run of seed 401 a connection took the port before the proxy did.
        with socket.create_server(('127.0.0.1', 0)) as listener:
            ports = [listener.getsockname()[1]]
            ports += [support.find_free_port('127.0.0.1') for _ in range(3)]
            with mock.patch.object(
                support, 'find_free_port', side_effect=ports
            ):
                proxy = soak_environment.FaultProxy({'a': '127.0.0.1:9'})
        self.addCleanup(proxy.close)
        self.assertEqual(proxy.ports['a'], ports[2])


class NodeTest(unittest.TestCase):
    def test_overlapping_restarts_start_one_process(self):
        # Guards against a process that nothing ends, which keeps the node's
        # addresses. In the run of seed 110 two stops of one node ended at the
        # same time and each started it again; the nodes of seeds 401 and 500
        # could not listen.
        store = support.MetadataStoreStub()
        self.addCleanup(store.close)
        node = support.Node(store)
        self.addCleanup(node.close)
        node.kill()

        def start_slowly():
            time.sleep(0.1)
            support.Node.start(node)

        threads = [
            threading.Thread(target=node.ensure_running) for _ in range(2)
        ]
        with mock.patch.object(
            node, 'start', side_effect=start_slowly
        ) as start:
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        self.assertEqual(start.call_count, 1)


class SoakTest(unittest.TestCase):
    def test_guarantees_hold_under_overlapping_faults(self):
        # Guards against guarantees that fail only under combinations of
        # faults; other tests cover single faults.
        for seed in (1, *REGRESSIONS):
            with self.subTest(seed):
                finished_soak, _ = soak.run_seed(
                    seed, SECONDS, faults=soak_faults.FAULTS
                )
                self.assertEqual(finished_soak.violations, [])
                self.assertGreater(finished_soak.counts.get('/g/ 200', 0), 0)

    def test_guarantees_hold_under_series_of_signals_and_restarts(self):
        # Guards against processes that end by a signal while they start or
        # stop, and against guarantees that fail when servers return or the
        # store cuts its calls.
        for seed in (2, 3):
            with self.subTest(seed):
                finished_soak, _ = soak.run_seed(seed, SECONDS)
                self.assertEqual(finished_soak.violations, [])
                self.assertGreater(finished_soak.counts.get('/g/ 200', 0), 0)

    def test_unexpected_end_of_a_process_is_a_violation(self):
        # Guards against a soak that starts a node that has ended by itself
        # again without a word, as it did with those that SIGHUP ended.
        node = mock.Mock()
        node.process.poll.return_value = -1
        environment = mock.Mock(nodes=[node])
        violations = []
        injector = soak_faults.FaultInjector(
            None, environment, violations.append
        )
        stop = mock.Mock()
        stop.wait.side_effect = [False, True]
        injector.supervise(stop)
        self.assertEqual(violations, ['node 0 ended by itself with status -1'])
        node.ensure_running.assert_called_once_with()

    def test_guarantees_hold_while_nodes_run_two_releases(self):
        # Guards against messages that nodes of the release before do not
        # understand, or take for something else.
        finished_soak, _ = soak.run_seed(704, SECONDS, OLD_RELEASE)
        self.assertEqual(finished_soak.violations, [])
        self.assertGreater(finished_soak.counts.get('release', 0), 0)
        self.assertGreater(finished_soak.counts.get('/g/ 200', 0), 0)
