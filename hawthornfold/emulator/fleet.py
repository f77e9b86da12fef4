"""Runs a deployment as processes on the loopback interface.

Tests, the demo and experiments use it to start the emulated platform, the
backend servers, an optional proxy between nodes and backend servers, and the
entry nodes. All of them end when the context exits.
"""

import contextlib
import json
import tempfile
import urllib.parse

import urllib3
import zmq

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import balancer as balancers
from hawthornfold.emulator import deployment_files
from hawthornfold.emulator import plans
from hawthornfold.emulator import processes

PLATFORM = 'platform'
PROXY = 'proxy'


class Fleet:
    """The running processes of a deployment."""

    def __init__(self, plan, group, variant, settings_extra):
        self._plan = plan
        self._group = group
        self._variant = variant
        self._settings_extra = settings_extra
        self._pool = processes.create_pool()
        self._clock = create_system_clock()

    @property
    def plan(self):
        """Ports and files of the fleet."""
        return self._plan

    @property
    def nodes(self):
        """Names of the entry nodes."""
        return tuple(self._plan.nodes)

    def process(self, name):
        """Return the process called `name`."""
        return self._group[name]

    # Processes.

    def add_process(self, name, *arguments):
        """Start a process; `arguments` are those after ``python -m``."""
        self._group.add(processes.ProcessSpec(name, arguments))

    def write_file(self, name, document):
        """Write a JSON file into the fleet's directory; return its path."""
        path = self._plan.directory / name
        path.write_text(json.dumps(document))
        return path

    def start_platform(self):
        """Start the emulated platform with the deployment's keys."""
        plan = self._plan
        state = {
            'keys': deployment_files.build_keys(
                plan.deployment, plan.addresses()
            ),
            'vms': plans.build_vms(plan),
        }
        path = self.write_file('platform-state.json', state)
        self.add_process(
            PLATFORM,
            'hawthornfold.emulator',
            'platform',
            '--port',
            str(plan.platform_port),
            '--state',
            str(path),
        )

    def start_backends(self):
        """Start the processes of the backend servers."""
        control_ports = {
            location.process: location.control_port
            for location in self._plan.servers.values()
        }
        for name, control_port in control_ports.items():
            path = self.write_file(
                f'{name}.json', plans.build_backends_spec(self._plan, name)
            )
            self.add_process(
                name,
                'hawthornfold.emulator',
                'backends',
                '--spec',
                str(path),
                '--control-port',
                str(control_port),
            )

    def start_proxy(self):
        """Start the proxy to the backend servers if the plan has one."""
        if not self._plan.proxy_ports:
            return
        path = self.write_file(
            f'{PROXY}.json', plans.build_proxy_spec(self._plan)
        )
        self.add_process(
            PROXY,
            'hawthornfold.emulator',
            'proxy',
            '--spec',
            str(path),
            '--control-port',
            str(self._plan.proxy_control_port),
        )

    def start_nodes(self):
        """Start the entry nodes of the tier or of the naive version."""
        # All nodes share one key pair, which is new for each fleet.
        public, secret = zmq.curve_keypair()
        pair = (public.decode(), secret.decode())
        for index, (name, ports) in enumerate(self._plan.nodes.items()):
            settings = deployment_files.build_settings(
                self._plan.deployment,
                index,
                ports,
                self._plan.platform_port,
                [pair],
                **self._settings_extra,
            )
            path = self.write_file(f'{name}.json', settings)
            if self._variant == 'naive':
                command = ('hawthornfold.emulator', 'naive')
            else:
                command = ('hawthornfold', 'serve')
            self.add_process(name, *command, '--settings', str(path))

    def kill(self, name):
        """End a process with SIGKILL."""
        self._group[name].kill()

    def pause(self, name):
        """Pause a process with SIGSTOP."""
        self._group[name].pause()

    def resume(self, name):
        """Continue a process with SIGCONT."""
        self._group[name].resume()

    def terminate(self, name, timeout_s=15.0):
        """Stop a process with SIGTERM; return its exit status."""
        return self._group[name].terminate(timeout_s)

    def start_again(self, name):
        """Start an ended process again with the same name and ports."""
        self._group[name].start()

    # Control and observation.

    def call(self, port, method, path, body=None, timeout_s=5.0):
        """Exchange JSON with any port of the fleet."""
        return processes.call_json(
            self._pool, method, port, path, body, timeout_s
        )

    def control_platform(self, method, path, body=None):
        """Call the platform's control interface; return status and body."""
        return self.call(self._plan.platform_port, method, path, body)

    def publish(self, key, value):
        """Publish a configuration key; `value` is text."""
        name = urllib.parse.quote(key, safe='/')
        path = f'/control/keys/{name}'
        return self.control_platform('PUT', path, value.encode())

    def publish_document(self, key, document):
        """Publish a configuration key with `document` as JSON."""
        return self.publish(key, json.dumps(document))

    def publish_vms(self, vms):
        """Publish the list of VMs."""
        return self.control_platform('PUT', '/control/vms', vms)

    def control_server(self, server, method, action, body=None):
        """Call the control interface of a backend server.

        Parameters
        ----------
        server : str
            Name of the server.
        method : str
            ``PUT`` for ``fault`` and ``held``, ``POST`` for the others.
        action : str
            ``fault``, ``held``, ``restart``, ``stop`` or ``start``.
        body : object, optional
            Sent as JSON.
        """
        port = self._plan.servers[server].control_port
        path = f'/control/servers/{server}/{action}'
        return self.call(port, method, path, body)

    def set_server_fault(self, server, **fault):
        """Replace the faults of a backend server; without any, clear them."""
        return self.control_server(server, 'PUT', 'fault', fault)

    def set_link_fault(self, server, **fault):
        """Replace the faults of the link to a backend server."""
        path = f'/control/listeners/{server}/fault'
        return self.call(self._plan.proxy_control_port, 'PUT', path, fault)

    def collect_ledger(self, since=None):
        """Return the ledger records of all backends processes.

        Parameters
        ----------
        since : dict, optional
            Last sequence number already read, by control port, from
            `read_ledger_positions`; only later records are returned.
        """
        records = []
        for port in self._control_ports():
            first = (since or {}).get(port, 0)
            records.extend(self._read(port, f'/control/ledger?since={first}'))
        return records

    def read_ledger_positions(self):
        """Return the last sequence number of each ledger, by control port."""
        positions = {}
        for port in self._control_ports():
            totals = self._read(port, '/control/counters')['total']
            # A ledger has one record per received sub-request.
            positions[port] = totals.get('received', 0)
        return positions

    def collect_counters(self):
        """Return the counters of the backend servers, by name."""
        counters = {}
        for port in self._control_ports():
            counters |= self._read(port, '/control/counters')['servers']
        return counters

    def is_ready(self, name):
        """Return whether an entry node's ``/readyz`` answers 200."""
        port = self._plan.nodes[name].callers
        try:
            status, _ = self.call(port, 'GET', '/readyz', timeout_s=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return status == 200

    def wait_until_ready(self, names=None, timeout_s=20.0):
        """Wait until entry nodes are ready.

        Raises
        ------
        ProcessFailure
            When a node has ended or is not ready after `timeout_s` seconds;
            the end of its output is part of the message.
        """
        for name in names or self.nodes:
            self._wait_until(
                name, lambda name=name: self.is_ready(name), timeout_s
            )

    def create_balancer(self, lag_ms=0.0):
        """Create an emulated load balancer over the entry nodes."""
        return balancers.create_balancer(
            [
                balancers.Target(name, ports.callers)
                for name, ports in self._plan.nodes.items()
            ],
            lag_ms,
        )

    def processor_seconds(self, names):
        """Return the total processor time of the processes, in seconds."""
        return sum(self._group[n].processor_seconds() for n in names)

    def wait_for_ports(self, timeout_s=10.0):
        """Wait until platform, backend servers and proxy answer."""
        answers = {PLATFORM: (self._plan.platform_port, '/v1/vms')}
        for location in self._plan.servers.values():
            answers[location.process] = (
                location.control_port,
                '/control/counters',
            )
        if self._plan.proxy_ports:
            port = self._plan.proxy_control_port
            answers[PROXY] = (port, '/control/listeners')
        for name, (port, path) in answers.items():
            self._wait_until(
                name,
                lambda port=port, path=path: self._is_up(port, path),
                timeout_s,
            )

    def _is_up(self, port, path):
        try:
            return self.call(port, 'GET', path, timeout_s=1.0)[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _wait_until(self, name, condition, timeout_s):
        end_ms = self._clock.now_ms() + timeout_s * 1000.0
        process = self._group[name]
        while not condition():
            is_late = self._clock.now_ms() > end_ms
            if is_late or not process.is_running():
                raise processes.ProcessFailure(
                    f'{name} is not ready: {process.read_output()}'
                )
            self._clock.sleep_ms(50)

    def _read(self, port, path):
        status, body = self.call(port, 'GET', path, timeout_s=30.0)
        if status != 200:
            raise processes.ProcessFailure(f'{path} answered {status}')
        return body

    def _backends_processes(self):
        return sorted({p.process for p in self._plan.servers.values()})

    def _control_ports(self):
        return sorted({p.control_port for p in self._plan.servers.values()})


def create_temporary_directory():
    """Create a temporary directory.

    Returns
    -------
    tempfile.TemporaryDirectory
        To be used as a context manager.
    """
    return tempfile.TemporaryDirectory(prefix='hawthornfold-')


@contextlib.contextmanager
def open_fleet(
    deployment,
    node_count,
    directory=None,
    seed=1,
    proxy=False,
    variant='tier',
    settings_extra=None,
    start_nodes=True,
    servers_per_process=plans.SERVERS_PER_PROCESS,
):
    """Run a deployment; all its processes end when the context exits.

    Parameters
    ----------
    deployment : Deployment
        Deployment to run.
    node_count : int
        Number of entry nodes.
    directory : path, optional
        Directory for files and output; a temporary one when None.
    seed : int
        Seed of the emulated servers.
    proxy : bool
        Whether to put a fault-injection proxy in front of every backend
        server.
    variant : {'tier', 'naive'}
        Kind of entry nodes to run.
    settings_extra : dict, optional
        Sections that replace or extend fields of the nodes' settings.
    start_nodes : bool
        Whether to start the nodes and wait until they are ready.
    servers_per_process : int
        Backend servers per process.

    Yields
    ------
    Fleet
        The running fleet.
    """
    with contextlib.ExitStack() as stack:
        if directory is None:
            directory = stack.enter_context(create_temporary_directory())
        plan = plans.plan_fleet(
            deployment,
            node_count,
            directory,
            seed,
            proxy,
            servers_per_process,
        )
        group = stack.enter_context(processes.open_process_group(directory))
        fleet = Fleet(plan, group, variant, settings_extra or {})
        fleet.start_platform()
        fleet.start_backends()
        fleet.start_proxy()
        fleet.wait_for_ports()
        if start_nodes:
            fleet.start_nodes()
            fleet.wait_until_ready()
        yield fleet
