"""Nodes of one process whose links to backend servers can be cut."""

import contextlib
import functools
import itertools
import os
import socket
import types

import eventlet
from eventlet.green.http import client
import result

from hawthornfold.directory import CallerLimits
from hawthornfold.directory import PublishedStore
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory import StoreChanges
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.node import GatewayNode
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.tests import support
from hawthornfold.rules import ForwardTarget
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

OBJECTIVE_MS = 400
DEADLINE_MS = 1_500
# How often a wait for new entries of the store returns without any.
WATCH_S = 0.2
_node_numbers = itertools.count()


class ServerLinks:
    """The links of one node to all servers.

    `mode` says what happens to them: ``open``; ``silent``, bytes are lost and
    new connections are not established; ``reset``, connections break and new
    ones are refused; ``refuse``, connections work and new ones are refused.
    """

    def __init__(self):
        self.mode = 'open'
        # Servers that remain reachable in the modes other than ``open``.
        self.spared = set()
        self._opened = eventlet.event.Event()
        self._forwarders = {}
        self._sockets = set()
        self._threads = []
        self._refusing = _find_closed_address()
        self._blackhole = contextlib.ExitStack()
        self._silent_address = _open_blackhole(self._blackhole)

    def get_address(self, address):
        """Return the address that a new connection to a server opens."""
        if self.mode == 'silent' and address not in self.spared:
            return self._silent_address
        if self.mode != 'open' and address not in self.spared:
            return self._refusing
        if address not in self._forwarders:
            listener = eventlet.listen(('127.0.0.1', 0))
            self._forwarders[address] = listener
            self._spawn(self._accept, listener, address)
        return '{}:{}'.format(*self._forwarders[address].getsockname())

    def cut(self, mode, spared=()):
        """Cut the links to all servers but some."""
        self.mode, self.spared = mode, set(spared)
        if mode == 'reset':
            for opened in self._sockets:
                with contextlib.suppress(OSError):
                    opened.shutdown(socket.SHUT_RDWR)

    def restore(self):
        """Open the links again; bytes that were held up are delivered."""
        self.mode = 'open'
        opened, self._opened = self._opened, eventlet.event.Event()
        opened.send(None)

    def close(self):
        """Stop forwarding."""
        self._blackhole.close()
        # A socket that is closed while a thread reads it stays registered in
        # the event loop, and breaks the next one with the same number.
        for thread in self._threads:
            thread.kill()
        for listener in self._forwarders.values():
            listener.close()

    def _spawn(self, function, *arguments):
        self._threads.append(eventlet.spawn(function, *arguments))

    def _accept(self, listener, address):
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                host, _, port = address.rpartition(':')
                far = eventlet.connect((host, int(port)))
                self._sockets.add(near)
                for source, target in ((near, far), (far, near)):
                    self._spawn(self._copy, source, target, address)

    def _copy(self, source, target, address):
        with contextlib.suppress(OSError):
            while data := source.recv(1 << 16):
                while self.mode == 'silent' and address not in self.spared:
                    self._opened.wait()
                target.sendall(data)
        self._sockets.discard(source)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)


def _find_closed_address():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return '{}:{}'.format(*listener.getsockname())


def _open_blackhole(stack):
    """Return an address at which connections are not established."""
    listener = stack.enter_context(socket.socket())
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    # These fill the queue of connections; the kernel drops further ones.
    for _ in range(4):
        opened = stack.enter_context(socket.socket())
        opened.setblocking(False)
        opened.connect_ex(listener.getsockname())
    return '{}:{}'.format(*listener.getsockname())


class FixedStore(PublishedStore):
    """A published store whose entries do not change."""

    def __init__(self, changes):
        self._changes = changes

    def read_all(self, may_be_stale=False):
        return result.Ok(self._changes)

    def wait_for_changes(self, revision, wait_ms):
        eventlet.sleep(min(wait_ms / 1_000.0, WATCH_S))
        return result.Ok(StoreChanges(revision))


def create_configuration(shards):
    """Return a configuration that gathers and forwards."""
    then = Then(
        urgency='urgent',
        deadline_ms=DEADLINE_MS,
        idempotent=True,
        coverage_percent=75,
        hedge=True,
        objective_ms=OBJECTIVE_MS,
        max_servers=2,
    )
    forwards = then._replace(forward=(ForwardTarget('fetch', 1),))
    document = RulesDocument(
        (
            Rule(
                'search',
                When(path='/s/*'),
                then._replace(gather=Gather(shards, 3)),
            ),
            Rule('fetch', When(path='/f/*'), forwards),
            Rule(
                'pay',
                When(path='/p/*'),
                forwards._replace(idempotent=False, hedge=False),
            ),
        )
    )
    services = (*shards, 'fetch')
    return RoutingConfiguration(
        1,
        compile_document(document, 1),
        {name: ServiceRecord(name, '/health', 50) for name in services},
        CallerLimits(16_384, 262_144, 3e3, 15e3),
        document,
    )


def _choose_ip():
    """Return a loopback address that no other node of a test run uses."""
    process = os.getpid()
    number = 100 + next(_node_numbers) % 150
    return f'127.{1 + process % 250}.{process // 250 % 250}.{number}'


def _find_addresses(ip, count):
    """Return addresses on an IP address whose ports are free."""
    with contextlib.ExitStack() as stack:
        probes = [
            stack.enter_context(socket.create_server((ip, 0)))
            for _ in range(count)
        ]
        return ['{}:{}'.format(*probe.getsockname()) for probe in probes]


@contextlib.contextmanager
def open_node(number, data_centre, seeds, store):
    """Run a node while the context is active.

    Yields
    ------
    types.SimpleNamespace
        The ``node``, its ``settings``, its ``links`` to the servers, and
        ``send``, which sends it a request and returns the status and body.
    """
    settings = GatewaySettings(
        f'node-{number}',
        data_centre,
        *_find_addresses(_choose_ip(), 3),
        tuple(seeds),
        0,
        '127.0.0.1:1',
        0.2,
        200.0,
        10_000.0,
        6_000.0,
    )
    links = ServerLinks()
    node = GatewayNode(
        settings,
        lambda: settings,
        lambda *_: store,
        HeaderNames(),
        '/ready',
    )
    pools = node._state.pools
    create_connection = pools.create_connection
    pools.create_connection = lambda address, *rest: create_connection(
        links.get_address(address), *rest
    )
    with contextlib.closing(links), node.open():
        yield types.SimpleNamespace(
            node=node,
            settings=settings,
            links=links,
            send=functools.partial(send_request, settings.caller_address),
        )


def send_request(address, target, request_id):
    """Send a request of a caller on a connection of its own.

    Returns
    -------
    tuple of (int, bytes)
        Status and body of the answer.
    """
    connection = client.HTTPConnection(address, timeout=support.HANG_S)
    with contextlib.closing(connection):
        connection.request('GET', target, headers={'X-Request-Id': request_id})
        response = connection.getresponse()
        return response.status, response.read()


def create_store(servers):
    """Return a `FixedStore` with servers, given as (service, address)."""
    changes = tuple(
        ServerChange(
            f's{n}', ServerRecord(f's{n}', service, address, 'dc-a', 4)
        )
        for n, (service, address) in enumerate(servers)
    )
    shards = tuple(sorted({x for x, _ in servers if x != 'fetch'}))
    return FixedStore(
        StoreChanges(1, changes, create_configuration(shards), evacuations=())
    )
