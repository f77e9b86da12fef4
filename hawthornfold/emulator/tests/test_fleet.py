import os
import signal
import tempfile
import unittest

from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.emulator import processes

SLEEP_COMMAND = (
    'timeit',
    '-n',
    '1',
    '-r',
    '1',
    'import time; time.sleep(600)',
)


def is_alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class ProcessGroupTest(unittest.TestCase):
    """Guards against processes that keep running after the fleet ends."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self._directory = directory.name

    def test_all_end_after_an_exception(self):
        pids = []
        with self.assertRaises(ZeroDivisionError):
            with processes.open_process_group(self._directory) as group:
                for name in ('one', 'two', 'paused'):
                    group.add(processes.ProcessSpec(name, SLEEP_COMMAND))
                    pids.append(group[name].pid)
                # A paused process must end, too.
                group['paused'].pause()
                raise ZeroDivisionError
        self.assertEqual([pid for pid in pids if is_alive(pid)], [])

    def test_start_again_creates_new_process(self):
        with processes.open_process_group(self._directory) as group:
            group.add(processes.ProcessSpec('one', SLEEP_COMMAND))
            first = group['one'].pid
            with self.assertRaises(processes.ProcessFailure):
                group['one'].start()
            group['one'].kill()
            self.assertFalse(is_alive(first))
            group['one'].start()
            self.assertNotEqual(group['one'].pid, first)
            self.assertEqual(group['one'].terminate(), -signal.SIGTERM)

    def test_processor_time_includes_ended_processes(self):
        # Guards against negative processor times when a node is killed.
        busy = ('timeit', '-n', '1', '-r', '1', 'while True: pass')
        with processes.open_process_group(self._directory) as group:
            group.add(processes.ProcessSpec('one', busy))
            process = group['one']
            while process.processor_seconds() < 0.05:
                self.assertTrue(process.is_running())
            process.kill()
            before = process.processor_seconds()
            self.assertGreaterEqual(before, 0.05)
            process.start()
            self.assertGreaterEqual(process.processor_seconds(), before)


class FleetTest(unittest.TestCase):
    """Checks the fleet on which all end-to-end tests rely."""

    def test_queries_reach_the_ledger_and_processes_end(self):
        small = deployments.create_small()
        with fleets.open_fleet(small, 2, variant='naive') as fleet:
            port = fleet.plan.nodes['entry-1'].callers
            query = {
                'service': 'payout-ledger',
                'kind': 'record',
                'text': 'payout-ledger-shard-1-00003',
                'limit': 3,
            }
            status, answer = fleet.call(port, 'POST', '/v1/query', query)
            self.assertEqual((status, answer['total']), (200, 1))
            records = fleet.collect_ledger()
            self.assertEqual(
                {record['request_id'] for record in records},
                {answer['request_id']},
            )
            self.assertEqual(len(records), 6)
            names = [*fleet.nodes, fleets.PLATFORM, 'backends-1']
            pids = [fleet.process(name).pid for name in names]
            self.assertEqual(fleet.terminate('entry-1'), 0)
            self.assertFalse(fleet.is_ready('entry-1'))
            fleet.start_again('entry-1')
            fleet.wait_until_ready(['entry-1'])
        self.assertEqual([pid for pid in pids if is_alive(pid)], [])

    def test_link_faults_affect_queries(self):
        # Guards against nodes that bypass the proxy.
        small = deployments.create_small()
        with fleets.open_fleet(small, 1, proxy=True, variant='naive') as fleet:
            port = fleet.plan.nodes['entry-1'].callers
            query = {
                'service': 'clerk-desk',
                'kind': 'search',
                'text': 'oakford',
                'limit': 3,
            }
            for name in fleet.plan.servers:
                status, _ = fleet.set_link_fault(name, cut=True)
                self.assertEqual(status, 200)
            _, answer = fleet.call(port, 'POST', '/v1/query', query)
            self.assertEqual(answer['outcome'], 'failed')
            for name in fleet.plan.servers:
                fleet.set_link_fault(name)
            _, answer = fleet.call(port, 'POST', '/v1/query', query)
            self.assertEqual(answer['outcome'], 'complete')
