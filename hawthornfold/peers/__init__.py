"""Message links between nodes over ZeroMQ."""

from hawthornfold.peers.call_ids import create_call_ids
from hawthornfold.peers.codec import Sender
from hawthornfold.peers.codec import derive_message_type
from hawthornfold.peers.keys import KeyPair
from hawthornfold.peers.keys import create_key_pair
from hawthornfold.peers.links import PeerLinks
from hawthornfold.peers.links import open_peer_links

__all__ = [
    'KeyPair',
    'PeerLinks',
    'Sender',
    'create_call_ids',
    'create_key_pair',
    'derive_message_type',
    'open_peer_links',
]
