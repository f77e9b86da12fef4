"""Nodes that are paused while other nodes send to them."""

import os
import signal
import socket
import struct
import subprocess
import sys
import time
import types
import unittest

import eventlet

from hawthornfold.peers.tests import fakes
from hawthornfold.peers.tests.fakes import GREETING
from hawthornfold.peers.tests.fakes import READY
from hawthornfold.peers.tests.fakes import Note
from hawthornfold.peers.tests.fakes import open_endpoint

# A heartbeat with a time to live of 1.5 s, and a message.
HEARTBEAT = b'\x04\x07\x04PING\x00\x0f'
MESSAGE = b'\x00\x05hello'
# More messages than the receive queue holds, in fewer bytes than libzmq reads
# at a time.
MESSAGE_COUNT = 60
# libzmq goes on reading a connection after each 16 messages that were taken
# from it; one message is missing.
READ_BEFORE = 15
# So many that 16 places in the queue are enough for the rest.
FEW_MESSAGES = 21
# Longer than the silence after which other nodes close their connections.
PAUSE_S = 1.8
# Time for libzmq's thread to read what was sent to a blocked process.
READ_S = 0.2


class PausedProcessTest(unittest.TestCase):
    """A process ends by itself when it wakes up after a pause.

    libzmq ends it with "Assertion failed: !_io_error" if a connection is
    closed while its messages fill the receive queue with a heartbeat behind.
    """

    def start(self, pause_s=PAUSE_S):
        port = fakes.find_free_port()
        process = self.process = subprocess.Popen(
            [
                sys.executable,
                '-W',
                'ignore',
                '-m',
                'hawthornfold.peers.tests.echo_process',
                str(port),
                str(pause_s),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait, 20)
        self.addCleanup(process.kill)
        self.assertEqual(process.stdout.readline(), 'ready\n')
        self.echo = types.SimpleNamespace(
            name='echo', address=f'127.0.0.1:{port}'
        )

    def connect(self):
        """Return a connection of a node that has sent its handshake."""
        host, port = self.echo.address.split(':')
        connection = socket.create_connection((host, int(port)), 20.0)
        self.addCleanup(connection.close)
        connection.sendall(GREETING + READY)
        # The process has to read the handshake before it is paused.
        answer = b''
        while b'READY' not in answer:
            answer += connection.recv(4096)
        return connection

    def send_and_close(self, connection, is_reset, count=MESSAGE_COUNT):
        connection.sendall(MESSAGE * count + 2 * HEARTBEAT)
        time.sleep(READ_S)
        if is_reset:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        connection.close()
        time.sleep(READ_S)

    def check_echo(self, text):
        """Check that the process lives and returns a note."""
        with open_endpoint('sound') as sound:
            with eventlet.Timeout(20.0):
                while sound.received.empty():
                    if self.process.poll() is not None:
                        self.fail(self.process.stderr.read())
                    sound.send(self.echo, text)
                    eventlet.sleep(0.1)
            self.assertEqual(sound.wait_for_message()[1], Note(text))

    def test_process_lives_after_its_event_loop_was_blocked(self):
        for is_reset in (False, True):
            with self.subTest(is_reset=is_reset):
                self.start()
                connections = [self.connect() for _ in range(3)]
                self.process.send_signal(signal.SIGUSR1)
                self.assertEqual(self.process.stdout.readline(), 'blocked\n')
                for connection in connections:
                    self.send_and_close(connection, is_reset)
                self.check_echo('after the pause')

    def test_process_lives_if_it_had_read_half_a_queue_before(self):
        # Guards against a message that is taken before the pause is noticed:
        # libzmq takes one when it is asked whether there are any.
        self.start()
        connection = self.connect()
        for _ in range(READ_BEFORE):
            connection.sendall(MESSAGE)
        time.sleep(READ_S)
        self.process.send_signal(signal.SIGUSR1)
        self.assertEqual(self.process.stdout.readline(), 'blocked\n')
        self.send_and_close(connection, True, FEW_MESSAGES)
        self.check_echo('after the pause')

    def test_process_lives_after_it_was_stopped(self):
        self.start()
        for number in range(4):
            connections = [self.connect() for _ in range(3)]
            os.kill(self.process.pid, signal.SIGSTOP)
            for connection in connections:
                self.send_and_close(connection, number % 2)
            time.sleep(PAUSE_S)
            os.kill(self.process.pid, signal.SIGCONT)
            self.check_echo(f'after stop {number}')

    def test_process_lives_after_a_short_pause(self):
        # Another node may end while this one handles a burst of its messages.
        self.start(3 * READ_S)
        connection = self.connect()
        self.process.send_signal(signal.SIGUSR1)
        self.assertEqual(self.process.stdout.readline(), 'blocked\n')
        self.send_and_close(connection, True)
        self.check_echo('after the pause')
