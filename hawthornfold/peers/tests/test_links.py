import unittest

import eventlet
from eventlet.green import zmq
import msgspec

from hawthornfold.peers import codec
from hawthornfold.peers import create_key_pair
from hawthornfold.peers import messages
from hawthornfold.peers.measure import Relay
from hawthornfold.peers.tests import fakes
from hawthornfold.peers.tests.fakes import open_endpoint

LIMIT_S = 20


class LinksTest(unittest.TestCase):
    def test_messages_travel_both_ways(self):
        # Guards against replies that need the connection of the request.
        with open_endpoint('a', incarnation=7) as a, open_endpoint('b') as b:
            self.assertTrue(a.send(b, 'question'))
            sender, body = b.wait()
            self.assertEqual(sender, ('a', 7, a.address))
            self.assertEqual(body, fakes.Note('question'))
            b.links.send(sender.name, sender.address, fakes.Note('answer'))
            self.assertEqual(a.wait()[1].text, 'answer')

    def test_message_sizes(self):
        # Guards against a limit below 1.2 MB and against frames above it,
        # which would make the receiver drop the connection.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            self.assertTrue(a.send(b, 'x' * 1_199_900))
            self.assertEqual(len(b.wait()[1].text), 1_199_900)
            self.assertFalse(a.send(b, 'x' * 1_200_000))
            self.assertEqual(a.metrics.counts['peer_dropped', 'size'], 1)

    def test_full_queue_drops_without_blocking(self):
        # Guards against a caller blocked by a peer that does not read.
        with open_endpoint('a') as a:
            address = f'127.0.0.1:{fakes.free_port()}'
            sent = [
                a.links.send('gone', address, fakes.Note('x'))
                for _ in range(2000)
            ]
            self.assertTrue(sent[0])
            self.assertFalse(sent[-1])

    def test_restarted_peer_and_its_old_process(self):
        # Guards against a link that stays bound to a dead process, and
        # against late messages of an incarnation already replaced.
        port = fakes.free_port()
        with open_endpoint('a') as a, open_endpoint('old') as old:
            for incarnation in (5, 6):
                with open_endpoint('b', (), port, incarnation) as b:
                    a.send(b, 'hello')
                    b.wait()
                    b.send(a, 'reply')
                    self.assertEqual(a.wait()[0].incarnation, incarnation)
            sender = codec.Sender('b', 5, old.address)
            frame = codec.FrameEncoder('lipovec', sender).encode(
                fakes.Note('late')
            )
            with self.raw_socket(old, a) as socket:
                socket.send(frame)
                self.wait_for_count(a, ('peer_invalid', 'incarnation'))
            self.assertTrue(a.received.empty())

    def test_invalid_frames_are_counted(self):
        # Guards against bytes from the network that stop the receiver.
        good = codec.FrameEncoder('lipovec', codec.Sender('x', 1, 'y:1'))
        envelope = ['lipovec', 1, 'x', 1, 'y:1', 'note', ['text']]

        def changed(index, value):
            fields = list(envelope)
            fields[index] = value
            return msgspec.msgpack.encode(fields)

        frames = {
            'malformed': [b'', b'\xc1', changed(2, ''), changed(3, -1)],
            'cluster': [changed(0, 'monterrey')],
            'version': [changed(1, 2)],
            'type': [changed(5, 'nothing')],
            'body': [changed(6, [5]), changed(6, ['a', 'b', b'\xff'][2:])],
        }
        with open_endpoint('a') as a, open_endpoint('b') as b:
            with self.raw_socket(b, a) as socket:
                for reason, values in frames.items():
                    for frame in values:
                        socket.send(frame)
                    label = ('peer_invalid', reason)
                    self.wait_for_count(a, label, len(values))
                socket.send_multipart([b'two', b'frames'])
                socket.send(good.encode(fakes.Note('fine')))
                self.assertEqual(a.wait()[1].text, 'fine')

    def test_faulty_handler_stops_no_other_message(self):
        # Guards against one module's fault that silences the node.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            b.links.register(messages.Leave, lambda sender, body: 1 // 0)
            a.links.send(b.name, b.address, messages.Leave(1))
            a.send(b, 'still here')
            self.assertEqual(b.wait()[1].text, 'still here')
            self.assertEqual(b.metrics.counts['peer_handler_errors',], 1)

    def test_silent_connection_is_replaced(self):
        # Guards against a TCP connection that hangs for good while new
        # connections work.
        with open_endpoint('a') as a, open_endpoint('b') as b:
            relay = Relay(b.address)
            self.addCleanup(relay.close)
            a.links.send('b', relay.address, fakes.Note('first'))
            b.wait()
            relay.stall()
            with eventlet.Timeout(LIMIT_S):
                while relay.connections < 2:
                    eventlet.sleep(0.01)
            a.links.send('b', relay.address, fakes.Note('second'))
            self.assertEqual(b.wait()[1].text, 'second')

    def raw_socket(self, owner, target):
        # Closed with the links, which would wait for it otherwise.
        socket = owner.links._create_socket(zmq.DEALER)
        socket.connect(f'tcp://{target.address}')
        return socket

    def wait_for_count(self, endpoint, label, count=1):
        with eventlet.Timeout(LIMIT_S):
            while endpoint.metrics.counts[label] < count:
                eventlet.sleep(0.01)


class KeysTest(unittest.TestCase):
    def exchange(self, keys_a, keys_b):
        with open_endpoint('a', keys_a) as a, open_endpoint('b', keys_b) as b:
            a.send(b, 'question')
            self.assertEqual(b.wait()[1].text, 'question')
            b.send(a, 'answer')
            self.assertEqual(a.wait()[1].text, 'answer')

    def test_every_step_of_a_rollover_keeps_the_links(self):
        # Guards against nodes that cannot talk while a key is replaced.
        old, new = create_key_pair(), create_key_pair()
        steps = [(old,), (old, new), (new, old), (new,)]
        for before, after in zip(steps, steps[1:], strict=False):
            with self.subTest(step=steps.index(after)):
                self.exchange(before, after)
                self.exchange(after, after)

    def test_unknown_key_is_refused(self):
        # Guards against links to or from holders of another key.
        ours, theirs = create_key_pair(), create_key_pair()
        with (
            open_endpoint('a', (ours,)) as a,
            open_endpoint('b', (theirs,)) as b,
        ):
            b.send(a, 'intrusion')
            # Right server key, but a client key that is not listed.
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
        # Guards against silently running unencrypted.
        settings = fakes.Settings(
            'c', fakes.NodeSettings('a'), fakes.PeerSettings(1, True)
        )
        with self.assertRaises(ValueError):
            with fakes.open_peer_links(settings, 1, None, None):
                pass
