"""Peers that flood a node, or send bytes that are no messages."""

import contextlib
import os
import socket
import time
import unittest

import eventlet
from eventlet.green import zmq
import logbook

from hawthornfold.peers import codec
from hawthornfold.peers.messages import Leave
from hawthornfold.peers.tests.fakes import GREETING
from hawthornfold.peers.tests.fakes import READY
from hawthornfold.peers.tests.fakes import Note
from hawthornfold.peers.tests.fakes import open_endpoint

PART_BYTES = 100_000
FLOOD_BYTES = 60_000_000
# More than the 1.5 s that a handshake may take.
HANDSHAKE_LIMIT_S = 4.0


def read_resident_bytes():
    with open('/proc/self/statm') as file:
        return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


class FloodsTest(unittest.TestCase):
    def connect(self, endpoint, data=b''):
        host, port = endpoint.address.split(':')
        connection = socket.create_connection((host, int(port)), 20.0)
        self.addCleanup(connection.close)
        connection.sendall(data)
        return connection

    @contextlib.contextmanager
    def open_dealer(self, endpoint):
        with zmq.Context() as context, context.socket(zmq.DEALER) as dealer:
            dealer.linger = 0
            dealer.sndhwm = 8
            dealer.connect(f'tcp://{endpoint.address}')
            yield dealer

    def wait_for_end(self, connection, limit_s):
        """Return whether the node closes a connection in time."""
        connection.setblocking(False)
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                if not connection.recv(65_536):
                    return True
            except BlockingIOError:
                eventlet.sleep(0.01)
            except OSError:
                return True
        return False

    def check_works(self, a, b):
        self.assertTrue(b.send(a, 'sound'))
        self.assertEqual(a.wait_for_message()[1], Note('sound'))

    def test_connections_without_messages_are_closed(self):
        # Guards against connections of strangers that stay open, whether they
        # send nothing, rubbish, or a byte at a time.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            rubbish = self.connect(a, b'GET / HTTP/1.1\r\n\r\n' * 100)
            silent = self.connect(a)
            for connection in (rubbish, silent):
                self.assertTrue(
                    self.wait_for_end(connection, HANDSHAKE_LIMIT_S)
                )
            slow = self.connect(a)
            end = time.monotonic() + HANDSHAKE_LIMIT_S
            with self.assertRaises(OSError):
                while time.monotonic() < end:
                    for number in range(64):
                        slow.send(GREETING[number : number + 1])
                        eventlet.sleep(0.2)
            self.check_works(a, b)

    def test_message_above_the_limit_closes_the_connection(self):
        # Guards against a message that the node reads into memory before it
        # is refused.
        for size in (codec.MAX_FRAME_BYTES + 1, 1 << 40, (1 << 63) - 1):
            with open_endpoint('a') as a, open_endpoint('b') as b:
                connection = self.connect(a, GREETING + READY)
                # The end of the handshake itself must not close it.
                self.assertFalse(self.wait_for_end(connection, 0.1))
                connection.sendall(b'\x02' + size.to_bytes(8, 'big'))
                self.assertTrue(
                    self.wait_for_end(connection, HANDSHAKE_LIMIT_S), size
                )
                self.check_works(a, b)

    def test_flood_of_invalid_messages_delays_no_other_peer_for_long(self):
        # Guards against one peer that occupies the receiving thread, and
        # against a log line for each invalid message.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            with self.open_dealer(a) as dealer:
                flood = eventlet.spawn(self.send_endlessly, dealer)
                while a.metrics.counts['peer_invalid', 'malformed'] < 1_000:
                    eventlet.sleep(0.01)
                self.check_works(a, b)
                flood.kill()

    def test_failing_handler_is_logged_once_per_second(self):
        # Guards against a traceback in the log for each message of a flood.
        def fail(sender, body):
            raise ValueError('a fault')

        log = self.enterContext(logbook.TestHandler().applicationbound())
        with open_endpoint('a') as a, open_endpoint('b') as b:
            a.links.register(Leave, fail)
            for _ in range(200):
                b.links.send(a.name, a.address, Leave(1))
            with eventlet.Timeout(20.0):
                while a.metrics.counts['peer_handler_errors',] < 200:
                    eventlet.sleep(0.01)
        self.assertLess(len(log.records), 20)

    def send_endlessly(self, dealer):
        while True:
            try:
                dealer.send(b'\x00' * 50, zmq.NOBLOCK)
            except zmq.Again:
                eventlet.sleep(0.001)

    def flood(self, dealer, flags, may_run):
        """Send up to `FLOOD_BYTES`; return how much more memory is used."""
        part = bytes(PART_BYTES)
        before = read_resident_bytes()
        sent, end = 0, time.monotonic() + 2.0
        while sent < FLOOD_BYTES and time.monotonic() < end:
            try:
                dealer.send(part, zmq.NOBLOCK | flags)
                sent += PART_BYTES
            except zmq.Again:
                time.sleep(0.005)
            if may_run:
                eventlet.sleep(0)
        time.sleep(0.3)
        return read_resident_bytes() - before

    def test_messages_that_wait_take_bounded_memory(self):
        # Guards against a peer that fills the memory of a node which is busy:
        # 1,024 messages of up to 1.2 MB were queued.
        with open_endpoint('a') as a, self.open_dealer(a) as dealer:
            eventlet.sleep(0.3)
            grown = self.flood(dealer, 0, may_run=False)
            self.assertLess(grown, FLOOD_BYTES / 3)

    def test_message_of_endless_parts_takes_bounded_memory(self):
        # Guards against a message that never ends: libzmq bounds the size of
        # each part, and the number of messages, but not that of parts.
        with open_endpoint('a') as a, self.open_dealer(a) as dealer:
            eventlet.sleep(0.3)
            grown = self.flood(dealer, zmq.SNDMORE, may_run=True)
            self.assertLess(grown, FLOOD_BYTES / 3)
