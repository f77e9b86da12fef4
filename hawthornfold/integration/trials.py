"""Runs a fleet under load with faults and checks what callers received."""

import contextlib
import itertools
import json
import socket
import threading

from hawthornfold import clock as clocks
from hawthornfold.emulator import deployment_files
from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.emulator import processes
from hawthornfold.integration.callers import TrialQuery
from hawthornfold.integration.callers import create_trial_caller
from hawthornfold.integration.checks import check_claims
from hawthornfold.integration.references import create_reference_reader

SNAPSHOTS = (deployments.FIRST_SNAPSHOT, deployments.NEXT_SNAPSHOT)
# Words that occur in a few documents, and the names of the snapshots; each
# name matches every document of its snapshot and none of the other.
SEARCHES = tuple(
    TrialQuery('voter-portal', text=text, limit=limit)
    for text, limit in (
        ('oakford', 10),
        ('s1', 3),
        ('claymill', 2),
        ('s2', 20),
        ('saltport', 10),
    )
)
PAYOUTS = tuple(
    TrialQuery('payout-ledger', text=text) for text in ('oakford', 's1')
)
AT_MOST_ONCE_SERVICES = ('payout-ledger',)
# Pause between two queries of one worker. It limits the rate of queries to a
# node that refuses connections.
QUERY_INTERVAL_S = 0.01
CLAIMS_TIMEOUT_S = 30.0
_MAX_STARTS = 3


class TrialTimeout(Exception):
    """The claims that a trial waited for did not arrive in time."""


class Trial:
    """A running fleet, its callers, and the ledger records so far."""

    def __init__(self, fleet, caller):
        self._fleet = fleet
        self._caller = caller
        self._clock = clocks.create_system_clock()
        self._documents = _build_documents(fleet)
        self._records = {}
        self._lost_servers = set()
        self._first_claim = 0
        self._reserved = {}

    @property
    def fleet(self):
        """The running fleet."""
        return self._fleet

    @property
    def caller(self):
        """The `TrialCaller` that sends the queries."""
        return self._caller

    @property
    def claims(self):
        """All claims since `reset_claims`."""
        return self._caller.claims[self._first_claim :]

    def reset_claims(self):
        """Exclude all claims so far from `claims` and the checks."""
        self._first_claim = len(self._caller.claims)

    def add_group_document(self, name, document):
        """Add the document of a service group whose answers are checked."""
        self._documents[name] = document

    def servers(self, group):
        """Return the names of the servers of a group."""
        return [
            name for name in self._fleet.plan.servers if name.startswith(group)
        ]

    # Load

    @contextlib.contextmanager
    def run_load(self, queries=SEARCHES, workers=4, payouts=0):
        """Send queries to all nodes in turn while the context is active.

        Parameters
        ----------
        queries : sequence of TrialQuery
            Sent in turn.
        workers : int
            Number of callers that send `queries`.
        payouts : int
            Number of callers that send payouts, each payout to two nodes.
        """
        stop_event = threading.Event()
        pending = [
            self._caller.submit_function(
                self._send_searches, stop_event, queries, index
            )
            for index in range(workers)
        ]
        pending += [
            self._caller.submit_function(self._send_payouts, stop_event, index)
            for index in range(payouts)
        ]
        try:
            yield
        finally:
            stop_event.set()
            for future in pending:
                future.result()

    def wait_for_claims(self, condition, count=1):
        """Wait for `count` new claims for which `condition` is true."""
        first = len(self.claims)
        pause = threading.Event()
        for _ in range(int(CLAIMS_TIMEOUT_S / QUERY_INTERVAL_S)):
            found = sum(1 for c in self.claims[first:] if condition(c))
            if found >= count:
                return
            pause.wait(QUERY_INTERVAL_S)
        raise TrialTimeout(
            f'{found} of {count} claims after {CLAIMS_TIMEOUT_S} s'
        )

    def wait_for_answers(self, count):
        """Wait for `count` new claims that are answers."""
        self.wait_for_claims(lambda claim: claim.status == 200, count)

    def sleep_ms(self, duration_ms):
        """Sleep for the duration of a fault; no check depends on it."""
        self._clock.sleep_ms(duration_ms)

    def _send_searches(self, stop_event, queries, first):
        nodes = self._fleet.nodes
        for index in itertools.count(first):
            if stop_event.wait(QUERY_INTERVAL_S):
                return
            self._caller.send_query(
                nodes[index % len(nodes)], queries[index % len(queries)]
            )

    def _send_payouts(self, stop_event, first):
        nodes = self._fleet.nodes
        for index in itertools.count(first):
            if stop_event.wait(QUERY_INTERVAL_S):
                return
            ticket = self._caller.obtain_ticket(nodes[index % len(nodes)])
            if ticket is None:
                continue
            for step in range(2):
                self._caller.send_query(
                    nodes[(index + step) % len(nodes)],
                    PAYOUTS[index % len(PAYOUTS)],
                    ticket,
                )

    # Faults

    def set_fault(self, servers, **fault):
        """Replace the faults of several backend servers."""
        for server in servers:
            self._fleet.set_server_fault(server, **fault)

    def set_held_snapshots(self, server, *snapshots):
        """Replace the set of snapshots that a server holds."""
        self._fleet.control_server(server, 'PUT', 'held', list(snapshots))

    def kill(self, name):
        """Kill a process; its ports stay reserved for its next start."""
        self._fleet.kill(name)
        self._reserve_ports(name)

    def terminate(self, name):
        """Stop a process gracefully; its ports stay reserved."""
        self._fleet.terminate(name)
        self._reserve_ports(name)

    def kill_backends(self, process):
        """Kill a backends process.

        Ledger records that it writes after the last collection are lost.
        """
        self._collect_records()
        self.kill(process)
        self._lost_servers.update(
            name
            for name, location in self._fleet.plan.servers.items()
            if location.process == process
        )

    def heal(self):
        """End all faults and wait until every process and node is up."""
        self._fleet.control_platform('PUT', '/control/fault', {})
        for name in self._list_processes():
            process = self._fleet.process(name)
            process.resume()
            if not process.is_running():
                process.start()
        self._fleet.wait_for_ports()
        for server in self._fleet.plan.servers:
            self._fleet.set_server_fault(server)
            self._fleet.control_server(server, 'POST', 'stop')
            self._fleet.control_server(server, 'POST', 'start')
        self._fleet.wait_until_ready()

    # Checks

    def find_violations(self):
        """Return the violations by claims since `reset_claims`, one a line."""
        self._collect_records()
        for server in self._fleet.plan.servers:
            self._fleet.set_server_fault(server)
            self.set_held_snapshots(server, *SNAPSHOTS)
        return check_claims(
            self.claims,
            list(self._records.values()),
            create_reference_reader(self._fleet, self._documents),
            AT_MOST_ONCE_SERVICES,
            self._lost_servers,
        )

    def count_started_sub_requests(self, servers):
        """Return the number of sub-requests that started on `servers`."""
        self._collect_records()
        return sum(
            1
            for record in self._records.values()
            if record['server'] in servers and record['started_ms'] is not None
        )

    def _reserve_ports(self, name):
        """Prevent other fleets on the machine from taking a process's ports.

        The reserving sockets never listen, so the process can bind the same
        ports at its next start.
        """
        plan = self._fleet.plan
        ports = list(plan.nodes.get(name, ()))
        for location in plan.servers.values():
            if location.process == name:
                ports += [location.control_port, location.port]
        for port in set(ports) - self._reserved.keys():
            reservation = socket.socket()
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reservation.bind(('127.0.0.1', port))
            self._reserved[port] = reservation

    def release_ports(self):
        """Release the reserved ports."""
        for reservation in self._reserved.values():
            reservation.close()
        self._reserved.clear()

    def _collect_records(self):
        for record in self._fleet.collect_ledger():
            # The incarnation distinguishes the processes of a server.
            key = record['server'], record['incarnation'], record['sequence']
            self._records[key] = record

    def _list_processes(self):
        locations = self._fleet.plan.servers.values()
        return [
            fleets.PLATFORM,
            *sorted({location.process for location in locations}),
            *self._fleet.nodes,
        ]


