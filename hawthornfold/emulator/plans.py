"""Ports and files of a fleet, fixed before any of its processes starts."""

import pathlib
import typing

from hawthornfold.emulator import deployments
from hawthornfold.emulator import processes

SERVERS_PER_PROCESS = 15


class NodePorts(typing.NamedTuple):
    """Ports of an entry node, in the order of the settings builder."""

    callers: int
    operators: int
    peers: int


class ServerLocation(typing.NamedTuple):
    """Where a backend server runs.

    Parameters
    ----------
    process : str
        Name of the backends process.
    control_port : int
        Control port of that process.
    port : int
        Port of the server itself.
    """

    process: str
    control_port: int
    port: int


class FleetPlan(typing.NamedTuple):
    """Ports and files of a fleet, fixed before anything starts."""

    deployment: deployments.Deployment
    directory: pathlib.Path
    platform_port: int
    nodes: dict[str, NodePorts]
    servers: dict[str, ServerLocation]
    proxy_ports: dict[str, int]
    seed: int
    proxy_control_port: int

    def addresses(self):
        """Return ``host:port`` by server name, as the nodes see it."""
        return {
            name: f'127.0.0.1:{self.proxy_ports.get(name, location.port)}'
            for name, location in self.servers.items()
        }


def plan_fleet(
    deployment,
    node_count,
    directory,
    seed=1,
    proxy=False,
    servers_per_process=SERVERS_PER_PROCESS,
):
    """Choose the ports of a fleet.

    Examples
    --------
    >>> plan = plan_fleet(deployments.create_small(), 2, '/nowhere')
    >>> sorted(plan.nodes), len(plan.servers)
    (['entry-1', 'entry-2'], 19)
    """
    names = [
        name
        for group in deployment.groups
        for name in deployments.server_names(group)
    ]
    process_count = -(-len(names) // servers_per_process)
    per_server = 2 if proxy else 1
    free_ports = iter(
        processes.pick_ports(
            2 + process_count + 3 * node_count + per_server * len(names)
        )
    )
    platform_port = next(free_ports)
    proxy_control_port = next(free_ports)
    control_ports = [next(free_ports) for _ in range(process_count)]
    servers = {
        # Dealt out in turn, so that the load of one group is spread over
        # all backends processes.
        name: ServerLocation(
            f'backends-{index % process_count + 1}',
            control_ports[index % process_count],
            next(free_ports),
        )
        for index, name in enumerate(names)
    }
    nodes = {
        deployments.node_name(i): NodePorts(
            next(free_ports), next(free_ports), next(free_ports)
        )
        for i in range(node_count)
    }
    proxy_ports = {name: next(free_ports) for name in names} if proxy else {}
    return FleetPlan(
        deployment,
        pathlib.Path(directory),
        platform_port,
        nodes,
        servers,
        proxy_ports,
        seed,
        proxy_control_port,
    )


def build_vms(plan, state='live'):
    """Build the platform's list of VMs for the nodes of a plan."""
    return [
        {
            'name': name,
            'address': f'127.0.0.1:{ports.peers}',
            'data_centre': deployments.assign_data_centre(
                plan.deployment, index
            ),
            'state': state,
        }
        for index, (name, ports) in enumerate(plan.nodes.items())
    ]


def build_proxy_spec(plan):
    """Build the spec file of the proxy: a listener per backend server."""
    return [
        {
            'name': name,
            'listen': port,
            'target': f'127.0.0.1:{plan.servers[name].port}',
            'seed': plan.seed,
        }
        for name, port in plan.proxy_ports.items()
    ]


def build_backends_spec(plan, process):
    """Build the spec file of one backends process, a list of servers.

    Every server could serve the next snapshot too; it holds only the first
    until an experiment says otherwise.
    """
    servers = []
    for group in plan.deployment.groups:
        for index, name in enumerate(deployments.server_names(group)):
            location = plan.servers[name]
            if location.process != process:
                continue
            servers.append(
                {
                    'name': name,
                    'group': group.name,
                    'port': location.port,
                    'shards': _build_held_shards(group, name),
                    'held': [deployments.FIRST_SNAPSHOT],
                    'data_centre': deployments.assign_data_centre(
                        plan.deployment, index
                    ),
                    'slots': group.slots,
                    'connections': group.connections,
                    'connect_ms': group.connect_ms,
                    'service_ms': group.service_ms,
                    'seed': plan.seed,
                    'corpus_seed': plan.seed,
                }
            )
    return servers


def _build_held_shards(group, server):
    """Return the shards of each snapshot that `server` is a replica of."""
    names = (deployments.FIRST_SNAPSHOT, deployments.NEXT_SNAPSHOT)
    return {
        name: [
            {'name': shard['name'], 'weight': shard['weight']}
            for shard in deployments.build_layout(group, name)['shards']
            if server in shard['replicas']
        ]
        for name in names
    }
