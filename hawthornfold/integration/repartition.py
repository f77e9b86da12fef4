"""Runs a service group whose snapshots differ in their number of shards."""

from hawthornfold.emulator import corpus
from hawthornfold.emulator import deployment_files
from hawthornfold.emulator import plans
from hawthornfold.emulator import processes
from hawthornfold.integration import trials
from hawthornfold.integration.callers import TrialQuery

GROUP = 'archive'
SERVERS = tuple(f'{GROUP}-{index}' for index in range(1, 5))
SHARD_COUNTS = {'s1': 4, 's2': 7}
DOCUMENTS = 400
SEED = 1
_SLOTS = 2
_CONNECTIONS = 25
_SERVICE_MS = 10.0
QUERIES = tuple(query._replace(service=GROUP) for query in trials.SEARCHES) + (
    TrialQuery(GROUP, kind='record', text=f'{GROUP}-00007'),
)


def start_group(trial):
    """Start the group's servers and publish it with the first snapshot."""
    fleet = trial.fleet
    control_port, *ports = processes.pick_ports(1 + len(SERVERS))
    process = f'backends-{GROUP}'
    path = fleet.write_file(
        f'{process}.json',
        [
            {
                'name': name,
                'group': GROUP,
                'port': port,
                'shards': _build_shards(name),
                'held': ['s1'],
                'slots': _SLOTS,
                'connections': _CONNECTIONS,
                'service_ms': _SERVICE_MS,
                'corpus_seed': SEED,
            }
            for name, port in zip(SERVERS, ports, strict=True)
        ],
    )
    fleet.add_process(
        process,
        'hawthornfold.emulator',
        'backends',
        '--spec',
        str(path),
        '--control-port',
        str(control_port),
    )
    for name, port in zip(SERVERS, ports, strict=True):
        fleet.plan.servers[name] = plans.ServerLocation(
            process, control_port, port
        )
    fleet.wait_for_ports()
    trial.add_group_document(GROUP, build_document(fleet, *SHARD_COUNTS))
    publish_snapshots(fleet, 's1')
    rules = deployment_files.build_rules_document(fleet.plan.deployment)
    rules['rules'].append(
        {
            'name': GROUP,
            'when': {'service': GROUP},
            'then': {'deadline_ms': 1000, 'idempotent': True},
        }
    )
    fleet.publish_document('rules', rules)


def publish_snapshots(fleet, *snapshots):
    """Publish the group with these snapshots, oldest first."""
    fleet.publish_document(
        f'services/{GROUP}', build_document(fleet, *snapshots)
    )


def build_document(fleet, *snapshots):
    """Build the group's document with these snapshots, oldest first."""
    addresses = fleet.plan.addresses()
    return {
        'servers': [
            {
                'name': name,
                'address': addresses[name],
                'data_centre': fleet.plan.deployment.data_centres[0],
                'slots': _SLOTS,
                'connections': _CONNECTIONS,
            }
            for name in SERVERS
        ],
        'snapshots': [
            {'name': name, 'shards': _build_layout(name)} for name in snapshots
        ],
    }


def _build_layout(snapshot):
    plan = corpus.plan_shards(SEED, GROUP, DOCUMENTS, SHARD_COUNTS[snapshot])
    return [
        {
            'name': shard['name'],
            'weight': shard['weight'],
            'replicas': _list_replicas(index),
        }
        for index, shard in enumerate(plan)
    ]


def _list_replicas(index):
    return [SERVERS[(index + step) % len(SERVERS)] for step in range(2)]


def _build_shards(server):
    return {
        snapshot: [
            shard
            for index, shard in enumerate(
                corpus.plan_shards(SEED, GROUP, DOCUMENTS, count)
            )
            if server in _list_replicas(index)
        ]
        for snapshot, count in SHARD_COUNTS.items()
    }
