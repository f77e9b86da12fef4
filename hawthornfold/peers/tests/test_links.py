import contextlib
import unittest
from unittest import mock

import eventlet
from eventlet.green import zmq
import greenlet
import msgspec

from hawthornfold.peers import codec
from hawthornfold.peers import create_key_pair
from hawthornfold.peers import links
from hawthornfold.peers import messages
from hawthornfold.peers.measure import Relay
from hawthornfold.peers.tests import fakes
from hawthornfold.peers.tests.fakes import open_endpoint

LIMIT_S = 20
# A restarted node waits 1 s for replies before it serves.
REPLY_LIMIT_S = 0.5
START_LIMIT_S = 1.0


class LinksTest(unittest.TestCase):
    def test_messages_travel_both_ways(self):
        # Guards against replies that depend on the connection of the request.
        with open_endpoint('a', incarnation=7) as a, open_endpoint('b') as b:
            self.assertTrue(a.send(b, 'question'))
            sender, body = b.wait_for_message()
            self.assertEqual(sender, ('a', 7, a.address))
            self.assertEqual(body, fakes.Note('question'))
            b.links.send(sender.name, sender.address, fakes.Note('answer'))
            self.assertEqual(a.wait_for_message()[1].text, 'answer')

    def test_message_size_limit(self):
        # Guards against a limit below 1.2 MB and against sending frames above
        # it, at which the receiver would close the connection.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            self.assertTrue(a.send(b, 'x' * 1_199_900))
            self.assertEqual(len(b.wait_for_message()[1].text), 1_199_900)
            self.assertFalse(a.send(b, 'x' * 1_200_000))
            self.assertEqual(a.metrics.counts['peer_dropped', 'size'], 1)

    def test_full_queue_drops_without_blocking(self):
        # Guards against a peer that does not read and so blocks the sender.
        with open_endpoint('a') as a:
            address = f'127.0.0.1:{fakes.find_free_port()}'
            sent = [
                a.links.send('gone', address, fakes.Note('x'))
                for _ in range(2000)
            ]
            self.assertTrue(sent[0])
            self.assertFalse(sent[-1])

    def test_restarted_peer_replaces_its_old_process(self):
        # Guards against a link that keeps using a dead process's connection,
        # and against accepting late messages of a replaced incarnation.
        port = fakes.find_free_port()
        with open_endpoint('a') as a, open_endpoint('old') as old:
            for incarnation in (5, 6):
                with open_endpoint('b', (), port, incarnation) as b:
                    a.send(b, 'hello')
                    b.wait_for_message()
                    b.send(a, 'reply')
                    self.assertEqual(
                        a.wait_for_message()[0].incarnation, incarnation
                    )
            sender = codec.Sender('b', 5, old.address)
            frame = codec.FrameEncoder('lipovec', sender).encode(
                fakes.Note('late')
            )
            with self.open_raw_socket(old, a) as socket:
                socket.send(frame)
                self.wait_for_count(a, ('peer_invalid', 'incarnation'))
            self.assertTrue(a.received.empty())

    def test_reply_to_a_restarted_peer_does_not_wait_for_a_retry(self):
        # Guards against replies that wait in the link to the former process,
        # which was opened again in vain and ever more rarely.
        self.enterContext(
            mock.patch.object(links, '_MAX_RECONNECT_INTERVAL_MS', 2_000)
        )
        port = fakes.find_free_port()
        with open_endpoint('a') as a:
            with open_endpoint('b', (), port, 5) as b:
                a.send(b, 'hello')
                b.wait_for_message()
                b.send(a, 'reply')
                a.wait_for_message()
            # By then the next attempt is at least 1 s away.
            eventlet.sleep(2.0)
            with open_endpoint('b', (), port, 6) as b:
                b.send(a, 'question')
                a.wait_for_message()
                a.send(b, 'answer')
                with eventlet.Timeout(REPLY_LIMIT_S):
                    self.assertEqual(b.wait_for_message()[1].text, 'answer')

    def test_message_to_a_starting_peer_does_not_wait_for_a_retry(self):
        # Guards against attempts to connect that become so rare while a peer
        # is away that its questions are answered too late after its start.
        port = fakes.find_free_port()
        with open_endpoint('a') as a:
            a.links.send('b', f'127.0.0.1:{port}', fakes.Note('hello'))
            # Intervals that double without a limit are over 1 s by then.
            eventlet.sleep(2.0)
            with open_endpoint('b', (), port) as b:
                with eventlet.Timeout(START_LIMIT_S):
                    self.assertEqual(b.wait_for_message()[1].text, 'hello')

    def test_invalid_frames_are_counted(self):
        # Guards against invalid frames from the network that stop the
        # receive loop.
        good = codec.FrameEncoder('lipovec', codec.Sender('x', 1, 'y:1'))
        envelope = ['lipovec', 1, 'x', 1, 'y:1', 'note', ['text']]

        def encode_changed(index, value):
            fields = list(envelope)
            fields[index] = value
            return msgspec.msgpack.encode(fields)

        frames = {
            'malformed': [
                b'',
                b'\xc1',
                encode_changed(2, ''),
                encode_changed(3, -1),
            ],
            'cluster': [encode_changed(0, 'monterrey')],
            'version': [encode_changed(1, 2)],
            'type': [encode_changed(5, 'nothing')],
            'body': [
                encode_changed(6, [5]),
                encode_changed(6, ['a', 'b', b'\xff'][2:]),
            ],
        }
        with open_endpoint('a') as a, open_endpoint('b') as b:
            with self.open_raw_socket(b, a) as socket:
                for reason, values in frames.items():
                    for frame in values:
                        socket.send(frame)
                    label = ('peer_invalid', reason)
                    self.wait_for_count(a, label, len(values))
                socket.send_multipart([b'two', b'frames'])
                socket.send(good.encode(fakes.Note('fine')))
                self.assertEqual(a.wait_for_message()[1].text, 'fine')

    def test_faulty_handler_does_not_stop_other_messages(self):
        # Guards against one faulty handler that stops all receiving.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            b.links.register(messages.Leave, lambda sender, body: 1 // 0)
            a.links.send(b.name, b.address, messages.Leave(1))
            a.send(b, 'still here')
            self.assertEqual(b.wait_for_message()[1].text, 'still here')
            self.assertEqual(b.metrics.counts['peer_handler_errors',], 1)

    def test_silent_connection_is_replaced(self):
        # Guards against a TCP connection that stalls forever although new
        # connections would work.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            relay = Relay(b.address)
            self.addCleanup(relay.close)
            a.links.send('b', relay.address, fakes.Note('first'))
            b.wait_for_message()
            relay.stall()
            with eventlet.Timeout(LIMIT_S):
                while relay.connections < 2:
                    eventlet.sleep(0.01)
            a.links.send('b', relay.address, fakes.Note('second'))
            self.assertEqual(b.wait_for_message()[1].text, 'second')

    def open_raw_socket(self, owner, target):
        # Created through the links so that they close it; their context
        # would otherwise wait for it when it terminates.
        socket = owner.links._create_socket(zmq.DEALER)
        socket.connect(f'tcp://{target.address}')
        return socket

    def wait_for_count(self, endpoint, label, count=1):
        with eventlet.Timeout(LIMIT_S):
            while endpoint.metrics.counts[label] < count:
                eventlet.sleep(0.01)

    def test_link_whose_opening_was_interrupted_is_opened_again(self):
        # Guards against a node that cannot reach another one any more, or does
        # not end, after an error while it opened a link.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            with mock.patch.object(
                a.links, '_create_socket', side_effect=greenlet.GreenletExit
            ):
                with self.assertRaises(greenlet.GreenletExit):
                    a.send(b, 'question')
            # The next message opens the link anew.
            self.assertTrue(a.send(b, 'question'))
            self.assertEqual(b.wait_for_message()[1].text, 'question')

    def test_idle_link_that_is_needed_again_stays_open(self):
        # Guards against a part of a query that waits until a link is open. In
        # a fleet of many nodes idle links are closed after a second.
        with contextlib.ExitStack() as stack:
            a = stack.enter_context(open_endpoint('a'))
            b = stack.enter_context(open_endpoint('b'))
            note = fakes.Note('x')
            a.links.send('kept', b.address, note, keeps_open=True)
            for number in range(20):
                a.links.send(f'n{number}', b.address, note)
            with eventlet.Timeout(LIMIT_S):
                while len(a.links._links) > 1:
                    eventlet.sleep(0.05)
            self.assertEqual(list(a.links._links), ['kept'])


