"""Measures exchanges with a backend server without a node in between."""

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import deployments
from hawthornfold.emulator import measures


def measure_direct_exchange(fleet, exchanges=40):
    """Return the latency overhead of a direct exchange with a server.

    Returns
    -------
    float
        Median latency in ms in excess of the server's own time. It is the
        baseline for ``added_p50_ms``, which is measured through the tier.
    """
    group = fleet.plan.deployment.groups[0]
    server = deployments.server_names(group)[0]
    place = fleet.plan.servers[server]
    clock = create_system_clock()
    marks = fleet.read_ledger_positions()
    claims = []
    for number in range(exchanges):
        body = {
            'request_id': f'probe-{number}',
            'attempt': 1,
            'snapshot': deployments.FIRST_SNAPSHOT,
            'deadline_ms': 1000,
            'shards': ['shard-1'],
            'kind': 'search',
            'text': 'oakford',
            'limit': 10,
        }
        started_ms = clock.now_ms()
        fleet.call(place.port, 'POST', '/v1/search', body)
        latency_ms = clock.now_ms() - started_ms
        claims.append(
            (body['request_id'], 'yes', 'complete', latency_ms, latency_ms)
        )
    records = fleet.collect_ledger(marks)
    return measures.measure_added_ms(claims, records)['caller']
