"""Compares the claims of a trial with the backends' ledger."""

import collections


def check_claims(
    claims, records, reference=None, at_most_once=(), lost_servers=()
):
    """Return the violations of what the tier guarantees, one line each.

    Parameters
    ----------
    claims : iterable of Claim
        The responses that callers received.
    records : iterable of dict
        Ledger records of all backend servers.
    reference : ReferenceReader, optional
        Reads the reference answers that answers are compared with; without
        it, answers are not compared.
    at_most_once : collection of str
        Services whose queries must not run twice.
    lost_servers : collection of str
        Servers whose ledger was lost with their process. The ledger cannot
        show whether their shards ran, so this is not checked for them.
    """
    started = collections.defaultdict(list)
    for record in records:
        if record['started_ms'] is not None:
            started[record['request_id']].append(record)
    claims_by_id = collections.defaultdict(list)
    for claim in claims:
        claims_by_id[claim.request_id].append(claim)
    violations = []
    for claim in claims:
        violations += _check_not_run(claim, started, claims_by_id)
        if claim.status == 200:
            violations += _check_answer(
                claim, started, reference, frozenset(lost_servers)
            )
    violations += _check_at_most_once(claims, started, at_most_once)
    violations += _check_own_answers(claims)
    return violations


def _check_not_run(claim, started, claims_by_id):
    if claim.ran != 'no' or claim.request_id is None:
        return []
    code = claim.document.get('code_name')
    if code in ('TICKET_CONFLICT', 'TICKET_REQUIRED'):
        # The code denies a run of this query only, not of an earlier query
        # with the same ticket.
        return []
    others = [
        other
        for other in claims_by_id[claim.request_id]
        if other is not claim and other.ran != 'no'
    ]
    return [
        f'{claim.request_id}: "ran" is "no" ({code}) but it ran'
        for record in started.get(claim.request_id, ())
        if not _may_be_other_run(record, claim, others)
    ][:1]


def _may_be_other_run(record, claim, others):
    """Return whether the run may belong to another query with the ticket.

    A "no" denies runs of all earlier queries with the ticket. It is not
    contradicted by the run of a query that was sent later or was in
    progress at the same time.
    """
    return any(
        other.ended_ms > claim.began_ms
        and record['started_ms'] >= other.began_ms
        for other in others
    )


def _check_answer(claim, started, reference, lost_servers):
    document = claim.document
    snapshot = document['snapshot']
    missing = document['coverage']['missing_shards']
    violations = [
        f'{claim.request_id}: hit {hit["id"]} is not in {snapshot}'
        for hit in document['hits']
        if snapshot not in hit['text'].split()
    ]
    if (document['outcome'] == 'complete') is not (not missing):
        violations.append(
            f'{claim.request_id}: {document["outcome"]}, missing {missing}'
        )
    if reference is None:
        return violations
    names = reference.shards(claim.query.service, snapshot)
    covered = [name for name in names if name not in missing]
    return (
        violations
        + _check_coverage(claim, covered, reference)
        + _check_covered_ran(claim, covered, started, reference, lost_servers)
        + _check_merged_answer(claim, covered, reference)
    )


def _check_coverage(claim, covered, reference):
    snapshot = claim.document['snapshot']
    service = claim.query.service
    names = reference.shards(service, snapshot)
    missing = claim.document['coverage']['missing_shards']
    actual_coverage = {
        'answered_weight': reference.weight(service, snapshot, covered),
        'total_weight': reference.weight(service, snapshot, names),
        'missing_shards': sorted(set(names) - set(covered)),
    }
    claimed = claim.document['coverage'] | {'missing_shards': sorted(missing)}
    if claimed == actual_coverage:
        return []
    return [f'{claim.request_id}: claims {claimed}, is {actual_coverage}']


def _check_covered_ran(claim, covered, started, reference, lost_servers):
    snapshot = claim.document['snapshot']
    ran = {
        shard
        for record in started.get(claim.request_id, ())
        if record['snapshot'] == snapshot
        for shard in record['shards']
    }
    not_run = [
        shard
        for shard in covered
        if shard not in ran
        and lost_servers.isdisjoint(
            reference.replicas(claim.query.service, snapshot, shard)
        )
    ]
    if not not_run:
        return []
    return [f'{claim.request_id}: covers {not_run}, which did not run']


def _check_merged_answer(claim, covered, reference):
    document = claim.document
    total, hits = reference.answer(claim.query, document['snapshot'], covered)
    if (document['total'], document['hits']) == (total, hits):
        return []
    return [
        f'{claim.request_id}: differs from the naive merge over '
        f'{len(covered)} shards: {document["total"]} of {total}'
    ]


def _check_at_most_once(claims, started, services):
    violations = []
    request_ids = {
        claim.request_id
        for claim in claims
        if claim.query.service in services and claim.request_id
    }
    request_ids |= {
        claim.ticket
        for claim in claims
        if claim.query.service in services and claim.ticket
    }
    for request_id in sorted(request_ids):
        counts = collections.Counter(
            shard
            for record in started.get(request_id, ())
            for shard in record['shards']
        )
        violations += [
            f'{request_id}: shard {shard} ran {count} times'
            for shard, count in sorted(counts.items())
            if count > 1
        ]
    return violations


def _check_own_answers(claims):
    """Return the answers that belong to another ticket's request."""
    return [
        f'{claim.ticket}: got the answer of {claim.request_id}'
        for claim in claims
        if claim.status == 200
        and claim.ticket is not None
        and claim.request_id != claim.ticket
    ]
