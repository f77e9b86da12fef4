"""Settings, metrics and endpoints for tests that use peer links."""

import collections
import contextlib
import typing

import eventlet

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator.processes import pick_ports
from hawthornfold.peers import open_peer_links

# Greeting of ZMTP 3.0 without security, and the command that ends the
# handshake of a DEALER.
GREETING = (
    b'\xff' + bytes(8) + b'\x7f\x03\x00' + b'NULL'.ljust(20, b'\0') + bytes(32)
)
READY = b'\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER'


class NodeSettings(typing.NamedTuple):
    name: str
    data_centre: str = 'zilina-1'
    host: str = '127.0.0.1'


class PeerSettings(typing.NamedTuple):
    port: int
    encryption: bool = False
    keys: tuple = ()


class Settings(typing.NamedTuple):
    cluster: str
    node: NodeSettings
    peers: PeerSettings


class Metrics:
    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, **labels):
        self.counts[(name, *labels.values())] += amount

    def observe_ms(self, name, value, **labels):
        pass

    def set_gauge(self, name, value, **labels):
        pass


class Note(typing.NamedTuple):
    text: str


class Endpoint:
    def __init__(self, links, settings, metrics):
        self.links = links
        self.name = settings.node.name
        self.address = f'{settings.node.host}:{settings.peers.port}'
        self.metrics = metrics
        self.received = eventlet.Queue()
        links.register(Note, lambda *message: self.received.put(message))

    def send(self, other, text):
        return self.links.send(other.name, other.address, Note(text))

    def wait_for_message(self):
        """Return the next (sender, body); fail after 20 s."""
        return self.received.get(timeout=20)


def find_free_port():
    return pick_ports(1)[0]


@contextlib.contextmanager
def open_endpoint(name, keys=(), port=None, incarnation=1):
    peers = PeerSettings(port or find_free_port(), bool(keys), tuple(keys))
    settings = Settings('lipovec', NodeSettings(name), peers)
    metrics = Metrics()
    clock = create_system_clock()
    with open_peer_links(settings, incarnation, clock, metrics) as links:
        yield Endpoint(links, settings, metrics)
