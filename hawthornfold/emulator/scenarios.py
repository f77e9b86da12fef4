"""Scenarios of the experiments: offered load, and faults during the run."""

import typing

from hawthornfold.emulator import deployment_files
from hawthornfold.emulator import deployments

_BOTH = (deployments.FIRST_SNAPSHOT, deployments.NEXT_SNAPSHOT)


class Scenario(typing.NamedTuple):
    """One scenario.

    Parameters
    ----------
    name : str
        As on the command line.
    load : float
        Offered load as a multiple of capacity.
    begin : callable
        ``begin(fleet)`` injects faults before the load starts.
    steps : callable
        ``steps(fleet)`` returns (share of the run, action) pairs in order;
        each action is called without arguments at that time.
    end : callable
        ``end(fleet)`` undoes everything after the run.
    """

    name: str
    load: float
    begin: typing.Callable
    steps: typing.Callable
    end: typing.Callable


def _nothing(fleet):
    return ()


def _all_servers(fleet):
    return tuple(fleet.plan.servers)


def _clear_faults(fleet):
    for name in _all_servers(fleet):
        fleet.set_server_fault(name)


def _begin_stragglers(fleet):
    """One in a hundred sub-requests takes ten times as long."""
    for name in _all_servers(fleet):
        fleet.set_server_fault(name, slow_factor=10.0, slow_share=0.01)


def lost_replicas(deployment):
    """Return the first replica of five services of the first group.

    Examples
    --------
    >>> lost_replicas(deployments.create_small())[:2]
    ('voter-portal-1a', 'voter-portal-2a')
    """
    shards = deployments.build_layout(deployment.groups[0])['shards']
    return tuple(shard['replicas'][0] for shard in shards[:5])


def _lose_replicas(fleet):
    def stop():
        for name in lost_replicas(fleet.plan.deployment):
            fleet.control_server(name, 'POST', 'stop')

    return ((0.2, stop),)


def _restore_replicas(fleet):
    for name in lost_replicas(fleet.plan.deployment):
        fleet.control_server(name, 'POST', 'start')


def _begin_lying_load(fleet):
    """One server is three times as slow and says that it is idle."""
    name = lost_replicas(fleet.plan.deployment)[0]
    fleet.set_server_fault(name, slow_factor=3.0, load_report=0.0)


def upgrade_order(group):
    """Return the servers so that every shard keeps one snapshot in full.

    Replicas of a shard are neighbours, hence every other server first.

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


def _upgrade(fleet):
    """Each server in turn changes from the first snapshot to the next."""

    def hold(name, held):
        return lambda: fleet.control_server(name, 'PUT', 'held', held)

    steps = [(0.1, lambda: _publish_snapshots(fleet, _BOTH))]
    for group in fleet.plan.deployment.groups:
        names = upgrade_order(group)
        steps.extend(
            (0.15 + 0.7 * index / len(names), hold(name, list(_BOTH[1:])))
            for index, name in enumerate(names)
        )
    steps.append((0.95, lambda: _publish_snapshots(fleet, _BOTH[1:])))
    return tuple(sorted(steps, key=lambda step: step[0]))


def _end_upgrade(fleet):
    for name in _all_servers(fleet):
        fleet.control_server(name, 'PUT', 'held', list(_BOTH[:1]))
    _publish_snapshots(fleet, _BOTH[:1])


def _kill_node(fleet):
    name = fleet.nodes[1]
    return (
        (0.3, lambda: fleet.kill(name)),
        (0.7, lambda: fleet.start_again(name)),
    )


def _end_kill(fleet):
    fleet.wait_until_ready()


_ALL = (
    Scenario('steady', 0.4, _nothing, _nothing, _nothing),
    Scenario('stragglers', 0.4, _begin_stragglers, _nothing, _clear_faults),
    # The services that lose a replica have half their capacity left.
    Scenario('replica_lost', 0.3, _nothing, _lose_replicas, _restore_replicas),
    Scenario('lying_load', 0.4, _begin_lying_load, _nothing, _clear_faults),
    Scenario('overload', 1.5, _nothing, _nothing, _nothing),
    Scenario('node_killed', 0.3, _nothing, _kill_node, _end_kill),
    # Last, since undoing an upgrade is a change of its own.
    Scenario('rolling_upgrade', 0.3, _nothing, _upgrade, _end_upgrade),
)
SCENARIOS = {scenario.name: scenario for scenario in _ALL}
# Few enough for runs of five seconds each within a minute.
DEFAULT_NAMES = ('stragglers', 'replica_lost', 'overload')
