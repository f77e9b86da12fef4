"""Stand-ins for the platform: store, backend servers, clients and nodes.

Everything but the nodes runs in the event loop of the script. The stand-ins
need nothing but the standard library of Python.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
RECORD_BYTES = 16
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 262144,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}
_METRICS_PORT = 9100
# A case may run for 120 s; the rest is for its clean-up.
RUN_LIMIT_S = 100.0
# How long the store keeps its history.
HISTORY_S = 20.0
_SETTINGS = """
NodeName = "{name}"
Role = "gateway"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
SeedNodes = [{seeds}]
Bootstrap = true
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter"]
[Zones]
{zones}
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
"""


class CannotRunError(Exception):
    """The case could not be brought about; it shows nothing."""


class Record:
    """Writes what happened to ``record.txt`` in the folder of a case."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder, 'record.txt')
        self._path.write_text('')
        self._started_s = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start in seconds."""
        elapsed_s = time.monotonic() - self._started_s
        with self._path.open('a') as file:
            print(f'{elapsed_s:8.3f} {text}', file=file)


class Message:
    """The head and body of an HTTP request or response."""

    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def get(self, name, default=''):
        """Return the value of a header by its lowercase name."""
        return ', '.join(v for n, v in self.fields if n == name) or default

    @property
    def status(self):
        """The status of a response."""
        return int(self.start.split()[1])


async def read_message(reader, is_response=False):
    """Read one HTTP message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('the head ends early')
        return None
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = []
    for line in lines:
        name, _, value = line.partition(':')
        fields.append((name.strip().lower(), value.strip()))
    message = Message(start, fields, b'')
    length = message.get('content-length')
    try:
        if length:
            message.body = await reader.readexactly(int(length))
        elif is_response:
            message.body = await reader.read()
    except asyncio.IncompleteReadError:
        raise ConnectionError('the body ends early')
    return message


