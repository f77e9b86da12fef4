"""Servers whose responses have a status code that no response has."""

import eventlet

from hawthornfold.gateway.tests import support
from hawthornfold.gateway.tests.test_endless_servers import LONG_DEADLINE_MS
from hawthornfold.gateway.tests.test_endless_servers import GatewayTestCase

STATUSES = ('000', '099', '600', '999')


class InvalidStatusTest(GatewayTestCase):
    """What callers get from a server that sends such responses.

    Guards against a response with status 000 that counts as an interim one.
    """

    def create_server(self, status, *following):
        """Create a server whose responses have a status.

        Parameters
        ----------
        *following : str
            Statuses of further responses with other bodies, sent at once.
        """

        def script(connection, request, number):
            for n, sent_status in enumerate((status, *following)):
                connection.sendall(
                    support.create_answer(
                        request, b'%d' % n * 16, status=sent_status
                    )
                )
            return True

        return support.ScriptedServer(script)

    def test_request_ends_at_once_and_may_have_run(self):
        # The request waited until its deadline.
        for status in STATUSES:
            with self.subTest(status):
                server = self.create_server(status)
                sound = support.ScriptedServer(support.answer_correctly)
                self.start([server, sound], deadline_ms=LONG_DEADLINE_MS)
                with eventlet.Timeout(LONG_DEADLINE_MS / 2_000.0):
                    answer = self.ask()
                self.assertEqual(answer.status, 502)
                self.assertIn(b'may have run', answer.body.lower())
                self.assertNotIn('X-Seal', dict(answer.headers))
                self.assertEqual(len(server.requests), 1)
                self.assertEqual(sound.requests, [])

    def test_request_that_may_run_twice_is_answered_by_another_server(self):
        for status in STATUSES:
            with self.subTest(status):
                self.start(
                    [
                        self.create_server(status),
                        support.ScriptedServer(support.answer_correctly),
                    ],
                    deadline_ms=LONG_DEADLINE_MS,
                    idempotent=True,
                    max_retries=2,
                )
                for _ in range(5):
                    self.assertEqual(self.ask().status, 200)

    def test_next_response_is_not_joined_to_it(self):
        # The caller got the second response with the bodies of both.
        for status in (*STATUSES, '104', '199'):
            with self.subTest(status):
                self.start([self.create_server(status, 200)])
                self.assertEqual(self.ask().status, 502)
