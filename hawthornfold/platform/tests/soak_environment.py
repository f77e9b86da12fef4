"""The environment of the soak: store, servers, proxy and gateway nodes."""

import contextlib
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time

import urllib3

from hawthornfold.gateway.tests import support as gateway_support
from hawthornfold.platform.tests import support

# Shards with an even number have their servers in the second data centre, so
# that nodes gather groups of shards for each other.
SHARDS = tuple(f'x{number}' for number in range(1, 11))
DATA_CENTRES = ('hall-a', 'hall-b')
MIN_SHARE = 0.75
FORWARD_SERVICE = 'z'
RECORD_LIMIT = 8
RECORD_BYTES = 16


class Ledger:
    """Records the requests that servers execute and the answers they send."""

    def __init__(self):
        self._lock = threading.Lock()
        self._servers = {}
        self._parts = {}

    def record_execution(self, request_id, server, body, seal):
        """Record that a server begins to execute a request."""
        with self._lock:
            self._servers.setdefault(request_id, []).append(server.server_id)
            self._parts[seal] = (request_id, server.service, body)

    def list_servers(self, request_id):
        """Return the ids of the servers that executed a request."""
        with self._lock:
            return list(self._servers.get(request_id, ()))

    def find_part(self, seal):
        """Return (request id, service, body) for a seal, or None."""
        with self._lock:
            return self._parts.get(seal)


class FaultyServer:
    """A test double of a backend server whose fault can be set.

    While a fault is set, it affects about half of the requests.
    """

    def __init__(self, server_id, service, ledger, seed):
        self.server_id = server_id
        self.service = service
        self.fault = None
        # Held by a fault that changes what the store lists of the server.
        self.lock = threading.Lock()
        # Start of the process, as in its entry.
        self.born = 1000
        self.drained_at = None
        self.arrivals_after_drain_s = []
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._scripted = gateway_support.ScriptedServer(self._answer)
        self.address = self._scripted.address

    def restart(self):
        """Begin a later start of the process, at the same address."""
        self.born += 1

    def close(self):
        """Stop accepting connections."""
        self._scripted.close()

    def _answer(self, connection, request, number):
        fault = self.fault if self._rng.random() < 0.5 else None
        if request.headers.get('x-target-instance') != self.server_id:
            return self._send(connection, request, 421, b'', '')
        if self.drained_at is not None:
            self.arrivals_after_drain_s.append(
                time.monotonic() - self.drained_at
            )
        if fault == 'full':
            return self._send(
                connection, request, 503, b'', '', X_Not_Executed='1'
            )
        if fault == 'reset before':
            gateway_support.reset(connection)
            return False
        request_id = request.headers['x-request-id']
        seal = f'{self.server_id}.{request_id}.{self._rng.getrandbits(32):x}'
        body = self._rng.randbytes(RECORD_BYTES * self._rng.randint(1, 6))
        self._ledger.record_execution(request_id, self, body, seal)
        time.sleep(self._rng.uniform(0.002, 0.015))
        if fault == 'slow':
            time.sleep(self._rng.uniform(0.1, 0.5))
        elif fault == 'hang':
            time.sleep(3.0)
        elif fault == 'reset after':
            gateway_support.reset(connection)
            return False
        elif fault == 'truncate':
            self._send(connection, request, 200, body, seal, cut=5)
            return False
        elif fault == 'twice':
            self._send(connection, request, 200, body, seal)
            connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            return True
        elif fault == 'fail':
            return self._send(connection, request, 500, b'failed', seal)
        return self._send(connection, request, 200, body, seal)

    def _send(self, connection, request, status, body, seal, cut=0, **fields):
        answer = gateway_support.create_answer(
            request,
            body,
            status,
            X_Server_Seal=seal or None,
            X_Seal=None,
            **fields,
        )
        connection.sendall(answer[: len(answer) - cut])
        return True


SERVER_FAULTS = (
    'full',
    'reset before',
    'slow',
    'hang',
    'reset after',
    'truncate',
    'twice',
    'fail',
)


# Bounds the attempts to start the proxy. An attempt fails when a connection
# takes one of its free ports before the proxy listens on it.
MAX_PROXY_STARTS = 3


class FaultProxy:
    """Runs the emulator's fault proxy in its own process."""

    def __init__(self, targets):
        self._directory = tempfile.TemporaryDirectory()
        self._pool = urllib3.PoolManager(
            retries=urllib3.Retry(20, backoff_factor=0.05, backoff_max=0.5)
        )
        for _ in range(MAX_PROXY_STARTS):
            self._start(targets)
            if self._has_started():
                return
        raise AssertionError(f'the proxy ended: {self._log.read_text()}')

    def _start(self, targets):
        self.ports = {
            name: support.find_free_port('127.0.0.1') for name in targets
        }
        self._control = support.find_free_port('127.0.0.1')
        spec = pathlib.Path(self._directory.name, 'spec.json')
        self._log = pathlib.Path(self._directory.name, 'log')
        spec.write_text(
            json.dumps(
                [
                    {
                        'name': name,
                        'listen': self.ports[name],
                        'target': target,
                    }
                    for name, target in targets.items()
                ]
            )
        )
        command = ['-m', 'hawthornfold.emulator', 'proxy', '--spec', str(spec)]
        with self._log.open('wb') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-W', 'ignore', *command]
                + ['--control-port', str(self._control)],
                cwd=support.ROOT,
                stdout=log,
                stderr=log,
            )

    def _has_started(self):
        """Return whether the process listens and accepts commands."""
        try:
            self.set_fault('*')
        except urllib3.exceptions.HTTPError:
            self._process.kill()
            self._process.wait(gateway_support.HANG_S)
            return False
        return True

    def get_address(self, name):
        """Return ``ip:port`` of a listener."""
        return f'127.0.0.1:{self.ports[name]}'

    def set_fault(self, name, **fault):
        """Set the fault of a listener; without fields, clear it."""
        url = f'http://127.0.0.1:{self._control}/control/listeners'
        self._pool.request(
            'PUT', f'{url}/{name}/fault', body=json.dumps(fault)
        )

    def close(self):
        """Kill the process and remove its files."""
        self._process.kill()
        self._process.wait(gateway_support.HANG_S)
        self._directory.cleanup()


