"""Measures the memory of a node's state; run it with ``python -m``.

Prints the bytes per item for each kind of state whose size depends on the
fleet or the load. docs/CAPACITY.md uses the figures.
"""

import json
import tracemalloc

import logbook

from hawthornfold.audit import create_audit_trail
from hawthornfold.audit import create_request_journal
from hawthornfold.clock import create_manual_clock
from hawthornfold.owners.state import ServerState
from hawthornfold.routing import create_rendezvous_policy
from hawthornfold.routing import create_replica_ranker
from hawthornfold.routing.measure import create_fleet
from hawthornfold.snapshots import BackendServer
from hawthornfold.snapshots import create_snapshot_selector
from hawthornfold.snapshots import parse_service_group
from hawthornfold.tickets import create_ticket_ledger

ITEMS = 2000


def measure_bytes(count, build):
    """Return the bytes per item of the object that `build(count)` returns.

    Examples
    --------
    >>> measure_bytes(1000, lambda count: [bytes(100)] * count) < 20
    True
    """
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round((after - before) / count)


def create_group_document(server_count):
    """Return a service group with two servers per shard, as JSON bytes."""
    servers = [
        {
            'name': f'portal-{i}',
            'address': f'10.0.{i // 250}.{i % 250}:9000',
            'data_centre': 'dc',
            'slots': 2,
            'connections': 25,
        }
        for i in range(server_count)
    ]
    shards = [
        {
            'name': f'shard-{i}',
            'weight': 1000,
            'replicas': [f'portal-{2 * i}', f'portal-{2 * i + 1}'],
        }
        for i in range(server_count // 2)
    ]
    document = {
        'servers': servers,
        'snapshots': [{'name': 's1', 'shards': shards}],
    }
    return json.dumps(document).encode()


def _build_group(count):
    return parse_service_group('g', create_group_document(count)).ok_value


def _build_selector(count):
    selector = create_snapshot_selector(_build_group(2))
    for i in range(count):
        selector.record_held_snapshots(f'portal-{i}', ('s1',), 0.0)
    return selector


def _build_ranker(count):
    ranker = create_replica_ranker(1)
    for i in range(count):
        ranker.record_reply(f'portal-{i}', 20.0, 1, 0.0)
    return ranker


def _build_owned(count):
    policy = create_rendezvous_policy()
    clock = create_manual_clock()
    server = BackendServer('s', '127.0.0.1:1', 'dc', 2, 25)
    return [ServerState('g', server, policy, clock) for _ in range(count)]


def _build_policy(count):
    members, servers = create_fleet(16, count)
    policy = create_rendezvous_policy()
    policy.update_members(members)
    for server in servers:
        policy.owners(server)
    return policy


def _build_tickets(count):
    ledger = create_ticket_ledger()
    ledger.record_issue(1, 0.0)
    for i in range(1, count + 1):
        ledger.claim(i, bytes(16), 0.0)
        ledger.record_answer(i, None, 0)
    return ledger


def _build_journal(count):
    journal = create_request_journal(create_manual_clock(), count)
    for i in range(count):
        journal.open(f'r{i}')
        for step in range(60):
            journal.add(f'r{i}', 'primary', 'portal-1', f'attempt {step}')
    return journal


def _build_audit(count):
    trail = create_audit_trail(create_manual_clock(), count)
    with logbook.NullHandler():
        for i in range(count):
            trail.record('drain', f's{i}', 'active', 'draining', 'flag')
    return trail


BUILDERS = {
    'backend_server_in_layout': (_build_group, ITEMS),
    'server_view_in_selector': (_build_selector, ITEMS),
    'replica_estimate': (_build_ranker, ITEMS),
    'owned_server': (_build_owned, ITEMS),
    'kept_owners_of_a_server': (_build_policy, ITEMS),
    'used_ticket_without_answer': (_build_tickets, ITEMS),
    'journal_of_a_30_shard_query': (_build_journal, 200),
    'audit_entry': (_build_audit, ITEMS),
}


def main():
    """Print a JSON object with the bytes per item of each kind of state."""
    sizes = {
        name: measure_bytes(count, build)
        for name, (build, count) in BUILDERS.items()
    }
    print(json.dumps(sizes, indent=1))


if __name__ == '__main__':
    main()