def _build_documents(fleet):
    keys = deployment_files.build_keys(
        fleet.plan.deployment, fleet.plan.addresses(), SNAPSHOTS
    )
    return {
        key.removeprefix('services/'): json.loads(value)
        for key, value in keys.items()
        if key.startswith('services/')
    }


def publish_group(fleet, name, *snapshots):
    """Publish a service group of the deployment with these snapshots."""
    deployment = fleet.plan.deployment
    document = deployment_files.build_group_document(
        deployment,
        deployment.find_group(name),
        fleet.plan.addresses(),
        snapshots,
    )
    fleet.publish_document(f'services/{name}', document)


@contextlib.contextmanager
def open_trial(node_count=3, workers=16, **options):
    """Run the small deployment with callers; yield a `Trial`."""
    with contextlib.ExitStack() as stack:
        fleet = _start_fleet(stack, node_count, options)
        caller = create_trial_caller(fleet, workers)
        stack.callback(caller.close)
        trial = Trial(fleet, caller)
        stack.callback(trial.release_ports)
        yield trial


def _start_fleet(stack, node_count, options):
    """Start a fleet; retry when another process took one of its ports.

    Free ports are chosen before they are bound, and other fleets may start
    on the machine at the same time.
    """
    deployment = deployments.create_small()
    for _ in range(_MAX_STARTS):
        try:
            return stack.enter_context(
                fleets.open_fleet(deployment, node_count, **options)
            )
        except processes.ProcessFailure as error:
            if 'Address already in use' not in str(error):
                raise
            failure = error
    raise failure
