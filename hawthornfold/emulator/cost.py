"""Measures the processor time and memory that nodes use per query.

Queries run one after another, so that no queue builds up. The processor time
is what the node processes use, minus what they use when idle.
"""

import dataclasses
import json
import pathlib
import statistics
import typing

import cappa
import urllib3

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets

SETTLE_MS = 3000
IDLE_MS = 4000
SERVICE_MS = 2.0
DEFAULT_QUERIES = 150
SERVICE = 'measured'


class CostSample(typing.NamedTuple):
    """Measured cost of queries over a number of shards.

    Parameters
    ----------
    shards : int
        Number of shards; each has its own two servers.
    nodes : int
        Number of entry nodes; all queries are sent to the first.
    idle_percent : float
        Processor time of an idle node, in percent of a core.
    query_ms : float
        Processor time of all nodes per query in ms, without idle use.
    p50_ms : float
        Median latency at the caller, in ms.
    idle_mb, loaded_mb : float
        Resident memory of the first node in MB, before and after the
        queries.
    """

    shards: int
    nodes: int
    idle_percent: float
    query_ms: float
    p50_ms: float
    idle_mb: float
    loaded_mb: float


def create_measured_deployment(shards):
    """Create a deployment of one group with two replicas per shard.

    Examples
    --------
    >>> create_measured_deployment(3).server_count
    6
    """
    group = deployments.GroupSpec(
        SERVICE, shards, 2 * shards, 2, 2, 25, 1.0, SERVICE_MS
    )
    rule = {
        'name': 'measured',
        'when': {'service': SERVICE},
        'then': {
            'urgency': 'urgent',
            'deadline_ms': 2000,
            'idempotent': True,
            'hedge': True,
            'max_retries': 1,
        },
    }
    return deployments.Deployment(
        'cost', ('dc-1',), (group,), (rule,), 1, 0.0, 0.0
    )


def read_resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024.0
    return 0.0


def _send_query(pool, port):
    response = pool.request(
        'POST',
        f'http://127.0.0.1:{port}/v1/query',
        json={'service': SERVICE, 'kind': 'search', 'text': 'a'},
        retries=False,
    )
    document = response.json()
    if document['outcome'] != 'complete':
        raise RuntimeError(f'query was not complete: {document}')


def measure_cost(shards, nodes, queries):
    """Start a fleet, run queries on it and return a `CostSample`."""
    clock = create_system_clock()
    deployment = create_measured_deployment(shards)
    with fleets.open_fleet(deployment, nodes) as fleet:
        names = list(fleet.nodes)
        first = names[0]
        pid = fleet.process(first).pid
        pool = urllib3.PoolManager(maxsize=1, retries=False)
        port = fleet.plan.nodes[first].callers
        clock.sleep_ms(SETTLE_MS)
        for _ in range(10):
            _send_query(pool, port)
        idle_mb = read_resident_mb(pid)
        before = fleet.processor_seconds(names)
        clock.sleep_ms(IDLE_MS)
        idle_ms = (fleet.processor_seconds(names) - before) * 1000.0
        before = fleet.processor_seconds(names)
        started_ms = clock.now_ms()
        latencies = []
        for _ in range(queries):
            sent_ms = clock.now_ms()
            _send_query(pool, port)
            latencies.append(clock.now_ms() - sent_ms)
        elapsed_ms = clock.now_ms() - started_ms
        used_ms = (fleet.processor_seconds(names) - before) * 1000.0
        idle_share = idle_ms / IDLE_MS
        return CostSample(
            shards,
            nodes,
            round(100.0 * idle_share / nodes, 2),
            round((used_ms - idle_share * elapsed_ms) / queries, 2),
            round(statistics.median(latencies), 2),
            round(idle_mb, 1),
            round(read_resident_mb(pid), 1),
        )


def fit_query_cost(samples):
    """Fit the cost by least squares; return (ms per query, ms per shard).

    Examples
    --------
    >>> one = CostSample(1, 1, 0.0, 3.0, 0.0, 0.0, 0.0)
    >>> two = one._replace(shards=3, query_ms=5.0)
    >>> fit_query_cost([one, two])
    (2.0, 1.0)
    """
    slope, intercept = statistics.linear_regression(
        [sample.shards for sample in samples],
        [sample.query_ms for sample in samples],
    )
    return round(intercept, 3), round(slope, 3)


@cappa.command(name='cost')
@dataclasses.dataclass
class CostCommand:
    """Measure processor time and memory per query and per shard."""

    shards: typing.Annotated[
        list[int] | None, cappa.Arg(long=True, num_args=-1)
    ] = None
    nodes: typing.Annotated[int, cappa.Arg(long=True)] = 1
    queries: typing.Annotated[int, cappa.Arg(long=True)] = DEFAULT_QUERIES

    def __call__(self):
        """Print one JSON object per shard count, then the fitted cost."""
        samples = []
        for shards in self.shards or (1, 20, 30, 60):
            sample = measure_cost(shards, self.nodes, self.queries)
            print(json.dumps(sample._asdict()), flush=True)
            samples.append(sample)
        if len(samples) > 1:
            intercept, slope = fit_query_cost(samples)
            print(json.dumps({'query_ms': intercept, 'shard_ms': slope}))
