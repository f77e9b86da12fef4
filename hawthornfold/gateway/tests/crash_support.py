"""Backend servers whose processes end when they run some requests."""

import contextlib
import socket
import struct
import threading
import time

from hawthornfold.emulator.processes import pick_ports
from hawthornfold.gateway.tests.support import HANG_S
from hawthornfold.gateway.tests.support import read_request

# Servers end when they run a request whose target contains this.
DEADLY = 'deadly'
# How long a server works on a request.
WORK_S = 0.01
# Value of SO_LINGER: on, for 0 s.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Time in which a restarted server takes part again.
RESTART_S = 0.05


class CrashingServer:
    """A backend server that ends when it runs a deadly request.

    Parameters
    ----------
    answer : callable
        Takes a request; returns the bytes of its answer.
    begin_answer : callable, optional
        Takes a deadly request; returns what the server sends before it ends.
    is_reset : bool
        Whether its connections are reset when it ends.
    reads_body : bool
        Whether it reads the bodies of requests.
    """

    def __init__(
        self,
        answer,
        begin_answer=lambda request: b'',
        is_reset=False,
        reads_body=True,
    ):
        self._reads_body = reads_body
        self._answer = answer
        self._begin_answer = begin_answer
        self._is_reset = is_reset
        self._lock = threading.Lock()
        self._connections = set()
        self._listener = None
        # A port that no outgoing connection takes while the server is down.
        self._address = ('127.0.0.1', *pick_ports(1))
        # Time and target of each request that has arrived.
        self.arrivals = []
        self.end_count = 0
        self.start()

    @property
    def address(self):
        return '{}:{}'.format(*self._address)

    @property
    def is_running(self):
        return self._listener is not None

    def start(self):
        """Start the process, at the address that it had."""
        self._listener = socket.create_server(self._address)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def close(self):
        """End the process: its port refuses, its connections break."""
        with self._lock:
            listener, self._listener = self._listener, None
            connections, self._connections = self._connections, set()
        if listener is None:
            return
        # Nobody connects any more once the first connection is seen to break.
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for opened in connections:
            with contextlib.suppress(OSError):
                if self._is_reset:
                    opened.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                else:
                    opened.shutdown(socket.SHUT_RDWR)
            opened.close()

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError, ValueError):
            connection.settimeout(HANG_S)
            stream = connection.makefile('rb')
            while request := read_request(stream, self._reads_body):
                self.arrivals.append((time.monotonic(), request.target))
                time.sleep(WORK_S)
                if DEADLY in request.target and self.is_running:
                    self.end_count += 1
                    connection.sendall(self._begin_answer(request))
                    self.close()
                    return
                connection.sendall(self._answer(request))


def count_arrivals(servers, target, since_s=0.0):
    """Return how often a target has reached servers since a time."""
    return sum(
        at_s >= since_s and arrived == target
        for server in servers
        for at_s, arrived in server.arrivals
    )


def find_third_arrival_s(servers, target):
    """Return when a target reached a server for the third time."""
    times = sorted(
        at_s
        for server in servers
        for at_s, arrived in server.arrivals
        if arrived == target
    )
    return times[2]
