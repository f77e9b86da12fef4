"""Connections that arrive while a planned stop closes the listener."""

import contextlib
import errno
import select
import socket
import unittest
from unittest import mock

import logbook

from hawthornfold.callers import server as caller_server
from hawthornfold.callers.tests.support import HANG_S
from hawthornfold.callers.tests.support import Server
from hawthornfold.callers.tests.support import create_post


class StopRaceTest(unittest.TestCase):
    def test_connection_after_the_last_check_is_not_accepted(self):
        # Guards against failure 2 of docs/design/server-signals.md, R7: a
        # connection that the kernel accepts between the last check of its
        # queue and the close is reset, with the request that it carries.
        self.enterContext(logbook.NullHandler().applicationbound())
        server = Server()
        self.addCleanup(server.close)
        late = socket.socket()
        self.addCleanup(late.close)
        late.setblocking(False)
        original = caller_server.is_readable
        results = []

        def check(checked):
            is_readable = original(checked)
            if not is_readable and not results:
                results.append(late.connect_ex(('127.0.0.1', server.port)))
                with contextlib.suppress(OSError):
                    late.send(create_post(b'late'))
            return is_readable

        with mock.patch.object(caller_server, 'is_readable', check):
            self.assertTrue(server.call(lambda stop: stop()).wait(HANG_S))
        self.assertTrue(results)
        # A caller that was connected could not tell whether its request ran.
        self.assertTrue(select.select([], [late], [], HANG_S)[1])
        self.assertEqual(
            late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
            errno.ECONNREFUSED,
        )
