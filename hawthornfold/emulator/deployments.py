"""Descriptions of the two deployments and of a small one for tests.

A deployment consists of service groups, their backend servers and the rules.
It has no ports: `hawthornfold.emulator.plans` chooses them, and
`hawthornfold.emulator.deployment_files` builds the documents.
"""

import typing

FIRST_SNAPSHOT = 's1'
NEXT_SNAPSHOT = 's2'

# Mean service time of a small server. It is long enough that the emulated
# servers' slots saturate before the emulator's processor time does.
SMALL_SERVICE_MS = 20.0
LARGE_SERVICE_MS = 15.0


class GroupSpec(typing.NamedTuple):
    """A service group: its servers and the placement of its shards.

    Parameters
    ----------
    name : str
        Name of the group, as in the field ``service`` of queries.
    shards : int
        Number of shards of the first snapshot.
    servers : int
        Number of backend servers.
    replicas : int
        Number of servers that hold each shard.
    slots : int
        Maximum number of requests that a server runs at the same time.
    connections : int
        Maximum number of TCP connections that a server accepts.
    connect_ms : float
        Cost of a new connection in ms.
    service_ms : float
        Mean service time in ms.
    """

    name: str
    shards: int
    servers: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float


class Deployment(typing.NamedTuple):
    """A cluster: data centres, service groups, rules and entry nodes."""

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[GroupSpec, ...]
    rules: tuple[dict, ...]
    nodes: int
    inter_data_centre_latency_ms: float
    client_latency_ms: float

    @property
    def server_count(self):
        """Number of backend servers over all groups."""
        return sum(group.servers for group in self.groups)

    def find_group(self, name):
        """Return the group called `name`; `KeyError` when there is none."""
        for group in self.groups:
            if group.name == name:
                return group
        raise KeyError(name)


def _create_small_group(name, services):
    """Create a group with two small servers and one shard per service."""
    return GroupSpec(
        name, services, 2 * services, 2, 2, 25, 6.0, SMALL_SERVICE_MS
    )


def _create_large_group(name, servers, slots, connections):
    """Create a group of larger servers that share six shards."""
    return GroupSpec(
        name, 6, servers, 2, slots, connections, 1.0, LARGE_SERVICE_MS
    )


def _create_rule(name, service, kinds=None, **then):
    when = {'service': service}
    if kinds:
        when['kind'] = list(kinds)
    return {'name': name, 'when': when, 'then': then}


def _urgent_actions(**extra):
    """Return the ``then`` part of a rule for urgent, idempotent requests.

    The deadline allows for a straggler that takes ten times the mean service
    time: a shorter one would cap the naive version's tail latency and hide
    it.
    """
    then = {
        'urgency': 'urgent',
        'deadline_ms': 400,
        'idempotent': True,
        'coverage_percent': 95,
        'below_coverage': 'partial',
        'hedge': True,
        'max_retries': 1,
    }
    return then | extra


def _ordinary_actions(**extra):
    return (
        _urgent_actions()
        | {'urgency': 'ordinary', 'deadline_ms': 1000}
        | extra
    )


def _background_actions(**extra):
    return _ordinary_actions(
        urgency='background', deadline_ms=2000, hedge=False
    )


def _at_most_once_actions(**extra):
    return {
        'urgency': 'ordinary',
        'deadline_ms': 1000,
        'idempotent': False,
        'coverage_percent': 100,
        'below_coverage': 'partial',
    } | extra


def create_lipovec(services=(20, 30)):
    """Describe the Lipovec deployment.

    Parameters
    ----------
    services : tuple of int
        Numbers of services of the voter portal and the results board.

    Examples
    --------
    >>> create_lipovec().server_count
    106
    """
    portal, board = services
    return Deployment(
        'lipovec',
        ('zilina-1', 'zilina-2', 'zilina-3'),
        (
            _create_small_group('voter-portal', portal),
            _create_small_group('results-board', board),
            _create_large_group('clerk-desk', 3, 6, 100),
            _create_large_group('notification', 3, 6, 100),
        ),
        (
            _create_rule(
                'ballot-status',
                'voter-portal',
                ['status'],
                **_urgent_actions(),
            ),
            _create_rule(
                'proposal-search',
                'voter-portal',
                ['search'],
                **_urgent_actions(),
            ),
            _create_rule('results', 'results-board', **_ordinary_actions()),
            _create_rule(
                'clerk-records', 'clerk-desk', **_at_most_once_actions()
            ),
            _create_rule(
                'notifications', 'notification', **_background_actions()
            ),
        ),
        7,
        0.5,
        3.0,
    )


