"""Scenarios of the experiments: offered load and injected faults."""

import typing

from hawthornfold.emulator import deployment_files
from hawthornfold.emulator import deployments

_SNAPSHOTS = (deployments.FIRST_SNAPSHOT, deployments.NEXT_SNAPSHOT)


class Scenario(typing.NamedTuple):
    """Offered load and faults of one kind of run.

    Parameters
    ----------
    name : str
        Name on the command line.
    load : float
        Offered load as a multiple of capacity.
    begin : callable
        ``begin(fleet)`` injects faults before the load starts.
    steps : callable
        ``steps(fleet)`` returns (share of the run, action) pairs in order;
        each action is called without arguments at that share of the run.
    end : callable
        ``end(fleet)`` undoes all changes after the run.
    """

    name: str
    load: float
    begin: typing.Callable
    steps: typing.Callable
    end: typing.Callable


def _do_nothing(fleet):
    return ()


def _all_servers(fleet):
    return tuple(fleet.plan.servers)


def _clear_faults(fleet):
    for name in _all_servers(fleet):
        fleet.set_server_fault(name)


def _begin_stragglers(fleet):
    """Make one in a hundred sub-requests take ten times as long."""
    for name in _all_servers(fleet):
        fleet.set_server_fault(name, slow_factor=10.0, slow_share=0.01)


def first_replicas(deployment):
    """Return the first replicas of the first group's first five shards.

    Examples
    --------
    >>> first_replicas(deployments.create_small())[:2]
    ('voter-portal-1a', 'voter-portal-2a')
    """
    shards = deployments.build_layout(deployment.groups[0])['shards']
    return tuple(shard['replicas'][0] for shard in shards[:5])


def _stop_replicas(fleet):
    def stop():
        for name in first_replicas(fleet.plan.deployment):
            fleet.control_server(name, 'POST', 'stop')

    return ((0.2, stop),)


def _start_replicas(fleet):
    for name in first_replicas(fleet.plan.deployment):
        fleet.control_server(name, 'POST', 'start')


def _begin_false_load_report(fleet):
    """Make one server three times as slow and report no load."""
    name = first_replicas(fleet.plan.deployment)[0]
    fleet.set_server_fault(name, slow_factor=3.0, load_report=0.0)


def upgrade_order(group):
    """Return the servers in an order that keeps one snapshot complete.

    Replicas of a shard are neighbours in the list of servers, so every other
    server is upgraded first.

    Examples
    --------
    >>> upgrade_order(deployments.create_small().find_group('payout-ledger'))
    ['payout-ledger-1', 'payout-ledger-3', 'payout-ledger-2', \
'payout-ledger-4']
    """
    names = deployments.server_names(group)
    return names[::2] + names[1::2]


def _publish_snapshots(fleet, names):
    deployment = fleet.plan.deployment
    for group in deployment.groups:
        document = deployment_files.build_group_document(
            deployment, group, fleet.plan.addresses(), names
        )
        fleet.publish_document(f'services/{group.name}', document)


def _upgrade_servers(fleet):
    """Return steps that move the servers to the next snapshot one by one."""

    def set_held(name, held):
        return lambda: fleet.control_server(name, 'PUT', 'held', held)

    steps = [(0.1, lambda: _publish_snapshots(fleet, _SNAPSHOTS))]
    for group in fleet.plan.deployment.groups:
        names = upgrade_order(group)
        steps.extend(
            (
                0.15 + 0.7 * index / len(names),
                set_held(name, list(_SNAPSHOTS[1:])),
            )
            for index, name in enumerate(names)
        )
    steps.append((0.95, lambda: _publish_snapshots(fleet, _SNAPSHOTS[1:])))
    return tuple(sorted(steps, key=lambda step: step[0]))


def _end_upgrade(fleet):
    for name in _all_servers(fleet):
        fleet.control_server(name, 'PUT', 'held', list(_SNAPSHOTS[:1]))
    _publish_snapshots(fleet, _SNAPSHOTS[:1])


def _kill_and_start_node(fleet):
    name = fleet.nodes[1]
    return (
        (0.3, lambda: fleet.kill(name)),
        (0.7, lambda: fleet.start_again(name)),
    )


def _wait_for_nodes(fleet):
    fleet.wait_until_ready()


_ALL = (
    Scenario('steady', 0.4, _do_nothing, _do_nothing, _do_nothing),
    Scenario('stragglers', 0.4, _begin_stragglers, _do_nothing, _clear_faults),
    # Services that lose a replica keep half their capacity.
    Scenario(
        'replica_lost', 0.3, _do_nothing, _stop_replicas, _start_replicas
    ),
    Scenario(
        'lying_load', 0.4, _begin_false_load_report, _do_nothing, _clear_faults
    ),
    Scenario('overload', 1.5, _do_nothing, _do_nothing, _do_nothing),
    Scenario(
        'node_killed', 0.3, _do_nothing, _kill_and_start_node, _wait_for_nodes
    ),
    # Runs last, because undoing an upgrade publishes snapshots again.
    Scenario(
        'rolling_upgrade', 0.3, _do_nothing, _upgrade_servers, _end_upgrade
    ),
)
SCENARIOS = {scenario.name: scenario for scenario in _ALL}
# Few enough scenarios to run each for five seconds within a minute.
DEFAULT_NAMES = ('stragglers', 'replica_lost', 'overload')
