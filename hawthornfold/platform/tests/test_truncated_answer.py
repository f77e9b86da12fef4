"""Answers that end partway because the node's process dies."""

import http.client
import socket

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests.test_node import NodeTestCase

# More than the socket buffers between node and caller hold, and less than a
# node of 300 MB, which the settings of these tests give, accepts of a server.
BODY_BYTES = 8 << 20


class DyingNodeTest(NodeTestCase):
    def test_answer_of_a_node_that_dies_is_not_complete(self):
        # Guards against failure 5 of docs/design/server-signals.md, R7: a
        # caller that takes a part of an answer for a complete success. The
        # server's body has no length, the node's answer has to.
        def script(connection, request, number):
            connection.sendall(
                gateway_support.create_answer(
                    request,
                    b'x' * BODY_BYTES,
                    X_Server_Seal='s',
                    Content_Length=None,
                )
            )
            return False

        self.publish_configuration()
        self.add_server('i-z', 'z', script)
        node = self.start_node()
        caller = http.client.HTTPConnection(
            node.ip, node.ports['front'], timeout=gateway_support.HANG_S
        )
        self.addCleanup(caller.close)
        caller.connect()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        caller.request(
            'GET', '/f/1', headers={'Host': 'a.example', 'X-Request-Id': 'r'}
        )
        response = caller.getresponse()
        self.assertEqual(response.headers['Content-Length'], str(BODY_BYTES))
        node.kill()
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            response.read()
