import typing
import unittest

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from hawthornfold.peers import codec
from hawthornfold.peers import messages

SENDER = codec.Sender('entry-1', 17, '10.0.0.1:7000')
TEXT = st.text(max_size=20)
NUMBER = st.integers(0, 1 << 62)
UPDATES = st.lists(
    st.builds(messages.Update, TEXT, TEXT, TEXT, NUMBER, NUMBER, NUMBER),
    max_size=4,
).map(tuple)
BODIES = st.one_of(
    st.builds(messages.Ping, NUMBER, TEXT, NUMBER, UPDATES),
    st.builds(messages.PingReq, NUMBER, TEXT, TEXT, TEXT, NUMBER, UPDATES),
    st.builds(messages.Ack, NUMBER, TEXT, NUMBER, TEXT, NUMBER, UPDATES),
    st.builds(messages.Join, TEXT, NUMBER),
    st.builds(messages.Leave, NUMBER),
    st.builds(messages.Sync, TEXT, NUMBER, st.binary(max_size=50)),
    st.builds(
        messages.SyncRecords,
        st.lists(NUMBER, max_size=4).map(tuple),
        UPDATES,
        st.booleans(),
        st.booleans(),
    ),
)


class OldNote(typing.NamedTuple):
    text: str
    number: int = 0


class NewNote(typing.NamedTuple):
    text: str
    number: int = 0
    added: int = 0


class UpgradeTest(unittest.TestCase):
    """Nodes of two releases, of which the newer has added a field."""

    def send(self, body, sent_type, received_type):
        decoder = codec.FrameDecoder('lipovec')
        decoder._body_decoders['note'] = msgspec.msgpack.Decoder(received_type)
        encoder = codec.FrameEncoder('lipovec', SENDER)
        encoder._prefixes_by_type[sent_type] = (
            encoder._envelope_prefix + msgspec.msgpack.encode('note')
        )
        return decoder.decode(encoder.encode(body))[1]

    def test_added_field_is_sent_only_when_it_is_set(self):
        # Guards against a fleet in which old nodes refuse all messages of new
        # ones during a rolling upgrade.
        for number in (0, 5):
            received = self.send(NewNote('a', number), NewNote, OldNote)
            self.assertEqual(received, OldNote('a', number))
        with self.assertRaises(codec.FrameError):
            self.send(NewNote('a', 0, 1), NewNote, OldNote)

    def test_missing_field_has_its_default(self):
        received = self.send(OldNote('a', 5), OldNote, NewNote)
        self.assertEqual(received, NewNote('a', 5, 0))


class CodecTest(unittest.TestCase):
    def setUp(self):
        self.encoder = codec.FrameEncoder('lipovec', SENDER)
        self.decoder = codec.FrameDecoder('lipovec')
        for body_type in messages.MEMBERSHIP_BODIES:
            self.decoder.register(body_type)

    @given(BODIES)
    def test_bodies_survive_a_round_trip(self, body):
        # Guards against body types whose fields change when they are encoded
        # and decoded.
        frame = self.encoder.encode(body)
        self.assertEqual(self.decoder.decode(frame), (SENDER, body))

    @given(BODIES, st.data())
    def test_corrupted_frames_raise_only_frame_errors(self, body, data):
        # Guards against exceptions other than FrameError, which would stop
        # the receive loop.
        frame = bytearray(self.encoder.encode(body))
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(frame) - 1))
            frame[index] = data.draw(st.integers(0, 255))
        cut = data.draw(st.integers(0, len(frame)))
        for candidate in (bytes(frame), bytes(frame[:cut])):
            try:
                sender, decoded = self.decoder.decode(candidate)
            except codec.FrameError:
                continue
            self.assertIsInstance(sender.incarnation, int)
            self.assertIsInstance(decoded, tuple)

    @given(st.binary(max_size=200))
    def test_random_bytes_are_rejected(self, frame):
        # Guards against accepting arbitrary bytes as a message.
        with self.assertRaises(codec.FrameError):
            self.decoder.decode(frame)

    def test_deep_nesting_is_rejected(self):
        # Guards against a RecursionError caused by a deeply nested body.
        prefix = self.encoder.encode(messages.Leave(1))[:-2]
        for depth in (100, 100_000):
            with self.assertRaises(codec.FrameError):
                self.decoder.decode(prefix + b'\x91' * depth + b'\x01')
