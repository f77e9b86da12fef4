"""A randomized soak: real gateway processes under faults from outside.

    python -m hawthornfold.platform.tests.soak --seed 1 --seeds 5 --seconds 20

Callers use open connections until they end. Faults come in overlapping
series: links that delay, reset, stall, cut or lose one way, servers that
misbehave, a store that refuses or falls silent, processes that are stopped,
paused, killed and restarted, configurations and drains. The promises are
checked from what callers and servers see.
"""

import argparse
import contextlib
import http.client
import random
import signal
import sys
import threading
import time

from hawthornfold.platform.tests import soak_world

# The stated bounds of the platform's pages.
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
RECOVERY_S = 12.0
GRACE_S = 6.0
# A node is in touch after this long without a fault.
STABLE_S = 4.0
# Answers come at most this long after the caller's deadline of 1.5 s.
LATE_S = 0.5
DEADLINE_MS = 1_500
CALLERS = 6
NOT_RUN = (408, 421, 429, 503)
FAULTS = (
    'link',
    'link',
    'server',
    'server',
    'store',
    'pause',
    'kill',
    'terminate',
    'publish',
    'drain',
)


class Soak:
    """One seed: its faults, its callers and what they found."""

    def __init__(self, seed, world):
        self._seed = seed
        self._rng = random.Random(seed)
        self._world = world
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._is_calm = False
        # When each node was last disturbed, by its number.
        self._disturbed = dict.fromkeys(range(len(world.nodes)), 0.0)
        self._store_disturbed = 0.0
        self._lives = dict.fromkeys(range(len(world.nodes)), 0)
        self._seen_versions = {}
        self._single_run = []
        self.counts = {}
        self.violations = []

    def run(self, seconds):
        """Play faults for some seconds; then check the recovery."""
        threads = [
            threading.Thread(target=self._call_always, args=(n,))
            for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            fault = threading.Thread(
                target=self._play, args=(self._rng.choice(FAULTS),)
            )
            fault.start()
            running.append(fault)
            time.sleep(self._rng.uniform(0.2, 1.5))
        for fault in running:
            fault.join()
        self._check_recovery()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._check_ledger()

    def _blame(self, text):
        with self._lock:
            self.violations.append(text)

    def _play(self, kind):
        rng = random.Random(self._rng.random())
        with self._lock:
            self.counts[kind] = self.counts.get(kind, 0) + 1
        getattr(self, f'_play_{kind}')(rng, rng.uniform(0.3, 2.5))

    def _play_link(self, rng, for_s):
        name = rng.choice([*self._world.servers, 'store'])
        fault = rng.choice(soak_world.LINK_FAULTS)
        self._world.proxy.set_fault(name, **fault)
        time.sleep(for_s)
        self._world.proxy.set_fault(name)
        if name == 'store':
            self._store_disturbed = time.monotonic()

    def _play_server(self, rng, for_s):
        server = rng.choice(list(self._world.servers.values()))
        server.fault = rng.choice(soak_world.SERVER_FAULTS)
        time.sleep(for_s)
        server.fault = None

    def _play_store(self, rng, for_s):
        self._store_disturbed = time.monotonic() + for_s
        self._world.store.mode = 'busy'
        time.sleep(for_s)
        self._world.store.mode = 'ok'
        if rng.random() < 0.5:
            self._world.store.forget_history()
        self._store_disturbed = time.monotonic()

    @contextlib.contextmanager
    def _disturb(self, rng):
        number = rng.randrange(len(self._world.nodes))
        self._disturbed[number] = time.monotonic() + 60.0
        try:
            yield number, self._world.nodes[number]
        finally:
            self._disturbed[number] = time.monotonic()

    def _play_pause(self, rng, for_s):
        with self._disturb(rng) as (_, node):
            node.send_signal(signal.SIGSTOP)
            time.sleep(for_s)
            node.send_signal(signal.SIGCONT)

    def _play_kill(self, rng, for_s):
        with self._disturb(rng) as (number, node):
            node.kill()
            self._lives[number] += 1
            time.sleep(for_s / 3.0)
            node.restart()

    def _play_terminate(self, rng, for_s):
        with self._disturb(rng) as (number, node):
            started = time.monotonic()
            node.terminate()
            node.wait()
            self._lives[number] += 1
            if time.monotonic() - started > GRACE_S + for_s:
                self._blame(f'node {number} stopped too late')
            node.restart()

    def _play_publish(self, rng, for_s):
        self._world.publish()

    def _play_drain(self, rng, for_s):
        name = rng.choice([*self._world.servers])
        server = self._world.servers[name]
        if server.drained_at is not None:
            return
        self._world.register(name, State='draining')
        server.drained_at = time.monotonic()
        time.sleep(DRAIN_S + 1.0)
        late = [s for s in server.late_arrivals if s > DRAIN_S]
        server.drained_at = None
        server.late_arrivals = []
        is_touched = self._is_store_calm(DRAIN_S + 1.0 + STABLE_S)
        if late and is_touched and self._are_nodes_calm():
            self._blame(f'{name} got work {max(late):.2f} s after its drain')
        self._world.register(name)

    def _is_store_calm(self, seconds):
        return time.monotonic() - self._store_disturbed > seconds

    def _are_nodes_calm(self):
        now = time.monotonic()
        return all(now - at > STABLE_S for at in self._disturbed.values())

    def _call_always(self, caller):
        rng = random.Random(f'{self._seed}-{caller}')
        connection, number, count = None, 0, 0
        while not self._stop.is_set():
            if connection is None or rng.random() < 0.05:
                number = rng.randrange(len(self._world.nodes))
                node = self._world.nodes[number]
                connection = http.client.HTTPConnection(
                    node.ip, node.ports['front'], timeout=10.0
                )
            count += 1
            request_id = f'{self._seed}-{caller}-{count}'
            if not self._call(rng, connection, number, request_id):
                connection.close()
                connection = None
                time.sleep(0.02)

    def _call(self, rng, connection, number, request_id):
        """Send one request; return whether the connection goes on."""
        kind = rng.choice(('/g/', '/g/', '/p/', '/v'))
        version = rng.randint(1, self._world.version)
        path = f'/v{version}/' if kind == '/v' else kind
        life = self._lives[number]
        started = time.monotonic()
        headers = {
            'Host': 'a.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(DEADLINE_MS),
        }
        method, body = ('POST', b'pay') if kind == '/p/' else ('GET', None)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            self._note(kind, request_id, None)
            return False
        elapsed = time.monotonic() - started
        self._check(response, data, kind, request_id)
        self._note(kind, request_id, response.status)
        is_calm = time.monotonic() - self._disturbed[number] > STABLE_S
        if elapsed > DEADLINE_MS / 1000.0 + LATE_S and is_calm:
            self._blame(f'{request_id} was answered after {elapsed:.2f} s')
        if kind == '/v':
            self._check_version(
                response.status, number, life, version, started
            )
        return not response.will_close

    def _note(self, kind, request_id, status):
        with self._lock:
            key = f'{kind} {status}'
            self.counts[key] = self.counts.get(key, 0) + 1
            if kind == '/p/':
                self._single_run.append((request_id, status))

    def _check(self, response, data, kind, request_id):
        if response.status != 200:
            return
        ledger = self._world.ledger
        if kind != '/g/':
            part = ledger.part(response.headers['X-Server-Seal'])
            if part is None or (part[0], part[2]) != (request_id, data):
                self._blame(f"{request_id} got another's answer")
            return
        seals = response.headers['X-Part-Seals'].split(', ')
        parts = [ledger.part(seal) for seal in seals]
        services = {part[1] for part in parts if part}
        missing = int(response.headers['X-Missing-Parts'])
        if None in parts or {part[0] for part in parts} != {request_id}:
            self._blame(f'{request_id} names a part of another request')
        elif len(services) != len(parts) or len(parts) + missing != len(
            soak_world.SHARDS
        ):
            self._blame(f'{request_id} counts its parts wrongly')
        elif len(parts) < 3:
            self._blame(f'{request_id} has too few parts')
        elif data != _merge(part[2] for part in parts):
            self._blame(f'{request_id} is not merged from its parts')

    def _check_version(self, status, number, life, version, started):
        with self._lock:
            key = (number, life)
            newest = self._seen_versions.get(key, 0)
            if status != 404:
                self._seen_versions[key] = max(newest, version)
                return
        if life == self._lives[number] and newest >= version:
            self._blame(f'node {number} went back before v{version}')
        age = started - self._world.published[version]
        calm = started - max(self._disturbed[number], self._store_disturbed)
        if age > CONFIG_APPLY_S and calm > STABLE_S:
            self._blame(f'node {number} lacks v{version} after {age:.1f} s')

    def _check_recovery(self):
        self._world.store.mode = 'ok'
        self._world.proxy.set_fault('*')
        for server in self._world.servers.values():
            server.fault = None
        end = time.monotonic() + RECOVERY_S
        for number, node in enumerate(self._world.nodes):
            while not node.is_ready():
                if time.monotonic() > end:
                    self._blame(f'node {number} did not become ready')
                    return
                time.sleep(0.1)
        time.sleep(max(0.0, end - time.monotonic()))
        statuses = [
            node.query('/g/', f'{self._seed}-end-{number}-{n}').status
            for number, node in enumerate(self._world.nodes)
            for n in range(20)
        ]
        served = statuses.count(200) / len(statuses)
        if served < 0.9:
            self._blame(f'only {served:.0%} served after the faults')

    def _check_ledger(self):
        # Servers that were slow may still begin what was sent.
        time.sleep(1.0)
        for request_id, status in self._single_run:
            runs = self._world.ledger.runs(request_id)
            if len(runs) > 1:
                self._blame(f'{request_id} ran {len(runs)} times')
            if runs and status in NOT_RUN:
                self._blame(f'{request_id} ran and was answered {status}')


def _merge(bodies):
    records = []
    for body in bodies:
        for start in range(0, len(body), soak_world.RECORD_BYTES):
            records.append(body[start : start + soak_world.RECORD_BYTES])
    return b''.join(sorted(records, reverse=True)[: soak_world.TOP])


def run_seed(seed, seconds):
    """Run one seed; return its `Soak` and the nodes' logs."""
    with contextlib.ExitStack() as stack:
        world = soak_world.World(seed, stack)
        soak = Soak(seed, world)
        soak.run(seconds)
        return soak, [node.read_log() for node in world.nodes]


def main():
    """Run seeds from the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--seed', type=int, default=None)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--logs', default='')
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    failed = 0
    for seed in range(first, first + arguments.seeds):
        soak, logs = run_seed(seed, arguments.seconds)
        answered = sum(n for key, n in soak.counts.items() if '/' in key)
        faults = sum(n for key, n in soak.counts.items() if '/' not in key)
        print(
            f'seed {seed}: {faults} faults, {answered} requests, '
            f'{len(soak.violations)} violations',
            flush=True,
        )
        for text in soak.violations[:10]:
            print(f'  {text}', flush=True)
        if soak.violations:
            failed += 1
            if arguments.logs:
                for number, log in enumerate(logs):
                    path = f'{arguments.logs}-{seed}-{number}.log'
                    with open(path, 'w') as file:
                        file.write(log)
    print(f'{arguments.seeds - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
