"""The faults of the soak, and when the last one of each component ended."""

import contextlib
import math
import random
import signal
import subprocess
import threading
import time

from hawthornfold.gateway.process import EXIT_INVALID
from hawthornfold.platform.tests import soak_environment
from hawthornfold.platform.tests import support

# Bounds that the platform's documentation states: time until a draining server
# receives no more work, and until a stopping process has ended.
DRAIN_S = 3.0
GRACE_S = 6.0
# A node or the store counts as stable this long after its last fault.
STABLE_S = 4.0
# Kinds of faults; one that is listed twice is chosen twice as often.
FAULTS = (
    'link',
    'link',
    'server',
    'server',
    'store',
    'restore',
    'pause',
    'kill',
    'terminate',
    'publish',
    'drain',
)
# Faults of a process's life, in series and beside all others.
PROCESS_FAULTS = ('reload', 'reload', 'start', 'start', 'stop', 'stop')
# A server that ends and returns under its id, and a store that cuts calls.
RETURN_FAULTS = ('crash', 'crash', 'cut')
# While nodes run two releases.
RELEASE_FAULTS = 5 * ('release',)
# A process that has read invalid settings at its start ends within this time.
START_S = 3.0
# Interval at which ends of processes that no fault has caused are noticed.
SUPERVISION_S = 0.02


