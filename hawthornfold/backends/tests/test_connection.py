import json
import unittest

from hawthornfold.backends import codec
from hawthornfold.backends import connection as connections
from hawthornfold.codes import ResultCode
from hawthornfold.gateway.tests import support

REQUEST = codec.SubRequest('q1', 1, 's1', 500, ('a',), 'search', 'text', 5)


class StatusTest(unittest.TestCase):
    def search(self, status):
        """Return the failure of a request that is refused with a status."""
        body = json.dumps(
            {
                'request_id': REQUEST.request_id,
                'attempt': REQUEST.attempt,
                'ran': False,
                'reason': 'overloaded',
            }
        ).encode()
        head = f'HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n\r\n'
        server = support.ScriptedServer(
            lambda connection, request, number: (
                connection.sendall(head.encode() + body) or True
            )
        )
        self.addCleanup(server.close)
        connection = connections.open_connection(server.address, 0.0)
        self.addCleanup(connection.close)
        failure = connection.search(REQUEST, 5_000.0).err_value
        return failure, connection.is_reusable

    def test_only_the_statuses_of_refusals_tell_that_a_request_did_not_run(
        self,
    ):
        # Guards against a request that may run once only and is sent to a
        # second server because of a response that is none.
        for status in ('000', '099', '102', '500', '600', '999'):
            with self.subTest(status):
                failure, is_reusable = self.search(status)
                self.assertIs(failure.code, ResultCode.BACKEND_BAD_REPLY)
                self.assertIs(failure.ran, codec.Ran.UNKNOWN)
                self.assertFalse(is_reusable)

    def test_refusal_tells_that_a_request_did_not_run(self):
        for status in ('409', '503'):
            failure, is_reusable = self.search(status)
            self.assertIs(failure.ran, codec.Ran.NO)
            self.assertTrue(is_reusable)
