"""Connections that are opened shortly before a planned stop."""

import contextlib
import errno
import select
import socket
import time
import unittest
from unittest import mock

import eventlet
import logbook

from hawthornfold.callers import server as caller_server
from hawthornfold.callers.tests.support import HANG_S
from hawthornfold.callers.tests.support import Caller
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

    def open_callers(self, count):
        """Start a server; return it and connections that it has accepted."""
        self.enterContext(logbook.NullHandler().applicationbound())
        server = Server()
        self.addCleanup(server.close)
        callers = [Caller(server.port) for _ in range(count)]
        for caller in callers:
            self.addCleanup(caller.close)
        # Two commands: the server accepts them between the first and the end
        # of the second.
        for _ in range(2):
            server.call(lambda stop: eventlet.sleep(0.01)).wait(HANG_S)
        return server, callers

    def test_first_request_of_an_accepted_connection_is_answered(self):
        # Guards against a stop that closes a connection between its accept()
        # and its first request, which the caller is about to send.
        server, callers = self.open_callers(2)
        self.enterContext(
            mock.patch.object(
                caller_server, 'FIRST_REQUEST_WAIT_MS', HANG_S * 1000.0
            )
        )
        stopped = server.call(lambda stop: stop())
        for caller in callers:
            stopped.wait(0.05)
            caller.socket.sendall(create_post(b'first', 'Connection: close'))
            self.assertEqual(
                [answer.status for answer in caller.read_all()], [200]
            )
        self.assertTrue(stopped.wait(HANG_S))

    def test_silent_connection_does_not_prevent_a_stop(self):
        # Guards against a stop that waits until a caller which sends nothing
        # reaches the time limit for heads.
        server, callers = self.open_callers(1)
        started_s = time.monotonic()
        self.assertTrue(server.call(lambda stop: stop()).wait(HANG_S))
        self.assertIsNone(callers[0].read())
        self.assertLess(
            (time.monotonic() - started_s) * 1000.0,
            server.settings.callers.read_timeout_ms,
        )