class KeysTest(unittest.TestCase):
    def exchange_messages(self, keys_a, keys_b):
        with open_endpoint('a', keys_a) as a, open_endpoint('b', keys_b) as b:
            a.send(b, 'question')
            self.assertEqual(b.wait_for_message()[1].text, 'question')
            b.send(a, 'answer')
            self.assertEqual(a.wait_for_message()[1].text, 'answer')

    def test_nodes_communicate_in_every_step_of_a_key_rollover(self):
        # Guards against nodes that cannot communicate during a key rollover.
        old, new = create_key_pair(), create_key_pair()
        steps = [(old,), (old, new), (new, old), (new,)]
        for before, after in zip(steps, steps[1:], strict=False):
            with self.subTest(step=steps.index(after)):
                self.exchange_messages(before, after)
                self.exchange_messages(after, after)

    def test_unknown_key_is_refused(self):
        # Guards against links to or from peers that hold another key.
        ours, theirs = create_key_pair(), create_key_pair()
        with (
            open_endpoint('a', (ours,)) as a,
            open_endpoint('b', (theirs,)) as b,
        ):
            b.send(a, 'intrusion')
            # The server key is correct, but the client key is unknown.
            socket = b.links._create_socket(zmq.DEALER)
            socket.curve_serverkey = ours.public.encode()
            socket.curve_publickey = theirs.public.encode()
            socket.curve_secretkey = theirs.secret.encode()
            socket.connect(f'tcp://{a.address}')
            frame = codec.FrameEncoder('lipovec', codec.Sender('b', 1, 'c:1'))
            socket.send(frame.encode(fakes.Note('intrusion')))
            with eventlet.Timeout(LIMIT_S):
                while not a.metrics.counts['peer_refused',]:
                    eventlet.sleep(0.01)
            self.assertTrue(a.received.empty())

    def test_encryption_without_keys_is_an_error(self):
        # Guards against running without encryption because no keys are set.
        settings = fakes.Settings(
            'c', fakes.NodeSettings('a'), fakes.PeerSettings(1, True)
        )
        with self.assertRaises(ValueError):
            with fakes.open_peer_links(settings, 1, None, None):
                pass
