"""CURVE keys of the peer links and authentication of connecting peers."""

import typing

from eventlet.green import zmq
from zmq.utils import z85

ZAP_DOMAIN = b'hawthornfold-peers'
ZAP_ENDPOINT = 'inproc://zeromq.zap.01'
_ZAP_VERSION = b'1.0'


class KeyPair(typing.NamedTuple):
    """A CURVE key pair in Z85, 40 characters each."""

    public: str
    secret: str


def create_key_pair():
    """Create a key pair for the ``peers.keys`` setting.

    Examples
    --------
    >>> pair = create_key_pair()
    >>> len(pair.public), len(pair.secret)
    (40, 40)
    """
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


def run_authenticator(socket, public_keys, on_refusal):
    """Answer authentication requests of libzmq in an endless loop.

    Only peers that hold one of `public_keys` are accepted. libzmq sends one
    request per handshake (ZeroMQ RFC 27) and waits for the reply without
    blocking, so this loop can run as a green thread.

    Parameters
    ----------
    socket : zmq.Socket
        A REP socket bound to `ZAP_ENDPOINT`.
    public_keys : iterable of str
        Accepted public keys, in Z85.
    on_refusal : callable
        Called without arguments for each refused handshake.
    """
    accepted = {z85.decode(key.encode()) for key in public_keys}
    while True:
        request = socket.recv_multipart()
        request_id = request[1] if len(request) > 1 else b''
        is_accepted = (
            len(request) == 7
            and request[2] == ZAP_DOMAIN
            and request[5] == b'CURVE'
            and request[6] in accepted
        )
        if not is_accepted:
            on_refusal()
        status = [b'200', b'OK'] if is_accepted else [b'400', b'refused']
        socket.send_multipart(
            [_ZAP_VERSION, request_id, *status, b'peer', b'']
        )
