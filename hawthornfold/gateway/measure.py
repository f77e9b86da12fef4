"""Measures a gathered query: ``python -m hawthornfold.gateway.measure``.

docs/decisions/exchanges.md quotes the figures. A second process serves all
shards and answers at once, so that the processor time of the measuring
process is that of the exchanges. Processor time is less affected by other
work on the machine than elapsed time.
"""

import argparse
import contextlib
import cProfile
import pstats
import selectors
import socket
import statistics
import subprocess
import sys
import time

import eventlet

from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import QueryCostModel
from hawthornfold.directory import CallerLimits
from hawthornfold.directory import RoutingConfiguration
from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.names import HeaderNames
from hawthornfold.gateway.runner import RequestRunner
from hawthornfold.gateway.settings import GatewaySettings
from hawthornfold.gateway.state import GatewayState
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import Gather
from hawthornfold.rules import Rule
from hawthornfold.rules import RulesDocument
from hawthornfold.rules import Then
from hawthornfold.rules import When
from hawthornfold.rules import compile_document

SERVERS_PER_SHARD = 3
BODY_BYTES = 400
WARMUP_QUERIES = 30
# Time between two queries, so that the green threads of one have ended.
PAUSE_MS = 5.0
_HANG_S = 30.0
_RECEIVE_BYTES = 1 << 16


class _LoadedWatcher:
    """A store watcher whose data is always current."""

    def age_ms(self, now_ms):
        return 0.0


def serve_shards(count):
    """Answer requests on `count` ports until standard input ends."""
    selector = selectors.DefaultSelector()
    listeners = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    for listener in listeners:
        selector.register(listener, selectors.EVENT_READ, None)
    print(*(x.getsockname()[1] for x in listeners), flush=True)
    selector.register(sys.stdin, selectors.EVENT_READ, None)
    body = bytes(BODY_BYTES)
    while True:
        for key, _ in selector.select():
            if key.fileobj is sys.stdin:
                return
            if key.data is None:
                connection, _ = key.fileobj.accept()
                selector.register(connection, selectors.EVENT_READ, 'caller')
            else:
                _answer(key.fileobj, selector, body)


def _answer(connection, selector, body):
    request = connection.recv(_RECEIVE_BYTES)
    if not request:
        selector.unregister(connection)
        connection.close()
        return
    connection.sendall(
        b'HTTP/1.1 200 OK\r\nX-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n'
        b'X-Load: 1,0,2\r\nContent-Length: %d\r\n\r\n%b' % (len(body), body)
    )


@contextlib.contextmanager
def open_shards(count):
    """Run `serve_shards` in another process; yield its addresses."""
    process = subprocess.Popen(
        [sys.executable, '-W', 'ignore', '-m', __spec__.name, '--serve']
        + [str(count)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        ports = process.stdout.readline().split()
        yield [f'127.0.0.1:{port}' for port in ports]
    finally:
        process.stdin.close()
        process.wait(_HANG_S)


def create_handler(addresses, shard_count):
    """Create a `GatewayHandler` whose only rule gathers all shards."""
    clock = create_system_clock()
    metrics = create_metrics()
    settings = GatewaySettings(
        'n', 'dc', '', '', '', (), 0, '', 0.2, 1000.0, 10_000.0, 6_000.0
    )
    names = HeaderNames()
    state = GatewayState(settings, names, clock, metrics)
    shards = tuple(f'shard-{number}' for number in range(shard_count))
    document = RulesDocument(
        (
            Rule(
                'search',
                When(path='/*'),
                Then(
                    urgency='urgent',
                    deadline_ms=5_000,
                    idempotent=True,
                    coverage_percent=89,
                    hedge=True,
                    objective_ms=2_000.0,
                    max_servers=2,
                    gather=Gather(shards, 20),
                ),
            ),
        )
    )
    state.set_configuration(
        RoutingConfiguration(
            1,
            compile_document(document, 1),
            {name: ServiceRecord(name, '/health', 50) for name in shards},
            CallerLimits(16_384, 262_144, 3_000.0, 15_000.0),
            document,
        )
    )
    changes = []
    for number, address in enumerate(addresses):
        record = ServerRecord(
            f's{number}', shards[number % shard_count], address, 'dc', 2
        )
        changes.append(ServerChange(record.server_id, record))
    state.directory.apply(changes, clock.now_ms())
    watcher = _LoadedWatcher()
    runner = RequestRunner(
        state, watcher, QueryCostModel(Capacity(1000.0, 1.0)), clock, metrics
    )
    return GatewayHandler(state, names, watcher, runner, clock, metrics)


@contextlib.contextmanager
def _ignore_caller(notify):
    yield


def run_queries(handler, count):
    """Run queries one after the other.

    Returns
    -------
    list of float
        Processor time of each in milliseconds.

    Raises
    ------
    RuntimeError
        If an answer is not complete.
    """
    clock = create_system_clock()
    costs_ms = []
    for number in range(count):
        headers = (
            ('Host', 'a.example'),
            ('X-Request-Id', f'{number:016x}'),
            ('X-Deadline-Ms', '5000'),
        )
        started_ms = time.process_time() * 1000.0
        incoming = IncomingRequest(
            'GET', '/a/b', 'a.example', headers, b'', clock.now_ms(), 0.0
        )
        answer = handler.handle(incoming, _ignore_caller)
        costs_ms.append(time.process_time() * 1000.0 - started_ms)
        if answer.status != 200 or ('X-Missing-Parts', '0') not in (
            answer.headers
        ):
            raise RuntimeError(f'status {answer.status}: {answer.headers}')
        clock.sleep_ms(PAUSE_MS)
    return costs_ms


def main():
    """Print the processor time of a query and of an exchange."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--serve', type=int, default=0)
    parser.add_argument('--shards', type=int, nargs='+', default=[30, 90])
    parser.add_argument('--queries', type=int, default=200)
    parser.add_argument('--profile', action='store_true')
    options = parser.parse_args()
    if options.serve:
        serve_shards(options.serve)
        return 0
    eventlet.monkey_patch()
    for shard_count in options.shards:
        with open_shards(shard_count * SERVERS_PER_SHARD) as addresses:
            handler = create_handler(addresses, shard_count)
            run_queries(handler, WARMUP_QUERIES)
            if options.profile:
                profile = cProfile.Profile()
                profile.runcall(run_queries, handler, options.queries)
                pstats.Stats(profile).sort_stats('tottime').print_stats(40)
                continue
            costs_ms = run_queries(handler, options.queries)
        query_ms = statistics.median(costs_ms)
        print(
            f'shards={shard_count} query_ms={query_ms:.2f} '
            f'exchange_us={query_ms / shard_count * 1000.0:.0f}'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
