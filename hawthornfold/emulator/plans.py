"""Chooses the ports and files of a fleet before its processes start."""

import pathlib
import typing

from hawthornfold.emulator import deployments
from hawthornfold.emulator import processes

SERVERS_PER_PROCESS = 15


class NodePorts(typing.NamedTuple):
    """Ports of an entry node, in the order that `build_settings` expects."""

    callers: int
    operators: int
    peers: int


class ServerLocation(typing.NamedTuple):
    """Process and ports of a backend server.

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
    """Ports and files of a fleet."""

    deployment: deployments.Deployment
    directory: pathlib.Path
    platform_port: int
    nodes: dict[str, NodePorts]
    servers: dict[str, ServerLocation]
    proxy_ports: dict[str, int]
    seed: int
    proxy_control_port: int

    def addresses(self):
        """Return the ``host:port`` for nodes to use, by server name."""
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
        # Servers are assigned to processes round-robin, so that the load of
        # one group is spread over all backends processes.
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
    """Build the platform's list of VMs from the nodes of a plan."""
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
    """Build the spec of the proxy, with one listener per backend server."""
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
    """Build the spec of one backends process, a list of its servers.

    Every server is configured with the shards of both snapshots, but holds
    only the first snapshot until an experiment changes that.
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
                    'shards': _find_server_shards(group, name),
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


def _find_server_shards(group, server):
    """Return the shards that `server` has a replica of, by snapshot."""
    names = (deployments.FIRST_SNAPSHOT, deployments.NEXT_SNAPSHOT)
    return {
        name: [
            {'name': shard['name'], 'weight': shard['weight']}
            for shard in deployments.build_layout(group, name)['shards']
            if server in shard['replicas']
        ]
        for name in names
    }
