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
from eventlet import hubs
import logbook
import zmq

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
        Returns a new socket that is bound, and that does not know green
        threads: theirs reads a message before a pause can be noticed. Raises
        `zmq.ZMQError` while the port is in use.
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
        self._noted_ms = clock.now_ms()
        # The longest pause since the socket was opened, or 0.
        self._pause_ms = 0.0
        self._socket = open_socket()

    def receive(self):
        """Receive messages; never returns, and runs in a green thread."""
        while True:
            self._replace_after_pause()
            # The question for events takes a message from the queue.
            if self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                self._receive_batch()
                eventlet.sleep(0)
            else:
                hubs.trampoline(self._socket.getsockopt(zmq.FD), read=True)

    def watch_pauses(self):
        """Note that the event loop runs; runs in a green thread."""
        while True:
            self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            self._note()

    def _receive_batch(self):
        """Handle the messages that have arrived before a pause."""
        with contextlib.suppress(zmq.Again):
            for _ in range(_RECEIVE_BATCH):
                self._note()
                if self._pause_ms:
                    return
                self._handle_message(self._socket.recv_multipart(zmq.NOBLOCK))

    def _replace_after_pause(self):
        self._note()
        if self._pause_ms:
            self._replace_socket()

    def _note(self):
        """Note that the event loop runs, and a pause that has ended."""
        now_ms = self._clock.now_ms()
        gap_ms, self._noted_ms = now_ms - self._noted_ms, now_ms
        if gap_ms > self._max_gap_ms:
            self._pause_ms = max(self._pause_ms, gap_ms)

    def _replace_socket(self):
        pause_ms, self._pause_ms = self._pause_ms, 0.0
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
