"""Links and messages between nodes."""

from hawthornfold.peers.codec import Sender
from hawthornfold.peers.codec import message_type_of
from hawthornfold.peers.keys import KeyPair
from hawthornfold.peers.keys import create_key_pair
from hawthornfold.peers.links import PeerLinks
from hawthornfold.peers.links import open_peer_links

__all__ = [
    'KeyPair',
    'PeerLinks',
    'Sender',
    'create_key_pair',
    'message_type_of',
    'open_peer_links',
]