def format_message(start, fields, body):
    """Return the bytes of an HTTP message with its length."""
    lines = [start, *(f'{name}: {value}' for name, value in fields)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class View:
    """How the store treats the nodes that reach it by one address.

    Parameters
    ----------
    addresses : dict of str to str
        If their connections to servers pass a proxy: the addresses of the
        proxy, by those of the servers.
    """

    def __init__(self, addresses=None):
        self.addresses = addresses or {}
        # Whether the store turns them away.
        self.is_refused = False


class Store:
    """The platform's metadata store: items, watches, and an era."""

    def __init__(self):
        self.era = 1
        self.address = ''
        self._revision = 100
        self._oldest = 0
        self._items = {}
        self._events = []
        # When each event was written.
        self._written_s = []
        self._changed = asyncio.Event()
        self._servers = []

    async def start(self):
        """Listen on a free port."""
        self.address = await self.open_view(View())

    async def open_view(self, view):
        """Listen on a further port, for some nodes; return ``ip:port``."""

        async def serve(reader, writer):
            await self._serve(reader, writer, view)

        server = await asyncio.start_server(
            serve, '127.0.0.1', 0, limit=1 << 20
        )
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def close(self):
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, key, value):
        """Write an item as JSON; the acknowledgement is immediate."""
        self._revision += 1
        item = {
            'Key': key,
            'Value': base64.b64encode(json.dumps(value).encode()).decode(),
            'Revision': self._revision,
            'Created': self._revision,
            'LeaseId': 0,
        }
        self._items[key] = item
        self._publish(item)

    def delete(self, key):
        """Remove an item."""
        self._revision += 1
        self._items.pop(key, None)
        self._publish(
            {'Key': key, 'Revision': self._revision, 'Deleted': True}
        )

    def _publish(self, event):
        self._events.append(event)
        self._written_s.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_history(self):
        """Forget old events; return the oldest revision to watch from."""
        while self._written_s and (
            time.monotonic() - self._written_s[0] > HISTORY_S
        ):
            self._written_s.pop(0)
            self._oldest = self._events.pop(0)['Revision']
        return self._oldest

    async def _serve(self, reader, writer, view):
        try:
            while (request := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(request.start.split()[1])
                query = dict(urllib.parse.parse_qsl(url.query, True))
                if view.is_refused:
                    break
                status, document = await self._answer(url.path, query, view)
                if view.is_refused:
                    break
                writer.write(
                    format_message(
                        f'HTTP/1.1 {status} Status',
                        [
                            ('Content-Type', 'application/json'),
                            ('Store-Era', self.era),
                        ],
                        _translate(document, view.addresses),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            reset(writer)

    async def _answer(self, path, query, view):
        await asyncio.sleep(0.004)
        if path == '/api/kv-key':
            item = self._items.get(query.get('Key'))
            if item is None:
                return 404, {'CurrentRev': self._revision}
            return 200, {**item, 'CurrentRev': self._revision}
        if path == '/api/kv-range':
            return self._read_range(query)
        if path == '/api/kv-watch':
            return await self._watch(query, view)
        return 404, {}

    def _read_range(self, query):
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        return 200, {
            'items': [dict(self._items[key]) for key in keys[:500]],
            'HasMore': len(keys) > 500,
            'CurrentRev': self._revision,
        }

    async def _watch(self, query, view):
        prefix, after = query.get('Prefix', ''), int(query['after'])
        end_s = time.monotonic() + int(query.get('WaitMs', 0)) / 1000.0
        while True:
            if not self._expire_history() <= after <= self._revision:
                return 410, {}
            events = [
                dict(event)
                for event in self._events
                if event['Revision'] > after
                and event['Key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0 or view.is_refused:
                return 200, {'events': events, 'CurrentRev': self._revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left_s, 0.5))


def _translate(document, addresses):
    """Return a reply of the store with the addresses that a node uses."""
    for item in document.get('items', document.get('events', [])):
        if not addresses or not item['Key'].startswith('servers/'):
            continue
        if 'Value' in item:
            entry = json.loads(base64.b64decode(item['Value']))
            entry['Address'] = addresses[entry['Address']]
            item['Value'] = base64.b64encode(
                json.dumps(entry).encode()
            ).decode()
    return json.dumps(document).encode()


class Links:
    """A proxy between one node and all servers, which can be cut.

    While it is cut, connections break and new ones are refused.
    """

    def __init__(self):
        # The address of the proxy, by that of the server.
        self.addresses = {}
        self.is_cut = False
        self._listeners = []
        self._writers = set()

    async def open(self, address):
        """Forward a further address."""
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        self.addresses[address] = f'127.0.0.1:{port}'
        await self._listen(address)

    async def _listen(self, address):
        host, _, port = address.rpartition(':')

        async def forward(reader, writer):
            far_reader, far_writer = await asyncio.open_connection(host, port)
            self._writers |= {writer, far_writer}
            await asyncio.gather(
                _copy(reader, far_writer), _copy(far_reader, writer)
            )
            self._writers -= {writer, far_writer}

        own_host, _, own_port = self.addresses[address].rpartition(':')
        self._listeners.append(
            await asyncio.start_server(forward, own_host, int(own_port))
        )

    def cut(self):
        """Break all connections, and refuse new ones."""
        self.is_cut = True
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for writer in tuple(self._writers):
            reset(writer)

    async def restore(self):
        """Accept connections again."""
        self.is_cut = False
        for address in self.addresses:
            await self._listen(address)

    def close(self):
        """Stop forwarding."""
        self.cut()


async def _copy(reader, writer):
    """Forward bytes until one side closes."""
    with contextlib.suppress(OSError):
        while data := await reader.read(1 << 16):
            writer.write(data)
            await writer.drain()
    writer.close()


class Ledger:
    """What the servers have run: each seal, its request and its part."""

    def __init__(self, record):
        self._record = record
        # By seal: request id, service, server id and body.
        self.seals = {}
        # By request id: server ids, in order.
        self.runs = {}

    def add(self, seal, request_id, server, body):
        """Record that a server begins to run a request."""
        self.seals[seal] = (request_id, server.service, server.id, body)
        self.runs.setdefault(request_id, []).append(server.id)
        self._record.write(f'run request={request_id} server={server.id}')


class Server:
    """A backend server that answers with records of 16 bytes.

    ``plan(server, request)`` returns how long the server works on a request,
    in seconds, or an awaitable of that. ``decorate(server, request)`` may
    return further headers.
    """

    def __init__(self, server_id, service, zone, ledger, slots=2):
        self.id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = ''
        self.plan = lambda server, request: 0.02
        self.decorate = lambda server, request: []
        self.body_records = 4
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(slots)
        self._ledger = ledger
        self._rng = random.Random(server_id)
        self._number = 0
        self._server = None

    async def start(self, ip='127.0.0.1', port=0):
        """Listen; a free port is chosen by default."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def create_entry(self, **fields):
        """Return the entry of the server for the store."""
        return {
            'Backend': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': '1',
            'MaxConcurrency': self.slots,
            'State': 'ready',
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': 1_700_000_000_000,
            **fields,
        }

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                work = asyncio.ensure_future(self._answer(request))
                gone = asyncio.ensure_future(_wait_for_close(reader, writer))
                await asyncio.wait(
                    (work, gone), return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not work.done():
                    # The caller has closed: the work is dropped.
                    work.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await work
                    break
                answer = work.result()
                writer.write(answer)
                await writer.drain()
                if b'\r\nConnection: close\r\n' in answer:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        request_id = request.get('x-request-id')
        base = [('X-Request-Id', request_id)]
        if request.start.split()[1] == '/health':
            return self._format(200, [('X-Instance-Id', self.id)], b'')
        if request.get('x-target-instance') != self.id:
            return self._format(421, base, b'')
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                self._number += 1
                seal = f'{self.id}.{self._number}.{request_id[-6:]}'
                body = self._rng.randbytes(RECORD_BYTES * self.body_records)
                self._ledger.add(seal, request_id, self, body)
                work_s = self.plan(self, request)
                if asyncio.iscoroutine(work_s):
                    work_s = await work_s
                await asyncio.sleep(work_s)
            finally:
                self._running -= 1
        fields = [*base, ('X-Server-Seal', seal)]
        return self._format(200, fields + self.decorate(self, request), body)

    def _format(self, status, fields, body):
        load = f'{self._running},{self._waiting},{self.slots}'
        return format_message(
            f'HTTP/1.1 {status} Status',
            [*fields, ('X-Server-Load', load), ('Keep-Alive', 'timeout=10')],
            body,
        )


async def _wait_for_close(reader, writer):
    """Return when the peer has closed; never if it sends a further request."""
    while not reader.at_eof() and not writer.is_closing():
        await asyncio.sleep(0.01)


class Node:
    """A gateway node, started with the command of the deploy file."""

    def __init__(self, name, ip, zone, zones, region, store, folder):
        self.name = name
        self.ip = ip
        self.ports = dict(
            zip(('front', 'ready', 'control'), pick_ports(ip, 3), strict=True)
        )
        self.control = f'{ip}:{self.ports["control"]}'
        self._path = pathlib.Path(folder, f'{name}.toml')
        self._log_path = pathlib.Path(folder, f'{name}.log')
        self._fields = {
            'name': name,
            'ip': ip,
            'zone': zone,
            'region': region,
            'zones': '\n'.join(f'{x} = "{region}"' for x in zones),
            'store': store,
            **self.ports,
        }
        self._process = None

    def start(self, seeds):
        """Start the process."""
        quoted = ','.join(f'"{seed}"' for seed in seeds)
        self._path.write_text(_SETTINGS.format(**self._fields, seeds=quoted))
        command, variables = _read_deploy_file()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= {
            **variables,
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
            'HAWTHORNFOLD_NODE_FILE': str(self._path),
        }
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    def poll(self):
        """Return the exit status, or None while the process runs."""
        return self._process.poll()

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            # A process that was stopped dies as well.
            self._process.send_signal(signal.SIGKILL)
            self._process.wait(10)

    def read_log(self):
        """Return what the process has written."""
        return self._log_path.read_text(errors='replace')

    async def fetch(self, path):
        """Return the answer of the ready address, or None."""
        try:
            return await send_request(
                self.ip, self.ports['ready'], 'GET', path, [], timeout_s=1.0
            )
        except (OSError, TimeoutError):
            return None

    async def is_ready(self):
        """Return whether the balancer would send callers to the node."""
        answer = await self.fetch('/api/ready')
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout_s=20.0, node_count=1):
        """Wait until the node is ready and knows the other nodes."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.poll() is not None:
                raise CannotRunError(f'{self.name} ended: {self.read_log()}')
            if await self.is_ready():
                answer = await self.fetch('/status')
                if (
                    answer is not None
                    and json.loads(answer.body)['nodes'] >= node_count
                ):
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f'{self.name} is not ready: {self.read_log()}')


def _read_deploy_file():
    """Return the command and the environment of the gateway role."""
    import tomllib

    text = (ROOT / 'deploy' / 'system.toml').read_text()
    role = tomllib.loads(text)['roles']['gateway']
    return role['run'].split(), role.get('env', {})


def pick_ports(ip, count):
    """Return free ports of an address, below the range of the kernel."""
    ports = []
    candidates = list(range(10_000, 30_000))
    random.SystemRandom().shuffle(candidates)
    for port in candidates:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError('no free ports')


def pick_ips(count):
    """Return loopback addresses on which the metrics port is free."""
    rng = random.SystemRandom()
    ips = []
    for _ in range(1_000):
        ip = f'127.{rng.randint(1, 250)}.{rng.randint(0, 250)}.7'
        with socket.socket() as probe:
            try:
                probe.bind((ip, _METRICS_PORT))
            except OSError:
                continue
        if ip not in ips:
            ips.append(ip)
        if len(ips) == count:
            return ips
    raise CannotRunError('no free loopback addresses')


async def send_request(
    ip, port, method, path, fields, body=b'', timeout_s=10.0
):
    """Send a request on a new connection; return the response."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            start = f'{method} {path} HTTP/1.1'
            names = {name.lower() for name, _ in fields}
            host = [] if 'host' in names else [('Host', f'{ip}:{port}')]
            writer.write(format_message(start, host + fields, body))
            await writer.drain()
            answer = await read_message(reader, is_response=True)
            if answer is None:
                raise ConnectionError('closed without an answer')
            return answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


async def query(node, path, request_id, deadline_ms, record, **options):
    """Send a client's request; return the response or the error.

    What was sent and answered is recorded.
    """
    fields = [
        ('Host', 'a.example'),
        ('X-Request-Id', request_id),
        ('X-Deadline-Ms', str(deadline_ms)),
    ]
    method = options.pop('method', 'GET')
    record.write(f'sent request={request_id} node={node.name} path={path}')
    started_s = time.monotonic()
    try:
        answer = await send_request(
            node.ip,
            node.ports['front'],
            method,
            path,
            fields,
            timeout_s=deadline_ms / 1000.0 + 1.0,
            **options,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(
            f'answered request={request_id} error={type(error).__name__}'
        )
        return error
    elapsed_ms = 1000.0 * (time.monotonic() - started_s)
    record.write(
        f'answered request={request_id} status={answer.status} '
        f'ms={elapsed_ms:.0f} seal={answer.get("x-server-seal") or "-"} '
        f'part_seals={answer.get("x-part-seals") or "-"} '
        f'missing={answer.get("x-missing-parts") or "-"}'
    )
    return answer


def create_route(name, prefix, kind='idempotent', **fields):
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': 'a.example',
        'Prefix': prefix,
        'RouteType': kind,
        'MaxAttempts': 2,
        'Priority': 1,
        **fields,
    }


def create_configuration(version, routes, services, max_conns):
    """Return a configuration as the operator writes it."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/health', 'MaxConns': max_conns}
            for name in services
        ],
        'Limits': LIMITS,
    }


def find_mixed(answer, request_id, ledger, top, shards):
    """Return what is wrong with a gathered success, as a list of texts."""
    seals = [x.strip() for x in answer.get('x-part-seals').split(',')]
    faults, bodies, services = [], [], []
    for seal in seals:
        known = ledger.seals.get(seal)
        if known is None:
            faults.append(f'seal {seal!r} is of no server')
            continue
        if known[0] != request_id:
            faults.append(f'seal {seal} answers request {known[0]}')
        services.append(known[1])
        bodies.append(known[3])
    if len(set(services)) < len(services):
        faults.append('two parts are of one service')
    missing = int(answer.get('x-missing-parts', '0'))
    if len(seals) + missing != len(shards):
        faults.append('parts and missing parts are not the set of shards')
    joined = b''.join(bodies)
    records = sorted(
        (joined[i : i + RECORD_BYTES] for i in range(0, len(joined), 16)),
        reverse=True,
    )
    if answer.body != b''.join(records[:top]):
        faults.append('the body is not the greatest records of the parts')
    return faults


@contextlib.contextmanager
def open_folder():
    """Yield a temporary folder for the settings and logs of the nodes."""
    with tempfile.TemporaryDirectory() as temporary:
        try:
            yield temporary
        finally:
            _keep_logs(temporary)


def _keep_logs(temporary):
    """Copy the logs of the nodes to the folder that KEEP_LOGS names."""
    folder = os.environ.get('KEEP_LOGS')
    if folder:
        for log in pathlib.Path(temporary).glob('*.log'):
            pathlib.Path(folder, log.name).write_bytes(log.read_bytes())


async def _run(case, record, temporary, has_trouble):
    """Run a case within the time limit; end all its tasks."""
    own = asyncio.current_task()
    # Ends the nodes also if the script is stopped from outside.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
    try:
        return await asyncio.wait_for(
            case(record, temporary, has_trouble), RUN_LIMIT_S
        )
    finally:
        tasks = [x for x in asyncio.all_tasks() if x is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Let the transports close before the loop does.
        await asyncio.sleep(0.05)


def run_case(folder, case):
    """Run ``case(record, temporary, has_trouble)`` and exit.

    The coroutine returns the list of what broke the rule.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.write(f'started trouble={int(has_trouble)}')
    try:
        with open_folder() as temporary:
            faults = asyncio.run(_run(case, record, temporary, has_trouble))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        # Whatever fails in the script itself shows nothing.
        record.write(f'cannot run: {type(error).__name__} {error}')
        raise SystemExit(2)
    for fault in faults:
        record.write(f'broken: {fault}')
    record.write('the rule was broken' if faults else 'the rule held')
    raise SystemExit(1 if faults else 0)
