"""Receives messages on a ROUTER socket that is replaced after a pause.

A pause is a time in which the process did not run: it was stopped, its VM was
frozen, or its event loop was blocked. Other nodes close their connections
meanwhile. libzmq 4.3.5 ends the process if it reads a heartbeat, which has
waited behind a full receive queue, of a connection that is closed by then
(docs/incidents/frozen-nodes.md). A socket that is closed without being read
does not do that, and what waits in it was sent to a node that did not answer.
"""

import contextlib

import eventlet
from eventlet.green import zmq
import logbook

_LOG = logbook.Logger('peers')

# Interval at which the receiver notes that the event loop runs.
_CHECK_INTERVAL_MS = 250.0
# The port is free again once libzmq has closed the former socket.
_BIND_INTERVAL_MS = 5.0
# Maximum number of messages received without yielding to other green threads.
_RECEIVE_BATCH = 64


class Receiver:
    """Reads the messages of all other nodes.

    Parameters
    ----------
    open_socket : callable
        Returns a new socket that is bound. Raises `zmq.ZMQError` while the
        port is in use.
    close_socket : callable
        Takes the socket and closes it.
    handle_message : callable
        Takes the frames of a message. Must not block.
    silence_ms : float
        Other nodes close their connections to a process that is silent for
        this long.
    clock, metrics : object
        The node's clock and metrics registry.

    Raises
    ------
    zmq.ZMQError
        The port cannot be bound.
    """

    def __init__(
        self,
        open_socket,
        close_socket,
        handle_message,
        silence_ms,
        clock,
        metrics,
    ):
        self._open_socket = open_socket
        self._close_socket = close_socket
        self._handle_message = handle_message
        # Notes that are further apart may enclose a pause of `silence_ms`.
        self._max_gap_ms = silence_ms - _CHECK_INTERVAL_MS
        self._clock = clock
        self._metrics = metrics
        self._checked_ms = clock.now_ms()
        self._socket = open_socket()

    def receive(self):
        """Receive messages; never returns, and runs in a green thread."""
        while True:
            socket = self._socket
            try:
                self._receive_batch(socket)
            except zmq.ZMQError:
                if not socket.closed:
                    raise
                # `watch_pauses` is replacing it.
                self._clock.sleep_ms(_BIND_INTERVAL_MS)
            eventlet.sleep(0)

    def watch_pauses(self):
        """Replace the socket after each pause; runs in a green thread.

        Timers that are due run in the order of their times. After a pause this
        one therefore runs before `receive`, which its socket wakes up.
        """
        while True:
            self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            if self._has_paused():
                self._replace_socket()
            self._checked_ms = self._clock.now_ms()

    def _receive_batch(self, socket):
        """Wait for a message, and handle all that have arrived."""
        if not self._has_paused():
            self._handle_message(socket.recv_multipart())
        with contextlib.suppress(zmq.Again):
            for _ in range(_RECEIVE_BATCH):
                # The pause may have begun while messages were handled.
                if self._has_paused():
                    self._replace_socket()
                    return
                self._handle_message(socket.recv_multipart(zmq.NOBLOCK))

    def _has_paused(self):
        """Return whether a pause may have ended since the last note."""
        return self._clock.now_ms() - self._checked_ms > self._max_gap_ms

    def _replace_socket(self):
        now_ms = self._clock.now_ms()
        pause_ms, self._checked_ms = now_ms - self._checked_ms, now_ms
        self._close_socket(self._socket)
        self._metrics.count('peer_receiver_replaced')
        _LOG.notice('event=peer_receiver_replaced pause_ms={:.0f}', pause_ms)
        while True:
            try:
                self._socket = self._open_socket()
                return
            except zmq.ZMQError as error:
                if error.errno != zmq.EADDRINUSE:
                    raise
            self._clock.sleep_ms(_BIND_INTERVAL_MS)
