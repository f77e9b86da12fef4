"""Nodes of this release beside nodes of an earlier one, in an upgrade.

A node is killed while another one works for it, and is started again. The
cases of review/1 and review/2, with one of the two nodes from `OLD_RELEASE`.
"""

import contextlib
import http.client
import socket
import tempfile
import threading
import time

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.gateway.tests.support import HANG_S
from hawthornfold.platform.tests import support
from hawthornfold.platform.tests.test_node import NodeTestCase

# Its nodes number their calls from 0 in each process.
OLD_RELEASE = 'c357bfc'
DEADLINE_MS = 10_000
# Their first letters are the services. The node that answers blocks the two
# that do not respond to the old query.
SERVER_IDS = tuple(
    f'{service}{number}' for service in 'xyz' for number in '123'
)
# How long the answer to the old request precedes that to the new one.
OVERLAP_S = 0.3


class MixedReleasesTest(NodeTestCase):
    """A node without links to servers, and one that works for it."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        support.export_release(OLD_RELEASE, directory)
        cls.old_root = directory

    def setUp(self):
        super().setUp()
        self.arrived = {'old': threading.Event(), 'new': threading.Event()}
        self.addCleanup(self.arrived['new'].set)
        self.cut_store = support.MetadataStoreStub()
        self.addCleanup(self.cut_store.close)
        for route in self.routes:
            route.update(
                TimeoutMs=DEADLINE_MS, MaxAttempts=2, MinSuccessShare=1.0
            )
        self.publish_configuration()
        self.cut_store.put('op/config', self.store.read('op/config'))
        refusing = self.enterContext(socket.socket())
        refusing.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{refusing.getsockname()[1]}'
        for server_id in SERVER_IDS:
            self.add_server(server_id, server_id[0], self.answer_late)
            key = f'servers/{server_id}'
            entry = {**self.store.read(key), 'Address': address}
            self.cut_store.put(key, entry)

    def answer_late(self, connection, request, number):
        """Answer the old request as soon as the new one has arrived."""
        request_id = request.headers['x-request-id']
        if request_id in self.arrived:
            self.arrived[request_id].set()
            self.arrived['new'].wait(HANG_S)
        if request_id == 'new':
            time.sleep(OVERLAP_S)
        body = request_id.encode().ljust(16, b'.')
        server_id = request.headers['x-target-instance']
        connection.sendall(
            gateway_support.create_answer(
                request,
                body,
                X_Server_Seal=f'{server_id[0]}-{request_id}',
                X_Seal=None,
            )
        )
        return True

    def query_restarted_node(
        self, asking_root, answering_root, target, **options
    ):
        """Return the response to the query that follows the restart."""
        helper = self.start_node(number=2, root=answering_root)
        node = support.Node(
            self.cut_store, 1, [helper.control], root=asking_root
        )
        self.addCleanup(node.close)
        self.wait_for_fleet(node)
        thread = threading.Thread(
            target=self.query_killed_node,
            args=(node, target),
            kwargs=options,
        )
        thread.start()
        self.assertTrue(self.arrived['old'].wait(HANG_S))
        node.kill()
        thread.join()
        log_length = len(node.read_log())
        node.start()
        self.wait_for_fleet(node, log_length)
        return node.query(target, 'new', DEADLINE_MS, **options)

    def wait_for_fleet(self, node, log_length=0):
        """Wait until a process has the other node send its requests at once.

        Parameters
        ----------
        log_length : int
            Length of the node's log when the process started.
        """
        node.wait_until(node.is_ready)
        node.wait_until(lambda: ' nodes=2 ' in node.read_log()[log_length:])
        node.query('/s/1', 'first', DEADLINE_MS)
        node.wait_until(
            lambda: all(
                f'event=server_blocked server={server_id} '
                in node.read_log()[log_length:]
                for server_id in SERVER_IDS
            )
        )

    def query_killed_node(self, node, target, **options):
        with contextlib.suppress(OSError, http.client.HTTPException):
            node.query(target, 'old', DEADLINE_MS, **options)

    def check_single_request(self, *roots):
        response = self.query_restarted_node(
            *roots, '/p/1', method='POST', body=b'1'
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers['X-Server-Seal'], 'z-new')

    def check_gathered_query(self, *roots):
        response = self.query_restarted_node(*roots, '/s/1')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers['X-Part-Seals'], 'x-new, y-new')

    # All of them guard against callers that get answers, or parts of answers,
    # to requests of other callers, which a killed process had sent.

    def test_single_request_at_an_old_node(self):
        self.check_single_request(support.ROOT, self.old_root)

    def test_single_request_of_an_old_node(self):
        self.check_single_request(self.old_root, support.ROOT)

    def test_gathered_query_at_an_old_node(self):
        self.check_gathered_query(support.ROOT, self.old_root)

    def test_gathered_query_of_an_old_node(self):
        self.check_gathered_query(self.old_root, support.ROOT)
