"""Stand-ins of the platform, servers and clients for the cases 11 to 15.

All of them run in the event loop of the script; only the nodes are processes
of their own. They use the standard library alone and loopback addresses.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = 'pupu76.example'
# The bounds of a small deployment.
DRAIN_S = 3.0
STABLE_S = 4.0
# An entry is removed after three check-in intervals of silence.
EXPIRY_S = 3.6
# The servers of payout-ledger and ward-console.
SLOTS = 2
QUEUE = 8
SETTINGS = """
NodeName = "{name}"
Role = "gateway"
MachineClass = "frontend"
Serves = ["frontend", "control_plane"]
Ip = "{ip}"
Zone = "{zone}"
Region = "mty"
InternalPortRange = [7380, 7395]
SeedNodes = [{seeds}]
Bootstrap = true
InTolerance = false
Discovery = "platform"
EntryPoint = "vip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[Zones]
mty-centro = "mty"
mty-sannicolas = "mty"
[Listen]
Front = "{ip}:{front}"
ReadyAddr = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
StableWindowMs = 4000
AckTimeoutMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxStretchMs = 12000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 58
RecoveryS = 12
[platform]
Address = "{store}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
MaxValueBytes = 1048576
MinTtlMs = 1000
"""  # noqa: E501
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 262144,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


class Record:
    """Writes what happens to a file, with the time since the start."""

    def __init__(self, path):
        self._file = path.open('w')
        self._started_s = time.monotonic()

    def write(self, text):
        """Write a line."""
        now_s = time.monotonic() - self._started_s
        self._file.write(f'{now_s:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Return start line, headers and body of a message; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = head[:-4].decode('latin-1').split('\r\n')
    headers = collections.defaultdict(str)
    for field in fields:
        name, _, value = field.partition(':')
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers['content-length'] or 0))
    return line, headers, body


def create_message(line, headers, body=b''):
    """Return the bytes of a message with a length."""
    fields = [f'{k}: {v}' for k, v in headers.items()]
    fields.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([line, *fields, '', '']).encode('latin-1') + body


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        # It may be closed already.
        with contextlib.suppress(OSError):
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class Listener:
    """A TCP listener that serves each connection with a coroutine."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.address = ''

    async def open(self, ip='127.0.0.1', port=0):
        """Listen, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Also when the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve a connection; to be overridden."""

    def close(self, with_reset=False):
        """Stop listening and close all connections, as an ended process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            if with_reset:
                reset(writer)
            else:
                writer.close()


class Store(Listener):
    """The platform's metadata store, without any loss or delay.

    Parameters
    ----------
    watch_limit_s : float or None
        After how long a waiting watch is cut; None for never.
    """

    def __init__(self, watch_limit_s=None):
        super().__init__()
        self.watch_limit_s = watch_limit_s
        self.cut_count = 0
        self._revision = 100
        self._items = {}
        self._events = []
        self._changed = asyncio.Condition()

    async def put(self, key, value):
        """Write an item as JSON; return when it is acknowledged."""
        async with self._changed:
            self._revision += 1
            data = base64.b64encode(json.dumps(value).encode()).decode()
            created = self._items.get(key, {}).get('Created', self._revision)
            item = {
                'Key': key,
                'Value': data,
                'Revision': self._revision,
                'Created': created,
                'LeaseId': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
        return time.monotonic()

    async def delete(self, key):
        """Remove an item; return when it is acknowledged."""
        async with self._changed:
            if key not in self._items:
                return time.monotonic()
            self._revision += 1
            del self._items[key]
            self._events.append(
                {'Key': key, 'Revision': self._revision, 'Deleted': True}
            )
            self._changed.notify_all()
        return time.monotonic()

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            target = message[0].split(' ')[1]
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query, True))
            if url.path.endswith('kv-watch'):
                document = await self._watch(query)
                if document is None:
                    self.cut_count += 1
                    return
            else:
                document = self._read_range(query)
            writer.write(
                create_message(
                    'HTTP/1.1 200 OK',
                    {'Content-Type': 'application/json', 'Store-Era': 1},
                    json.dumps(document).encode(),
                )
            )
            await writer.drain()

    def _read_range(self, query):
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['Prefix']) and key > after
        )
        return {
            'items': [self._items[key] for key in keys[:50]],
            'HasMore': len(keys) > 50,
            'CurrentRev': self._revision,
        }

    async def _watch(self, query):
        after, wait_s = int(query['after']), int(query['WaitMs']) / 1000.0
        is_cut = self.watch_limit_s is not None and self.watch_limit_s < wait_s
        if is_cut:
            wait_s = self.watch_limit_s
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: self._revision > after
                    )
            events = [x for x in self._events if x['Revision'] > after]
            if not events and is_cut:
                return None
            return {'events': events, 'CurrentRev': self._revision}


class Arrival:
    """A request that a server has received and not turned away.

    Parameters
    ----------
    at_s : float
        When it arrived, on the monotonic clock.
    """

    def __init__(self, at_s, request_id):
        self.at_s = at_s
        self.request_id = request_id


class Server(Listener):
    """A server of a service.

    Parameters
    ----------
    server_id, service, zone : str
        As in its entry.
    record : Record
        Receives the requests.
    work_s : float
        How long a request runs.

    It runs as many requests at a time as it has slots, queues a few more and
    turns the others away. A server that leaves says so in all its answers.
    """

    _born_ms = itertools.count(int(time.time() * 1000))

    def __init__(self, server_id, service, zone, record, work_s=0.02):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.record = record
        self.arrivals = []
        self.born_ms = next(self._born_ms)
        self.is_leaving = False
        self._slots = asyncio.Semaphore(SLOTS)
        self._held = 0

    @property
    def key(self):
        """Key of the entry in the store."""
        return f'servers/{self.server_id}'

    def create_entry(self, state='ready'):
        """Return the entry in the store."""
        return {
            'Backend': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': '1.0.0',
            'MaxConcurrency': 2,
            'State': state,
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': self.born_ms,
        }

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        while (message := await read_message(reader)) is not None:
            line, headers, body = message
            if not await self.handle(line, headers, body, writer):
                return
            await writer.drain()

    def note_run(self, request_id):
        """Record that a request begins to run."""
        self.arrivals.append(Arrival(time.monotonic(), request_id))
        self.record.write(f'run server={self.server_id} request={request_id}')

    async def handle(self, line, headers, body, writer):
        """Answer a request; return whether the connection stays open."""
        request_id = headers['x-request-id']
        target = headers['x-target-instance']
        echo = {'X-Request-Id': request_id}
        if target and target != self.server_id:
            echo['X-Not-Executed'] = 1
            writer.write(create_message('HTTP/1.1 421 Misdirected', echo))
            return True
        if self.is_leaving:
            echo['Server-Leaving'] = 1
        if self._held >= SLOTS + QUEUE:
            echo['X-Not-Executed'] = 1
            writer.write(create_message('HTTP/1.1 503 Full', echo))
            return True
        self._held += 1
        try:
            async with self._slots:
                self.note_run(request_id)
                await asyncio.sleep(self.work_s)
        finally:
            self._held -= 1
        writer.write(
            create_message(
                'HTTP/1.1 200 OK',
                {
                    **echo,
                    'X-Server-Seal': f'{self.server_id}.{request_id}',
                    'X-Server-Load': f'{self._held},0,{SLOTS}',
                    'Keep-Alive': 'timeout=15',
                },
                request_id.encode() * 4,
            )
        )
        return True


class Answer:
    """The answer that a client got; without a status it got none."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Client:
    """Sends requests, each on a new connection.

    Parameters
    ----------
    record : Record
        Receives the requests and answers.
    """

    _numbers = itertools.count(1)

    def __init__(self, record):
        self._record = record
        # When each request was sent, on the monotonic clock, and to whom.
        self.sent_s = {}
        self.nodes = {}
        self.paths = {}
        self.answers = {}

    async def send(
        self,
        node,
        path,
        method='GET',
        body=b'',
        deadline_ms=2500,
        request_id=None,
    ):
        """Send a request to a node; return the `Answer`."""
        request_id = request_id or f'{next(self._numbers):016x}'
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': deadline_ms,
        }
        self.sent_s[request_id] = time.monotonic()
        self.nodes[request_id] = node.name
        self.paths[request_id] = path
        self._record.write(
            f'sent request={request_id} node={node.name} {method} {path}'
        )
        answer = Answer(None, {}, b'')
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                reader, writer = await asyncio.open_connection(
                    node.ip, node.ports['front']
                )
                with contextlib.closing(writer):
                    writer.write(
                        create_message(
                            f'{method} {path} HTTP/1.1', headers, body
                        )
                    )
                    message = await read_message(reader)
                    if message is not None:
                        line, fields, content = message
                        answer = Answer(
                            int(line.split(' ')[1]), fields, content
                        )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.answers[request_id] = answer
        self._record.write(
            f'answered request={request_id} status={answer.status}'
        )
        return answer


