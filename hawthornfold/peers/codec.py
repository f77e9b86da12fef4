"""Encoding of peer messages: each frame is one msgpack array."""

import re
import typing

import msgspec

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1_200_000
_MAX_NAME_LENGTH = 255


class Sender(typing.NamedTuple):
    """The node that sent a message.

    Parameters
    ----------
    name : str
        Name of the node in the platform's VM list.
    incarnation : int
        Milliseconds since the epoch at which its process started.
    address : str
        ``ip:port`` of its peer link, to which replies are sent.
    """

    name: str
    incarnation: int
    address: str


class Envelope(typing.NamedTuple):
    """The fields around every message body."""

    cluster: str
    version: int
    name: str
    incarnation: int
    address: str
    message_type: str
    body: msgspec.Raw


class FrameError(Exception):
    """Invalid frame; the argument is the reason, a label of the counter."""


def derive_message_type(body_type):
    """Return the message type on the wire of a body class.

    Examples
    --------
    >>> class PingReq(typing.NamedTuple):
    ...     sequence: int
    >>> derive_message_type(PingReq)
    'ping-req'
    """
    return re.sub(r'(?<!^)(?=[A-Z])', '-', body_type.__name__).lower()


class FrameEncoder:
    """Encodes the messages of one sender.

    The constant part of the envelope is encoded only once.
    """

    def __init__(self, cluster, sender):
        encoder = msgspec.msgpack.Encoder()
        self._encode = encoder.encode
        fields = (cluster, PROTOCOL_VERSION, *sender)
        # 0x97 starts an array of seven elements: these five fields, the
        # message type and the body.
        self._envelope_prefix = b'\x97' + b''.join(map(encoder.encode, fields))
        self._prefixes_by_type = {}

    def encode(self, body):
        """Return the encoded frame of `body`, as bytes.

        Raises
        ------
        FrameError
            The argument is ``size`` if the frame would exceed
            `MAX_FRAME_BYTES`, ``body`` if the body cannot be encoded, for
            example because a number is too large.
        """
        prefix = self._prefixes_by_type.get(type(body))
        if prefix is None:
            name = self._encode(derive_message_type(type(body)))
            prefix = self._prefixes_by_type[type(body)] = (
                self._envelope_prefix + name
            )
        try:
            frame = prefix + self._encode(_trim_defaults(body))
        except (OverflowError, TypeError, ValueError, RecursionError):
            raise FrameError('body')
        if len(frame) > MAX_FRAME_BYTES:
            raise FrameError('size')
        return frame


def _trim_defaults(body):
    """Leave out the last fields of a body that have their default values.

    Nodes of an older release refuse a body with more fields than they know. A
    field that was added later is sent only when it says something.
    """
    defaults = body._field_defaults
    fields = body._fields
    length = len(fields)
    while length and (
        fields[length - 1] in defaults
        and body[length - 1] == defaults[fields[length - 1]]
    ):
        length -= 1
    return body if length == len(fields) else tuple(body[:length])


class FrameDecoder:
    """Decodes frames of one cluster into registered body types."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._body_decoders = {}

    def register(self, body_type):
        """Accept messages whose body is the NamedTuple `body_type`."""
        name = derive_message_type(body_type)
        self._body_decoders[name] = msgspec.msgpack.Decoder(body_type)

    def decode(self, frame):
        """Return the `Sender` and the typed body of `frame`.

        Raises
        ------
        FrameError
            The frame is invalid; the argument is one of ``size``,
            ``malformed``, ``cluster``, ``version``, ``type``, ``body``.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise FrameError('size')
        try:
            envelope = self._envelope_decoder.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise FrameError('malformed')
        if envelope.cluster != self._cluster:
            raise FrameError('cluster')
        if envelope.version != PROTOCOL_VERSION:
            raise FrameError('version')
        decoder = self._body_decoders.get(envelope.message_type)
        if decoder is None:
            raise FrameError('type')
        if (
            not 0 < len(envelope.name) <= _MAX_NAME_LENGTH
            or not 0 < len(envelope.address) <= _MAX_NAME_LENGTH
            or envelope.incarnation < 0
        ):
            raise FrameError('malformed')
        try:
            body = decoder.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise FrameError('body')
        sender = Sender(envelope.name, envelope.incarnation, envelope.address)
        return sender, body