LINK_FAULTS = (
    {'delay_ms': 30.0, 'jitter_ms': 30.0},
    {'stall': True},
    {'reset': True},
    {'one_way': 'to_client'},
    {'cut': True},
)


class Environment:
    """Starts the components of a soak and publishes its configuration.

    Parameters
    ----------
    seed : int
        Determines what the servers answer.
    stack : contextlib.ExitStack
        Stops the components.
    old_release : str, optional
        Commit of the release that the nodes run at first.
    """

    def __init__(self, seed, stack, old_release=None):
        # Folders with the sources of the releases in use.
        self.roots = [support.ROOT]
        if old_release is not None:
            root = stack.enter_context(tempfile.TemporaryDirectory())
            support.export_release(old_release, root)
            self.roots.append(pathlib.Path(root))
        self.store = support.MetadataStoreStub()
        stack.callback(self.store.close)
        self.ledger = Ledger()
        self.version = 0
        # When the store had accepted each version, by `time.monotonic`.
        self.published_at = {}
        # What the servers and the operator have written last, by key.
        self.entries = {}
        self.servers = {}
        for service in (*SHARDS, FORWARD_SERVICE):
            for number in (1, 2):
                name = f'{service}-{number}'
                server = FaultyServer(
                    name, service, self.ledger, f'{seed}{name}'
                )
                stack.callback(server.close)
                self.servers[name] = server
        targets = {n: s.address for n, s in self.servers.items()}
        self.proxy = FaultProxy({**targets, 'store': self.store.address})
        stack.callback(self.proxy.close)
        for name in self.servers:
            self.register_server(name)
        self.publish_configuration()
        proxied_store = contextlib.nullcontext()
        proxied_store.address = self.proxy.get_address('store')
        self.nodes = []
        for number in (1, 2, 3):
            seeds = [node.control for node in self.nodes[:1]]
            zone = DATA_CENTRES[number % 2]
            node = support.Node(
                proxied_store, number, seeds, root=self.roots[-1], zone=zone
            )
            stack.callback(node.close)
            self.nodes.append(node)
        for node in self.nodes:
            node.wait_until(node.is_ready)

    def register_server(self, name, **fields):
        """Write a server's entry to the store."""
        server = self.servers[name]
        is_even = server.service[-1] in '02468'
        entry = {
            'Backend': server.service,
            'Address': self.proxy.get_address(name),
            'Zone': DATA_CENTRES[is_even],
            'Version': 'v1',
            'MaxConcurrency': 4,
            'State': 'ready',
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': server.born,
            **fields,
        }
        self.entries[f'servers/{name}'] = entry
        self.store.put(f'servers/{name}', entry)

    def remove_server(self, name):
        """Remove a server's entry from the store."""
        key = f'servers/{name}'
        del self.entries[key]
        with contextlib.suppress(KeyError):
            self.store.delete(key)

    def write_again(self):
        """Write what a restored store has lost, as its writers do."""
        for key, entry in list(self.entries.items()):
            if self.store.read(key) != entry:
                self.store.put(key, entry)

    def publish_configuration(self):
        """Write the next version of the configuration.

        Version n adds the route /vn/, by which the soak sees whether a node
        has applied it.
        """
        self.version += 1
        routes = [
            _create_route(
                f'v{number}', f'/v{number}/', Backend=FORWARD_SERVICE
            )
            for number in range(1, self.version + 1)
        ]
        routes.append(
            _create_route(
                'gather',
                '/g/',
                FanoutServices=list(SHARDS),
                TopK=RECORD_LIMIT,
                MinSuccessShare=MIN_SHARE,
            )
        )
        routes.append(
            _create_route(
                'pay', '/p/', 'non_idempotent', Backend=FORWARD_SERVICE
            )
        )
        published = {
            'Version': self.version,
            'Routes': routes,
            'Services': [
                {'Name': name, 'MaxConns': 60}
                for name in (*SHARDS, FORWARD_SERVICE)
            ],
            'Limits': support.LIMITS,
        }
        self.entries['op/config'] = published
        self.store.put('op/config', published)
        self.published_at[self.version] = time.monotonic()


def _create_route(name, prefix, kind='idempotent', **fields):
    return {
        'Name': name,
        'Host': 'a.example',
        'Prefix': prefix,
        'RouteType': kind,
        'TimeoutMs': 1500,
        'TargetLatencyMs': 200,
        'MaxAttempts': 2,
        **fields,
    }
