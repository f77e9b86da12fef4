import unittest

from hawthornfold.emulator import platform
from hawthornfold.emulator.tests import clients


class PlatformTest(unittest.TestCase):
    def setUp(self):
        initial = platform.InitialState(keys={'rules': '{"a": 1}'})
        opened = platform.open_platform(initial=initial)
        self.port = self.enterContext(opened).port

    def _call(self, method, path, body=None):
        status, value = clients.call(self.port, method, path, body)
        self.assertEqual(200, status)
        return value

    def _set_fault(self, **fault):
        self._call('PUT', '/control/fault', fault)

    def _open_watch(self, since, wait_ms=60_000):
        connection = clients.open_connection(self.port)
        self.addCleanup(connection.close)
        path = f'/v1/keys?since={since}&wait_ms={wait_ms}'
        clients.send(connection, 'GET', path)
        clients.wait_until(
            lambda: self._call('GET', '/control/reads')['waiting']
        )
        return connection

    # Guards against a watch that misses a change or returns without one.
    def test_watch_returns_the_change(self):
        watch = self._open_watch(since=1)
        self._call('PUT', '/control/keys/services/portal', '{"x": 2}')
        _, found = clients.receive(watch)
        value = {'revision': 2, 'value': '{"x": 2}'}
        expected = {'revision': 2, 'keys': {'services/portal': value}}
        self.assertEqual(expected, found)
        reads = self._call('GET', '/control/reads')
        self.assertEqual((1, 0), (reads['reads'], reads['waiting']))

    # Guards against watches that leak because neither the timeout nor a closed
    # connection ends them.
    def test_watch_ends_on_timeout_and_on_close(self):
        found = self._call('GET', '/v1/keys?since=1&wait_ms=1')
        self.assertEqual({'revision': 1, 'keys': {}}, found)
        self._open_watch(since=1).close()
        clients.wait_until(
            lambda: not self._call('GET', '/control/reads')['waiting']
        )

    # Guards against deleted keys that remain listed, and against deletions
    # that readers of the changes do not receive.
    def test_deleted_key_is_reported_once(self):
        self._call('DELETE', '/control/keys/rules')
        found = self._call('GET', '/v1/keys?since=1')['keys']
        self.assertEqual({'rules': {'revision': 2, 'value': None}}, found)
        self.assertEqual({}, self._call('GET', '/v1/keys?since=0')['keys'])

    # Guards against a stale replica that returns newer values.
    def test_stale_replica_answers_as_of_its_revision(self):
        self._call('PUT', '/control/keys/rules', '{"a": 2}')
        self._set_fault(stale_revision=1)
        found = self._call('GET', '/v1/keys?since=0')
        self.assertEqual(1, found['revision'])
        self.assertEqual('{"a": 1}', found['keys']['rules']['value'])
        self._set_fault()
        found = self._call('GET', '/v1/keys?since=0')
        self.assertEqual('{"a": 2}', found['keys']['rules']['value'])

    # Guards against an outage that leaves pending watches open.
    def test_outage_closes_watches_and_refuses_reads(self):
        watch = self._open_watch(since=1)
        self._set_fault(down=True)
        for attempt in (
            lambda: clients.receive(watch),
            lambda: self._call('GET', '/v1/vms'),
        ):
            with self.assertRaises(clients.CONNECTION_ERRORS):
                attempt()
        self._set_fault()
        self._call('GET', '/v1/vms')

    # Guards against a hung platform that answers a watch, and against a hung
    # connection that stays open after the fault.
    def test_hung_watch_gets_no_answer(self):
        watch = self._open_watch(since=1)
        self._set_fault(hang=True)
        self._call('PUT', '/control/keys/rules', '{"a": 2}')
        self._set_fault()
        with self.assertRaises(clients.CONNECTION_ERRORS):
            clients.receive(watch)

    # Guards against malformed requests that cause a server error instead of
    # a 400 reply.
    def test_malformed_requests_are_refused(self):
        bad = ('/control/fault', {'donw': True}), ('/control/vms', 'x')
        for path, body in bad:
            self.assertEqual(
                400, clients.call(self.port, 'PUT', path, body)[0]
            )
        self.assertEqual(
            400, clients.call(self.port, 'GET', '/v1/keys?since=x')[0]
        )

    # Guards against a VM list that ignores the lag fault.
    def test_vm_list_is_delayed_by_the_lag_fault(self):
        vm = {'name': 'entry-1', 'address': '127.0.0.1:1', 'data_centre': 'z'}
        self._call('PUT', '/control/vms', [vm])
        self._set_fault(vm_lag_ms=1e9)
        self.assertEqual([], self._call('GET', '/v1/vms')['vms'])
        self._set_fault()
        (listed,) = self._call('GET', '/v1/vms')['vms']
        self.assertEqual({**vm, 'state': 'live', 'role': 'entry'}, listed)