class FaultInjector:
    """Injects faults, and reports ends of processes that they do not explain.

    Parameters
    ----------
    rng : random.Random
        Chooses what is affected, and for how long.
    environment : soak_environment.Environment
        The components.
    report_violation : callable
        Takes the text of a violation.
    """

    def __init__(self, rng, environment, report_violation):
        self._rng = rng
        self._environment = environment
        self._report_violation = report_violation
        self._lock = threading.Lock()
        numbers = range(len(environment.nodes))
        # When the last fault of each node ended, by number of the node; in
        # the future while a fault lasts.
        self._node_fault_times = dict.fromkeys(numbers, 0.0)
        self._store_fault_time = 0.0
        # Number of faults in progress that end the process of a node.
        self._end_counts = dict.fromkeys(numbers, 0)
        # Ids of the processes that were killed.
        self._killed = set()
        # When the settings of each node were last invalid.
        self._invalid_times = dict.fromkeys(numbers, -math.inf)
        self._incarnations = dict.fromkeys(numbers, 0)
        self.counts = {}

    def inject(self, kind):
        """Inject a fault and wait for its end."""
        rng = random.Random(self._rng.random())
        with self._lock:
            self.counts[kind] = self.counts.get(kind, 0) + 1
        try:
            getattr(self, f'_inject_{kind}')(rng, rng.uniform(0.3, 2.5))
        except Exception as error:  # noqa: BLE001
            self._report_violation(f'the fault {kind} failed: {error!r}')

    def incarnation(self, number):
        """Return how often the process of a node was replaced."""
        return self._incarnations[number]

    def node_stable_s(self, number):
        """Return for how long a node has had no fault."""
        return time.monotonic() - self._node_fault_times[number]

    def are_nodes_stable(self):
        """Return whether all nodes count as stable."""
        return all(
            self.node_stable_s(number) > STABLE_S
            for number in self._node_fault_times
        )

    def store_stable_s(self):
        """Return for how long the store has had no fault."""
        return time.monotonic() - self._store_fault_time

    def supervise(self, stop):
        """Restart processes that end by themselves, which is a violation.

        Parameters
        ----------
        stop : threading.Event
            Ends the supervision.
        """
        while not stop.wait(SUPERVISION_S):
            for number, node in enumerate(self._environment.nodes):
                with self._lock:
                    process = node.process
                    status = process.poll()
                    if status is None or self._end_counts[number]:
                        continue
                    self._node_fault_times[number] = time.monotonic()
                    self._incarnations[number] += 1
                invalid_s = time.monotonic() - self._invalid_times[number]
                if status != EXIT_INVALID or invalid_s > START_S:
                    self._report_violation(
                        f'node {number} ended by itself with status {status}'
                    )
                node.ensure_running()

    def _inject_link(self, rng, duration_s):
        name = rng.choice([*self._environment.servers, 'store'])
        fault = rng.choice(soak_environment.LINK_FAULTS)
        self._environment.proxy.set_fault(name, **fault)
        time.sleep(duration_s)
        self._environment.proxy.set_fault(name)
        if name == 'store':
            self._store_fault_time = time.monotonic()

    def _inject_server(self, rng, duration_s):
        server = rng.choice(list(self._environment.servers.values()))
        server.fault = rng.choice(soak_environment.SERVER_FAULTS)
        time.sleep(duration_s)
        server.fault = None

    def _inject_crash(self, rng, duration_s):
        """End a server; start it again under its id, perhaps as expired."""
        name = rng.choice([*self._environment.servers])
        server = self._environment.servers[name]
        with server.lock:
            self._environment.proxy.set_fault(name, reset=True)
            has_expired = rng.random() < 0.5
            time.sleep(duration_s)
            if has_expired:
                self._environment.remove_server(name)
                time.sleep(rng.uniform(0.0, 1.0))
            self._environment.proxy.set_fault(name)
            server.restart()
            self._environment.register_server(name)

    def _inject_cut(self, rng, duration_s):
        """Cut the waiting calls of the store, again and again."""
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            self._environment.store.cut_waiting_calls()
            time.sleep(rng.uniform(0.02, 0.8))

    def _inject_store(self, rng, duration_s):
        self._store_fault_time = time.monotonic() + duration_s
        self._environment.store.mode = 'busy'
        time.sleep(duration_s)
        self._environment.store.mode = 'ok'
        if rng.random() < 0.5:
            self._environment.store.discard_history()
        self._store_fault_time = time.monotonic()

    def _inject_restore(self, rng, duration_s):
        """Take the store away; return it from a copy some seconds old."""
        self._store_fault_time = time.monotonic() + 60.0
        store = self._environment.store
        store.mode = 'busy'
        time.sleep(duration_s / 3.0)
        store.restore(rng.uniform(0.5, 5.0))
        store.mode = 'ok'
        time.sleep(rng.uniform(0.2, 1.5))
        self._environment.write_again()
        self._store_fault_time = time.monotonic()

    @contextlib.contextmanager
    def _mark_random_node(self, rng):
        """Yield the number and node; it counts as faulty until the end."""
        number = rng.randrange(len(self._environment.nodes))
        self._node_fault_times[number] = time.monotonic() + 60.0
        try:
            yield number, self._environment.nodes[number]
        finally:
            self._node_fault_times[number] = time.monotonic()

    @contextlib.contextmanager
    def _expect_end(self, number):
        """Expect that the process of a node ends; start it again."""
        with self._lock:
            self._end_counts[number] += 1
        try:
            yield
        finally:
            self._environment.nodes[number].ensure_running()
            with self._lock:
                self._end_counts[number] -= 1
                self._incarnations[number] += 1

    def _kill(self, node):
        self._killed.add(node.pid)
        node.kill()

    def _wait_for_stop(self, number, process):
        """Check that a process that was told to stop ends with status 0."""
        started = time.monotonic()
        try:
            status = process.wait(GRACE_S + 3.0)
        except subprocess.TimeoutExpired:
            self._report_violation(f'node {number} did not stop')
            process.kill()
            return
        # A pause may delay the stop by its length.
        if time.monotonic() - started > GRACE_S + 2.5:
            self._report_violation(f'node {number} stopped too late')
        if status != 0 and process.pid not in self._killed:
            self._report_violation(
                f'node {number} stopped with status {status}'
            )

    def _inject_pause(self, rng, duration_s):
        with self._mark_random_node(rng) as (_, node):
            node.send_signal(signal.SIGSTOP)
            time.sleep(duration_s)
            node.send_signal(signal.SIGCONT)

    def _inject_kill(self, rng, duration_s):
        with self._mark_random_node(rng) as (number, node):
            with self._expect_end(number):
                self._kill(node)
                time.sleep(duration_s / 3.0)

    def _inject_terminate(self, rng, duration_s):
        with self._mark_random_node(rng) as (number, node):
            with self._expect_end(number):
                process = node.process
                process.terminate()
                self._wait_for_stop(number, process)

    def _inject_stop(self, rng, duration_s):
        """Stop a node with a series of signals until its process has ended."""
        with self._mark_random_node(rng) as (number, node):
            with self._expect_end(number):
                process = node.process
                while not support.has_begun(process.pid):
                    if process.poll() is not None:
                        return
                    time.sleep(0.005)
                process.terminate()
                interval_s = rng.choice((0.002, 0.02, 0.3))
                numbers = rng.choice(
                    (
                        (signal.SIGHUP,),
                        (signal.SIGTERM,),
                        (signal.SIGHUP, signal.SIGTERM, signal.SIGINT),
                    )
                )
                while process.poll() is None:
                    process.send_signal(rng.choice(numbers))
                    time.sleep(interval_s)
                self._wait_for_stop(number, process)

    def _inject_start(self, rng, duration_s):
        """Start a node, and signal it while it starts.

        Signals before its first statement are not sent: their default action
        would end it, which nothing can prevent.
        """
        with self._mark_random_node(rng) as (number, node):
            with self._expect_end(number):
                self._kill(node)
            process = node.process
            end = time.monotonic() + rng.uniform(0.1, 1.2)
            while time.monotonic() < end and process.poll() is None:
                if support.has_begun(process.pid):
                    if rng.random() < 0.5:
                        node.rewrite_settings()
                    process.send_signal(signal.SIGHUP)
                time.sleep(rng.choice((0.001, 0.05, 0.2)))
            if rng.random() < 0.5 and support.has_begun(process.pid):
                with self._expect_end(number):
                    process.terminate()
                    self._wait_for_stop(number, process)

    def _inject_reload(self, rng, duration_s):
        """Change the settings of a node in series, with and without signal.

        Some of the files are not valid; the last one is. The node is not
        marked as faulty: a change of its settings must not disturb callers.
        """
        number = rng.randrange(len(self._environment.nodes))
        node = self._environment.nodes[number]
        for _ in range(rng.randint(1, 6)):
            if rng.random() < 0.3:
                self._invalid_times[number] = math.inf
                node.rewrite_settings('not = [toml')
            else:
                node.rewrite_settings()
            process = node.process
            if rng.random() < 0.7 and support.has_begun(process.pid):
                for _ in range(rng.randint(1, 4)):
                    process.send_signal(signal.SIGHUP)
            time.sleep(rng.choice((0.0, 0.01, 0.3)))
        node.rewrite_settings()
        self._invalid_times[number] = time.monotonic()

    def _inject_release(self, rng, duration_s):
        """Upgrade a node, or return it to the earlier release."""
        with self._mark_random_node(rng) as (number, node):
            with self._expect_end(number):
                if rng.random() < 0.5:
                    process = node.process
                    process.terminate()
                    self._wait_for_stop(number, process)
                else:
                    self._kill(node)
                first, second = self._environment.roots
                node.set_root(second if node.root == first else first)
                time.sleep(duration_s / 3.0)

    def _inject_publish(self, rng, duration_s):
        self._environment.publish_configuration()

    def _inject_drain(self, rng, duration_s):
        name = rng.choice([*self._environment.servers])
        server = self._environment.servers[name]
        if not server.lock.acquire(blocking=False):
            return
        with contextlib.ExitStack() as stack:
            stack.callback(server.lock.release)
            self._environment.register_server(name, State='draining')
            server.drained_at = time.monotonic()
            time.sleep(DRAIN_S + 1.0)
            late = [s for s in server.arrivals_after_drain_s if s > DRAIN_S]
            server.drained_at = None
            server.arrivals_after_drain_s = []
            if (
                late
                and self.store_stable_s() > DRAIN_S + 1.0 + STABLE_S
                and self.are_nodes_stable()
            ):
                self._report_violation(
                    f'{name} received work {max(late):.2f} s after its drain '
                    'began'
                )
            self._environment.register_server(name)
