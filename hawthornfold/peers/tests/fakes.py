"""Settings, metrics and a stalling TCP relay for tests of the links."""

import collections
import contextlib
import typing

import eventlet

from hawthornfold.clock import create_system_clock
from hawthornfold.peers import open_peer_links


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

    def wait(self):
        """Return the next (sender, body); the limit only ends a failure."""
        return self.received.get(timeout=20)


def free_port():
    listener = eventlet.listen(('127.0.0.1', 0))
    port = listener.getsockname()[1]
    listener.close()
    return port


@contextlib.contextmanager
def open_endpoint(name, keys=(), port=None, incarnation=1):
    peers = PeerSettings(port or free_port(), bool(keys), tuple(keys))
    settings = Settings('lipovec', NodeSettings(name), peers)
    metrics = Metrics()
    clock = create_system_clock()
    with open_peer_links(settings, incarnation, clock, metrics) as links:
        yield Endpoint(links, settings, metrics)


class StallingRelay:
    """A TCP relay whose present connections can stop carrying bytes."""

    def __init__(self, target_port):
        self._target = ('127.0.0.1', target_port)
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.connections = 0
        self.bytes = 0
        self._stalled_before = 0
        self._threads = [eventlet.spawn(self._accept)]

    def stall(self):
        self._stalled_before = self.connections

    def close(self):
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            far = eventlet.connect(self._target)
            self.connections += 1
            number = self.connections
            for pair in ((near, far), (far, near)):
                self._threads.append(eventlet.spawn(self._copy, number, *pair))

    def _copy(self, number, source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if number > self._stalled_before:
                    self.bytes += len(data)
                    target.sendall(data)
