"""Compares what callers were told with what the backends' ledger says."""

import collections


def check_claims(claims, records, reference=None, at_most_once=()):
    """Return the violations of the promises, one line each.

    Parameters
    ----------
    claims : iterable of Claim
        What callers were told.
    records : iterable of dict
        Ledger records of all backend servers.
    reference : ReferenceReader, optional
        Where given, answers are compared with it.
    at_most_once : collection of str
        Services whose queries must not run twice.
    """
    started = collections.defaultdict(list)
    for record in records:
        if record['started_ms'] is not None:
            started[record['request_id']].append(record)
    violations = []
    for claim in claims:
        violations += _check_not_run(claim, started)
        if claim.status == 200:
            violations += _check_answer(claim, started, reference)
    violations += _check_at_most_once(claims, started, at_most_once)
    violations += _check_own_request(claims)
    return violations


def _check_not_run(claim, started):
    # A ticket may be refused for one sending and run for another; then the
    # claim of "no" must still hold for everything under that ticket unless
    # another sending was told that it ran.
    if claim.ran != 'no' or claim.request_id is None:
        return []
    code = claim.document.get('code_name')
    if code in ('TICKET_CONFLICT', 'TICKET_REQUIRED'):
        # Says that this sending did not run, not the ticket's first one.
        return []
    if claim.request_id in started:
        return [f'{claim.request_id}: told "no" ({code}) but it ran']
    return []


def _check_answer(claim, started, reference):
    document = claim.document
    snapshot = document['snapshot']
    coverage = document['coverage']
    violations = [
        f'{claim.request_id}: hit {hit["id"]} is not of {snapshot}'
        for hit in document['hits']
        if snapshot not in hit['text'].split()
    ]
    missing = set(coverage['missing_shards'])
    ran = {
        shard
        for record in started.get(claim.request_id, ())
        if record['snapshot'] == snapshot
        for shard in record['shards']
    }
    if reference is None:
        return violations
    covered = [
        name
        for name in reference.shards(claim.query.service, snapshot)
        if name not in missing
    ]
    if not set(covered) <= ran:
        violations.append(
            f'{claim.request_id}: covers {sorted(set(covered) - ran)}, '
            f'which did not run'
        )
    total, hits = reference.answer(claim.query, snapshot, covered)
    if (document['total'], document['hits']) != (total, hits):
        violations.append(
            f'{claim.request_id}: differs from the naive merge over '
            f'{len(covered)} shards: {document["total"]} of {total}'
        )
    return violations


def _check_at_most_once(claims, started, services):
    violations = []
    once = {
        claim.request_id
        for claim in claims
        if claim.query.service in services and claim.request_id
    }
    once |= {
        claim.ticket
        for claim in claims
        if claim.query.service in services and claim.ticket
    }
    for request_id in sorted(once):
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


def _check_own_request(claims):
    """Every answer carries the ticket it was asked with."""
    return [
        f'{claim.ticket}: got the answer of {claim.request_id}'
        for claim in claims
        if claim.status == 200
        and claim.ticket is not None
        and claim.request_id != claim.ticket
    ]
