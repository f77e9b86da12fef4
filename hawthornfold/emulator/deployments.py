"""Descriptions of the two deployments and of a small one for tests.

A deployment describes service groups, the backend servers behind them and the
rules. Ports are not part of it: `hawthornfold.emulator.plans` adds them, and
`hawthornfold.emulator.deployment_files` builds the documents.
"""

import typing

FIRST_SNAPSHOT = 's1'
NEXT_SNAPSHOT = 's2'

# Mean service time of a small server. It is long enough that the emulated
# servers' slots, not the emulator's processor time, are what saturates.
SMALL_SERVICE_MS = 20.0
LARGE_SERVICE_MS = 15.0


class GroupSpec(typing.NamedTuple):
    """One service group: its servers and how its shards spread over them.

    Parameters
    ----------
    name : str
        Name of the group; callers name it in the field ``service``.
    shards : int
        Number of shards of the first snapshot.
    servers : int
        Number of backend servers.
    replicas : int
        Servers that hold each shard.
    slots : int
        Requests a server executes at the same time.
    connections : int
        TCP connections a server accepts.
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
    """Services of two small servers each: one shard per service."""
    return GroupSpec(
        name, services, 2 * services, 2, 2, 25, 6.0, SMALL_SERVICE_MS
    )


def _create_large_group(name, servers, slots, connections):
    """One group of larger servers that share six shards."""
    return GroupSpec(
        name, 6, servers, 2, slots, connections, 1.0, LARGE_SERVICE_MS
    )


def _create_rule(name, service, kinds=None, **then):
    when = {'service': service}
    if kinds:
        when['kind'] = list(kinds)
    return {'name': name, 'when': when, 'then': then}


def _urgent_actions(**extra):
    """Return the consequences of an urgent, repeatable request.

    The deadline leaves room for a straggler of ten times the mean service
    time: a shorter one would cap the naive version's tail and hide it.
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
        Services of the voter portal and of the results board.

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

    Six services of two small servers, a group of three larger servers and a
    non-idempotent group.

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
    """Build one entry of ``snapshots`` of a service group document.

    Replicas of shard i are the servers i * replicas, i * replicas + 1, ...
    modulo the number of servers, which gives a small group two servers of
    its own per shard and spreads the others evenly.

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
            # Uneven weights keep coverage from being a count of shards.
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
    """Return the data centre of the server number `index` of a group."""
    centres = deployment.data_centres
    return centres[index % len(centres)]


def node_name(index):
    """Return the name of the entry node number `index`, from 0."""
    return f'entry-{index + 1}'