def create_monterrey(services=(20, 30)):
    """Describe the Monterrey deployment.

    Examples
    --------
    >>> create_monterrey().server_count
    108
    """
    desk, library = services
    complete = {'coverage_percent': 100}
    return Deployment(
        'monterrey',
        ('norte-1', 'norte-2', 'norte-3', 'norte-4'),
        (
            _create_small_group('approval-desk', desk),
            _create_small_group('brief-library', library),
            _create_large_group('payout-ledger', 4, 2, 35),
            _create_large_group('ward-console', 4, 2, 35),
        ),
        (
            _create_rule(
                'approvals', 'approval-desk', **_urgent_actions(**complete)
            ),
            _create_rule(
                'briefs', 'brief-library', **_ordinary_actions(**complete)
            ),
            _create_rule(
                'payout-lookup', 'payout-ledger', **_at_most_once_actions()
            ),
            _create_rule(
                'ward-reads', 'ward-console', **_ordinary_actions(**complete)
            ),
        ),
        8,
        1.5,
        1.0,
    )


def create_small():
    """Describe a deployment that fits into a test or a short experiment.

    It has six services with two small servers each, a group of three larger
    servers, and a group of four for non-idempotent requests.

    Examples
    --------
    >>> create_small().server_count
    19
    """
    return Deployment(
        'small',
        ('zilina-1', 'zilina-2', 'zilina-3'),
        (
            _create_small_group('voter-portal', 6),
            _create_large_group('clerk-desk', 3, 6, 100),
            _create_large_group('payout-ledger', 4, 2, 35),
        ),
        (
            _create_rule(
                'ballot-status',
                'voter-portal',
                ['status'],
                **_urgent_actions(),
            ),
            _create_rule(
                'proposal-search', 'voter-portal', **_ordinary_actions()
            ),
            _create_rule('clerk-records', 'clerk-desk', **_ordinary_actions()),
            _create_rule(
                'payout-lookup', 'payout-ledger', **_at_most_once_actions()
            ),
        ),
        3,
        0.5,
        3.0,
    )


DEPLOYMENTS = {
    'lipovec': create_lipovec,
    'monterrey': create_monterrey,
    'small': create_small,
}


def create_deployment(name):
    """Create the deployment called `name`; `KeyError` when unknown."""
    return DEPLOYMENTS[name]()


def server_names(group):
    """Return the names of a group's servers, in order.

    Examples
    --------
    >>> server_names(create_small().find_group('clerk-desk'))
    ['clerk-desk-1', 'clerk-desk-2', 'clerk-desk-3']
    """
    if group.servers == group.replicas * group.shards:
        return [
            f'{group.name}-{shard}{"abcd"[replica]}'
            for shard in range(1, group.shards + 1)
            for replica in range(group.replicas)
        ]
    return [f'{group.name}-{i}' for i in range(1, group.servers + 1)]


def build_layout(group, snapshot=FIRST_SNAPSHOT):
    """Build one entry of ``snapshots`` in a service group document.

    Replicas of shard i are the servers i * replicas, i * replicas + 1, ...
    modulo the number of servers. Each shard of a small group thus has two
    servers of its own, and other groups' shards are spread evenly.

    Examples
    --------
    >>> layout = build_layout(create_small().find_group('clerk-desk'))
    >>> layout['shards'][1]['replicas']
    ['clerk-desk-3', 'clerk-desk-1']
    """
    names = server_names(group)
    shards = [
        {
            'name': f'shard-{index + 1}',
            # Uneven weights distinguish coverage from the share of shards.
            'weight': 200 + 10 * (index % 5),
            'replicas': [
                names[(index * group.replicas + i) % len(names)]
                for i in range(group.replicas)
            ],
        }
        for index in range(group.shards)
    ]
    return {'name': snapshot, 'shards': shards}


def assign_data_centre(deployment, index):
    """Return the data centre of server or node number `index`, from 0."""
    centres = deployment.data_centres
    return centres[index % len(centres)]


def node_name(index):
    """Return the name of the entry node number `index`, from 0."""
    return f'entry-{index + 1}'
