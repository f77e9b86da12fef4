"""A randomized soak test of gateway processes under injected faults.

    python -m hawthornfold.platform.tests.soak --seed 1 --seeds 5 --seconds 20

With ``--old-release COMMIT`` the nodes start with the sources of that commit,
and are upgraded and returned to it one by one, beside all other faults.

Callers reuse connections until they close. Faults overlap at random: links
that delay, reset, stall, cut or lose one direction, faulty servers, servers
that end and return, a store that refuses, is silent, cuts calls or returns
from an older copy, and processes that are stopped, paused, killed, restarted
and signalled in series, also while they start and stop. New configurations,
settings and drains are published meanwhile. The guarantees are checked from
what callers and servers observe, and from the exit statuses of the processes.
"""

import argparse
import contextlib
import http.client
import json
import math
import random
import sys
import threading
import time

from hawthornfold.platform.tests import soak_environment
from hawthornfold.platform.tests import soak_faults
from hawthornfold.platform.tests.soak_faults import STABLE_S

# Bounds that the platform's documentation states: time until a configuration
# is applied, and until the nodes have recovered from faults.
CONFIG_APPLY_S = 3.0
RECOVERY_S = 12.0
# Bounds how long after the caller's deadline of 1.5 s an answer may come.
MAX_OVERDUE_S = 0.5
DEADLINE_MS = 1_500
CALLERS = 6
# Statuses that mean that no server executed the request.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Names in refusals of a node that has no rule for the path, but does not know
# whether its configuration is the newest. Like status 404, they mean that it
# has not applied the version.
UNAPPLIED_CODES = (b'BELIEFS_STALE', b'NOT_READY')
# Nodes of an earlier release may not handle all signals at any moment.
TWO_RELEASES_FAULTS = (*soak_faults.FAULTS, *soak_faults.RELEASE_FAULTS)
ALL_FAULTS = (
    *soak_faults.FAULTS,
    *soak_faults.PROCESS_FAULTS,
    *soak_faults.RETURN_FAULTS,
)


