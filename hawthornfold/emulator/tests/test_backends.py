import random
import unittest

import eventlet
from eventlet.green.http import client

from hawthornfold.emulator import backends
from hawthornfold.emulator.tests import clients


class BackendsTest(unittest.TestCase):
    def _open_server(self, **changes):
        spec = clients.create_spec(**changes)
        opened = backends.open_backends([spec])
        self.control, servers = self.enterContext(opened)
        self.server = servers['b1']

    def _connect(self):
        connection = clients.open_connection(self.server.port)
        self.addCleanup(connection.close)
        return connection

    def _set_faults(self, **faults):
        self._control_server('fault', faults, 'PUT')

    def _control_server(self, action, body=None, method='POST'):
        path = f'/control/servers/b1/{action}'
        status, _ = clients.call(self.control.port, method, path, body)
        self.assertEqual(200, status)

    def _search(self, *args, **changes):
        body = clients.create_search_body(*args, **changes)
        return clients.call(self.server.port, 'POST', '/v1/search', body)

    def _read_records(self, request_id=None):
        query = f'?request_id={request_id}' if request_id else ''
        path = f'/control/ledger{query}'
        return clients.call(self.control.port, 'GET', path)[1]

    def _wait_for_outcome(self, request_id, outcome):
        def is_reached():
            records = self._read_records(request_id)
            return records and records[0]['outcome'] == outcome

        clients.wait_until(is_reached)

    def _begin_search(self, request_id, outcome='running', **changes):
        """Send a search; wait until its ledger record has `outcome`."""
        connection = self._connect()
        body = clients.create_search_body(request_id, **changes)
        clients.send(connection, 'POST', '/v1/search', body)
        self._wait_for_outcome(request_id, outcome)
        return connection

    # Guards against a reply and a ledger record that disagree.
    def test_answer_is_recorded_as_run(self):
        self._open_server()
        status, answer = self._search()
        self.assertEqual(200, status)
        self.assertEqual(('q1', 1), (answer['request_id'], answer['attempt']))
        self.assertEqual(['s1'], answer['held'])
        (record,) = self._read_records('q1')
        self.assertEqual('ran', record['outcome'])
        self.assertEqual(answer['incarnation'], record['incarnation'])

    # Guards against work that keeps its slot or runs on after the client has
    # closed the connection.
    def test_closed_connection_cancels_work(self):
        self._open_server(slots=1, service_ms=clients.ENDLESS_SERVICE_MS)
        running = self._begin_search('running')
        queued = self._begin_search('queued', outcome='queued')
        self._begin_search('next', outcome='queued')
        queued.close()
        self._wait_for_outcome('queued', 'cancelled-queued')
        running.close()
        self._wait_for_outcome('running', 'cancelled-running')
        self._wait_for_outcome('next', 'running')
        self.assertIsNone(self._read_records('queued')[0]['started_ms'])

    # Guards against refusals that state wrongly whether the work ran.
    def test_refusals_state_reason_and_whether_it_ran(self):
        self._open_server(
            slots=1, queue=1, service_ms=clients.ENDLESS_SERVICE_MS
        )
        status, body = self._search(snapshot='s2')
        self.assertEqual((409, 'snapshot'), (status, body['reason']))
        status, body = self._search('late', deadline_ms=1)
        expected = (503, True, 'deadline')
        self.assertEqual(expected, (status, body['ran'], body['reason']))
        self._begin_search('first')
        status, body = self._search('waits', deadline_ms=1)
        expected = (503, False, 'deadline')
        self.assertEqual(expected, (status, body['ran'], body['reason']))
        self._begin_search('second', outcome='queued')
        self.assertEqual('overloaded', self._search('more')[1]['reason'])
        self._set_faults(draining=True)
        self.assertEqual('draining', self._search('drained')[1]['reason'])
        self._set_faults(drain_flag_hidden=True)
        self.assertEqual('draining', self._search('hidden')[1]['reason'])
        _, health = clients.call(self.server.port, 'GET', '/v1/health')
        self.assertFalse(health['draining'])

    # Guards against a server that accepts connections beyond its limit.
    # Experiments check the connection limit of the tier with these counters.
    def test_connections_beyond_the_limit_are_closed(self):
        self._open_server(connections=2, connect_ms=1)
        kept = [self._connect(), self._connect()]
        for connection in kept:
            clients.send(connection, 'GET', '/v1/health')
            self.assertEqual(200, clients.receive(connection)[0])
        with self.assertRaises(clients.CONNECTION_ERRORS):
            clients.call(self.server.port, 'GET', '/v1/health')
        counters = self.server.counters()
        self.assertEqual(1, counters['connections_refused'])
        self.assertEqual(2, counters['peak_connections'])
        kept[0].close()
        clients.wait_until(lambda: self.server.counters()['connections'] == 1)
        clients.call(self.server.port, 'GET', '/v1/health')

    # Guards against faults that are set but do not change the responses.
    def test_answer_faults_change_the_response(self):
        self._open_server()
        self._search('before')
        self._set_faults(crossed=True)
        self.assertEqual('before', self._search('q2')[1]['request_id'])
        self._set_faults(wrong_snapshot=True)
        _, answer = self._search('q3')
        self.assertEqual('s2', answer['snapshot'])
        text = answer['answers'][0]['hits'][0]['text']
        self.assertTrue(text.endswith(' s2'))
        self._set_faults(truncate=True)
        with self.assertRaises(client.IncompleteRead):
            self._search('q4')
        self._set_faults(duplicate=True)
        connection = self._connect()
        seen = []
        for name in ('q5', 'q6'):
            body = clients.create_search_body(name)
            clients.send(connection, 'POST', '/v1/search', body)
            seen.append(clients.receive(connection)[1]['request_id'])
        self.assertEqual(['q5', 'q5'], seen)
        self.assertEqual('ran', self._read_records('q4')[0]['outcome'])

    # Guards against a silent server that runs work or closes the connection,
    # and against the stall fault affecting new connections.
    def test_silence_and_stalls_withhold_answers(self):
        self._open_server()
        old = self._connect()
        clients.send(old, 'GET', '/v1/health')
        clients.receive(old)
        self._set_faults(stall_connections=True)
        clients.send(
            old, 'POST', '/v1/search', clients.create_search_body('old')
        )
        self.assertEqual(200, self._search('new')[0])
        self.assertEqual([], self._read_records('old'))
        self._set_faults(silent=True)
        self._begin_search('unheard', outcome='queued').close()
        self._wait_for_outcome('unheard', 'cancelled-queued')
        self._set_faults(silent='after_run')
        self._begin_search('mute', outcome='ran')
        old.close()

    # Guards against connections or work that outlast a restart or stop.
    def test_restart_and_stop_end_connections_and_work(self):
        self._open_server(service_ms=clients.ENDLESS_SERVICE_MS)
        connection = self._begin_search('first')
        before = self.server.model.incarnation
        self._control_server('restart', {'cold_ms': 1000, 'cold_factor': 2})
        with self.assertRaises(clients.CONNECTION_ERRORS):
            clients.receive(connection)
        self._wait_for_outcome('first', 'cancelled-running')
        _, health = clients.call(self.server.port, 'GET', '/v1/health')
        self.assertLess(before, health['incarnation'])
        self._control_server('stop')
        with self.assertRaises(OSError):
            clients.call(self.server.port, 'GET', '/v1/health')
        self._control_server('start')
        self._control_server('held', ['s2'], 'PUT')
        _, health = clients.call(self.server.port, 'GET', '/v1/health')
        self.assertEqual(['s2'], health['held'])

    # Guards against a misspelt fault that is accepted and injects nothing.
    def test_unknown_fault_is_refused(self):
        self._open_server()
        path = '/control/servers/b1/fault'
        body = {'slo_factor': 2}
        status, _ = clients.call(self.control.port, 'PUT', path, body)
        self.assertEqual(400, status)

    # Guards against replies that contradict the ledger. Clients disconnect
    # and deadlines expire while the server restarts and drains.
    def test_ledger_agrees_with_every_reply_under_faults(self):
        self._open_server(slots=2, queue=4, service_ms=2.0, connections=100)
        replies = []

        def run_client(number):
            choices = random.Random(number)
            for turn in range(25):
                name = f'{number}-{turn}'
                connection = clients.open_connection(self.server.port)
                deadline_ms = choices.choice([1, 4, 1000])
                body = clients.create_search_body(
                    name, deadline_ms=deadline_ms
                )
                try:
                    clients.send(connection, 'POST', '/v1/search', body)
                    if choices.random() < 0.3:
                        eventlet.sleep(0.001 * choices.random())
                    else:
                        replies.append((name, clients.receive(connection)[1]))
                except clients.CONNECTION_ERRORS:
                    # A restart closed the connection: there is no reply to
                    # compare.
                    continue
                finally:
                    connection.close()

        def inject_faults():
            for turn in range(12):
                eventlet.sleep(0.01)
                self._set_faults(draining=turn % 3 == 0, shed_share=0.1)
                if turn % 4 == 1:
                    self._control_server('restart')

        threads = [eventlet.spawn(run_client, n) for n in range(12)]
        threads.append(eventlet.spawn(inject_faults))
        for thread in threads:
            thread.wait()
        for name, reply in replies:
            (record,) = self._read_records(name)
            ran = record['started_ms'] is not None
            self.assertEqual(reply.get('ran', True), ran, record)
            if 'answers' in reply:
                self.assertEqual('ran', record['outcome'])
        outcomes = {record['outcome'] for record in self._read_records()}
        self.assertLessEqual({'ran', 'refused'}, outcomes)
        clients.wait_until(lambda: not self.server.model.running)