def pick_ports(ip, count):
    """Return ports that are free on an address now."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server((ip, 0)))
            for _ in range(count)
        ]
        return [x.getsockname()[1] for x in sockets]


class Node:
    """A node as the deploy file starts it.

    Parameters
    ----------
    number : int
        Distinguishes the nodes of a script.
    store_address : str
        ``ip:port`` of the store.
    seeds : sequence of str
        Control addresses of other nodes.
    """

    def __init__(self, number, store_address, seeds=(), zone='mty-centro'):
        run = os.getpid()
        self.ip = f'127.{1 + run % 250}.{run // 250 % 250}.{number}'
        self.name = f'frontend-{zone}-{number}'
        self.ports = dict(
            zip(
                ('front', 'ready', 'control'),
                pick_ports(self.ip, 3),
                strict=True,
            )
        )
        self.control = f'{self.ip}:{self.ports["control"]}'
        self._directory = tempfile.TemporaryDirectory()
        self._settings = pathlib.Path(self._directory.name, 'node.toml')
        self.log_path = pathlib.Path(self._directory.name, 'log')
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=zone,
                store=store_address,
                seeds=', '.join(f'"{x}"' for x in seeds),
                **self.ports,
            )
        )
        self.process = None

    async def start(self):
        """Start the process."""
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-W',
                'ignore',
                '-m',
                'hawthornfold.platform',
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'EVENTLET_NO_GREENDNS': 'yes',
                    'HAWTHORNFOLD_NODE_FILE': str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        """Return whether the node answers its readiness check with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports['ready']
                )
                with contextlib.closing(writer):
                    writer.write(
                        create_message(
                            'GET /api/ready HTTP/1.1', {'Host': self.ip}
                        )
                    )
                    message = await read_message(reader)
        except (OSError, TimeoutError):
            return False
        return message is not None and ' 200 ' in message[0]

    async def wait_ready(self, limit_s=20.0):
        """Wait until the node is ready; raise TimeoutError otherwise."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def change_settings(self):
        """Write the settings file again, with a field that is not known."""
        text = self._settings.read_text()
        new = self._settings.with_suffix('.new')
        new.write_text(f'NewField{len(text)} = 1\n{text}')
        new.replace(self._settings)

    async def kill(self):
        """End the process with SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def close(self):
        """End the process and remove its files."""
        await self.kill()
        self._directory.cleanup()


def create_route(name, prefix, kind='idempotent', timeout_ms=2500, **fields):
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': prefix,
        'RouteType': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': 250,
        'MaxAttempts': 2,
        'Priority': 0,
        **fields,
    }


def create_configuration(version, routes, services, max_conns=37):
    """Return the operator's configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': x, 'HealthPath': '/health', 'MaxConns': max_conns}
            for x in services
        ],
        'Limits': LIMITS,
    }


def run_case(path, play):
    """Run a case and exit with its status.

    Parameters
    ----------
    path : str
        The file of the case; ``record.txt`` is written beside it.
    play : callable
        Coroutine function; takes the `Record`, and whether to bring about the
        disruption. Returns the exit status.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(path).with_name('record.txt'))
    status = 2

    async def run():
        # The case ends its processes also if it is stopped, and a second
        # signal doesn't interrupt that.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()

        def stop():
            for number in STOP_SIGNALS:
                loop.add_signal_handler(number, lambda: None)
            task.cancel()

        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop)
        return await asyncio.wait_for(play(record, has_trouble), 110)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # noqa: BLE001
        record.write(f'the case could not run: {error!r}')
    record.write(f'exit status {status}')
    record.close()
    sys.exit(status)
