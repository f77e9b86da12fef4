"""Measures the cost of peer messages and of new and idle links.

Run it as ``python -m hawthornfold.peers.measure``. It uses 127.0.0.1 only.
"""

import collections
import contextlib
import time
import typing

import eventlet

from hawthornfold.clock import create_system_clock
from hawthornfold.peers.keys import create_key_pair
from hawthornfold.peers.links import open_peer_links

_MESSAGES = 20_000
# Number of messages sent before waiting for their arrival, less than the
# length of the send queue.
_WINDOW = 200
_IDLE_S = 10.0
_BODY_BYTES = 500


class Note(typing.NamedTuple):
    """A message body with a single text field."""

    text: str


class _Section(typing.NamedTuple):
    name: str = ''
    data_centre: str = 'zilina-1'
    host: str = '127.0.0.1'
    port: int = 0
    encryption: bool = False
    keys: tuple = ()


class _Settings(typing.NamedTuple):
    cluster: str
    node: _Section
    peers: _Section


class _Metrics:
    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, **labels):
        self.counts[name] += amount

    def observe_ms(self, name, value, **labels):
        """Ignore an observation."""

    def set_gauge(self, name, value, **labels):
        """Ignore a gauge."""


class Relay:
    """A TCP relay that counts bytes and can stall its connections.

    Parameters
    ----------
    address : str
        ``ip:port`` to which connections are forwarded.
    """

    def __init__(self, address):
        host, port = address.split(':')
        self._target = (host, int(port))
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.connections = 0
        self.bytes_to_target = 0
        self.bytes_from_target = 0
        self._stalled_count = 0
        self._threads = [eventlet.spawn(self._accept)]

    def stall(self):
        """Stop forwarding on all current connections."""
        self._stalled_count = self.connections

    def close(self):
        """Stop accepting and forwarding."""
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            inbound, _ = self._listener.accept()
            outbound = eventlet.connect(self._target)
            self.connections += 1
            for is_to_target, source, target in (
                (True, inbound, outbound),
                (False, outbound, inbound),
            ):
                self._threads.append(
                    eventlet.spawn(
                        self._copy,
                        self.connections,
                        is_to_target,
                        source,
                        target,
                    )
                )

    def _copy(self, number, is_to_target, source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if number <= self._stalled_count:
                    continue
                if is_to_target:
                    self.bytes_to_target += len(data)
                else:
                    self.bytes_from_target += len(data)
                target.sendall(data)


def _find_free_port():
    listener = eventlet.listen(('127.0.0.1', 0))
    port = listener.getsockname()[1]
    listener.close()
    return port


@contextlib.contextmanager
def _open_pair(keys):
    with contextlib.ExitStack() as stack:
        endpoints = []
        for name in ('near', 'far'):
            peers = _Section(
                port=_find_free_port(), encryption=bool(keys), keys=keys
            )
            settings = _Settings('measure', _Section(name=name), peers)
            links = stack.enter_context(
                open_peer_links(settings, 1, create_system_clock(), _Metrics())
            )
            endpoints.append((links, f'127.0.0.1:{peers.port}'))
        yield endpoints


def measure_messages(keys=()):
    """Return processor and elapsed time per message, in microseconds.

    Both ends run in this process, so the processor time covers sending and
    receiving, including the threads of libzmq.
    """
    with _open_pair(keys) as ((near, _), (far, address)):
        state = {'received': 0}
        progress = eventlet.Queue()

        def receive(sender, body):
            state['received'] += 1
            if state['received'] % _WINDOW == 0:
                progress.put(state['received'])

        far.register(Note, receive)
        body = Note('x' * _BODY_BYTES)
        started = time.process_time(), time.perf_counter()
        for _ in range(_MESSAGES // _WINDOW):
            for _ in range(_WINDOW):
                near.send('far', address, body)
            progress.get()
        ended = time.process_time(), time.perf_counter()
    return tuple(
        (after - before) / _MESSAGES * 1e6
        for before, after in zip(started, ended, strict=True)
    )


def measure_link(keys=()):
    """Return the TCP payload of opening a link and of an idle link.

    Returns
    -------
    tuple of float
        Bytes sent and received by the connecting node while it opens a link
        and sends one small message, then bytes per second that it sends and
        receives while the link is idle.
    """
    with _open_pair(keys) as ((near, _), (far, address)):
        relay = Relay(address)
        arrived = eventlet.Queue()
        far.register(Note, lambda sender, body: arrived.put(body))
        near.send('far', relay.address, Note(''))
        arrived.get()
        opened = relay.bytes_to_target, relay.bytes_from_target
        eventlet.sleep(_IDLE_S)
        idle = (
            (relay.bytes_to_target - opened[0]) / _IDLE_S,
            (relay.bytes_from_target - opened[1]) / _IDLE_S,
        )
        near.close_link('far')
        relay.close()
    return (*opened, *idle)


def main():
    """Print the results for plain and encrypted links."""
    for label, keys in (('plain', ()), ('curve', (create_key_pair(),))):
        processor, elapsed = measure_messages(keys)
        opening_sent, opening_received, idle_sent, idle_received = (
            measure_link(keys)
        )
        print(
            f'{label}: {processor:.1f} us processor time and {elapsed:.1f} '
            f'us elapsed per message of {_BODY_BYTES} bytes, both ends; '
            f'new link {opening_sent} B sent, {opening_received} B received; '
            f'idle link {idle_sent:.0f} B/s sent, '
            f'{idle_received:.0f} B/s received'
        )


if __name__ == '__main__':
    main()