class Soak:
    """Runs the faults and callers of one seed and collects violations.

    Parameters
    ----------
    seed : int
        Determines the faults and the requests.
    environment : soak_environment.Environment
        The components.
    faults : tuple of str
        Kinds of faults to choose from.
    """

    def __init__(self, seed, environment, faults):
        self._seed = seed
        self._rng = random.Random(seed)
        self._environment = environment
        self._faults = faults
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._injector = soak_faults.FaultInjector(
            self._rng, environment, self._report_violation
        )
        # Newest version that a node served, by (number, incarnation).
        self._newest_versions = {}
        # Request id and status of each non-idempotent request.
        self._non_idempotent_results = []
        self._counts = {}
        self.violations = []

    @property
    def counts(self):
        """Number of faults by kind, and of requests by kind and status."""
        return {**self._injector.counts, **self._counts}

    def run(self, seconds):
        """Inject faults for some seconds, then check the recovery."""
        threads = [
            threading.Thread(target=self._run_caller, args=(n,))
            for n in range(CALLERS)
        ]
        threads.append(
            threading.Thread(
                target=self._injector.supervise, args=(self._stop,)
            )
        )
        for thread in threads:
            thread.start()
        end = time.monotonic() + seconds
        fault_threads = []
        while time.monotonic() < end:
            fault = threading.Thread(
                target=self._injector.inject,
                args=(self._rng.choice(self._faults),),
            )
            fault.start()
            fault_threads.append(fault)
            time.sleep(self._rng.uniform(0.2, 1.5))
        for fault in fault_threads:
            fault.join()
        self._check_recovery()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._check_ledger()

    def _report_violation(self, text):
        with self._lock:
            self.violations.append(text)

    def _run_caller(self, caller):
        rng = random.Random(f'{self._seed}-{caller}')
        connection, number, count = None, 0, 0
        while not self._stop.is_set():
            if connection is None or rng.random() < 0.05:
                number = rng.randrange(len(self._environment.nodes))
                node = self._environment.nodes[number]
                connection = http.client.HTTPConnection(
                    node.ip, node.ports['front'], timeout=10.0
                )
            count += 1
            request_id = f'{self._seed}-{caller}-{count}'
            if not self._send_request(rng, connection, number, request_id):
                connection.close()
                connection = None
                time.sleep(0.02)

    def _send_request(self, rng, connection, number, request_id):
        """Send one request; return whether the connection is reusable."""
        kind = rng.choice(('/g/', '/g/', '/p/', '/v'))
        version = rng.randint(1, self._environment.version)
        path = f'/v{version}/' if kind == '/v' else kind
        incarnation = self._injector.incarnation(number)
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
            self._record_result(kind, request_id, None)
            return False
        elapsed = time.monotonic() - started
        self._check_answer(response, data, kind, request_id)
        self._record_result(kind, request_id, response.status)
        was_node_stable = self._injector.node_stable_s(number) > STABLE_S
        if elapsed > DEADLINE_MS / 1000.0 + MAX_OVERDUE_S and was_node_stable:
            self._report_violation(
                f'{request_id} was answered after {elapsed:.2f} s'
            )
        if kind == '/v':
            has_applied = response.status != 404 and not any(
                name in data for name in UNAPPLIED_CODES
            )
            self._check_version(
                has_applied, number, incarnation, version, started
            )
        return not response.will_close

    def _record_result(self, kind, request_id, status):
        with self._lock:
            key = f'{kind} {status}'
            self._counts[key] = self._counts.get(key, 0) + 1
            if kind == '/p/':
                self._non_idempotent_results.append((request_id, status))

    def _check_answer(self, response, data, kind, request_id):
        if response.status != 200:
            return
        ledger = self._environment.ledger
        if kind != '/g/':
            part = ledger.find_part(response.headers['X-Server-Seal'])
            if part is None or (part[0], part[2]) != (request_id, data):
                self._report_violation(
                    f"{request_id} got another request's answer"
                )
            return
        seals = response.headers['X-Part-Seals'].split(', ')
        parts = [ledger.find_part(seal) for seal in seals]
        services = {part[1] for part in parts if part}
        missing = int(response.headers['X-Missing-Parts'])
        if None in parts or {part[0] for part in parts} != {request_id}:
            self._report_violation(
                f'{request_id} names a part of another request'
            )
        elif len(services) != len(parts) or len(parts) + missing != len(
            soak_environment.SHARDS
        ):
            self._report_violation(f'{request_id} has a wrong count of parts')
        elif len(parts) < math.ceil(
            soak_environment.MIN_SHARE * len(soak_environment.SHARDS)
        ):
            self._report_violation(f'{request_id} has too few parts')
        elif data != _merge(part[2] for part in parts):
            self._report_violation(
                f'{request_id} is not merged from its parts'
            )

    def _check_version(
        self, has_applied, number, incarnation, version, started
    ):
        with self._lock:
            key = (number, incarnation)
            newest = self._newest_versions.get(key, 0)
            if has_applied:
                self._newest_versions[key] = max(newest, version)
                return
        if (
            incarnation == self._injector.incarnation(number)
            and newest >= version
        ):
            self._report_violation(
                f'node {number} no longer serves v{version}'
            )
        age_s = started - self._environment.published_at[version]
        # How long both had been stable when the request was sent.
        stable_s = min(
            self._injector.node_stable_s(number),
            self._injector.store_stable_s(),
        ) - (time.monotonic() - started)
        if age_s > CONFIG_APPLY_S and stable_s > STABLE_S:
            self._report_violation(
                f'node {number} lacks v{version} after {age_s:.1f} s'
            )

    def _check_recovery(self):
        self._environment.store.mode = 'ok'
        self._environment.proxy.set_fault('*')
        for server in self._environment.servers.values():
            server.fault = None
        end = time.monotonic() + RECOVERY_S
        for number, node in enumerate(self._environment.nodes):
            while not node.is_ready():
                if time.monotonic() > end:
                    self._report_violation(
                        f'node {number} did not become ready'
                    )
                    return
                time.sleep(0.1)
        time.sleep(max(0.0, end - time.monotonic()))
        self._check_positions()
        statuses = [
            node.query('/g/', f'{self._seed}-end-{number}-{n}').status
            for number, node in enumerate(self._environment.nodes)
            for n in range(20)
        ]
        served = statuses.count(200) / len(statuses)
        if served < 0.9:
            self._report_violation(
                f'only {served:.0%} served after the faults'
            )

    def _check_positions(self):
        """Check that all nodes hold what the store holds."""
        store = self._environment.store
        listed = {
            key for key in self._environment.entries if key != 'op/config'
        }
        for number, node in enumerate(self._environment.nodes):
            status = json.loads(
                node.send_request('/status', port='ready').data
            )
            held = (status['store_era'], status['store_revision'])
            if held != store.position:
                self._report_violation(
                    f'node {number} is at {held}, the store at '
                    f'{store.position}'
                )
            if status['servers'] != len(listed):
                self._report_violation(
                    f'node {number} knows {status["servers"]} servers'
                )
            if status['version'] != self._environment.version:
                self._report_violation(
                    f'node {number} is at version {status["version"]}'
                )

    def _check_ledger(self):
        # Slow servers may still start requests that were sent before.
        time.sleep(1.0)
        for request_id, status in self._non_idempotent_results:
            servers = self._environment.ledger.list_servers(request_id)
            if len(servers) > 1:
                self._report_violation(
                    f'{request_id} ran {len(servers)} times'
                )
            if servers and status in NOT_EXECUTED_STATUSES:
                self._report_violation(
                    f'{request_id} ran and was answered {status}'
                )


def _merge(bodies):
    records = []
    for body in bodies:
        for start in range(0, len(body), soak_environment.RECORD_BYTES):
            records.append(body[start : start + soak_environment.RECORD_BYTES])
    return b''.join(
        sorted(records, reverse=True)[: soak_environment.RECORD_LIMIT]
    )


def run_seed(seed, seconds, old_release=None, faults=None):
    """Run one seed; return its `Soak` and the nodes' logs."""
    if faults is None:
        faults = ALL_FAULTS if old_release is None else TWO_RELEASES_FAULTS
    with contextlib.ExitStack() as stack:
        environment = soak_environment.Environment(seed, stack, old_release)
        soak = Soak(seed, environment, faults)
        soak.run(seconds)
        return soak, [node.read_log() for node in environment.nodes]


def main():
    """Run seeds from the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--seed', type=int, default=None)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--old-release', default=None)
    parser.add_argument('--logs', default='')
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    failed = 0
    for seed in range(first, first + arguments.seeds):
        soak, logs = run_seed(seed, arguments.seconds, arguments.old_release)
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
