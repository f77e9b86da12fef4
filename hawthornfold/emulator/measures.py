"""Evaluates a run from the callers' results and the servers' ledger."""

import collections
import pathlib
import statistics

_PERCENTILES = {'p50': 50.0, 'p99': 99.0, 'p999': 99.9}


def summarise_latency(histograms):
    """Return latency percentiles in ms by urgency.

    Examples
    --------
    >>> from hawthornfold.emulator import recorder
    >>> histogram = recorder.create_histogram()
    >>> histogram.record_value(20_000)
    True
    >>> summarise_latency({'urgent': histogram})['urgent']['p99']
    20.0
    """
    return {
        urgency: {
            name: round(histogram.get_value_at_percentile(percent) / 1000, 1)
            for name, percent in _PERCENTILES.items()
        }
        for urgency, histogram in histograms.items()
        if histogram.get_total_count()
    }


def summarise_counts(counts, seconds):
    """Return coverage, goodput and outcomes by urgency.

    Parameters
    ----------
    counts : dict
        As collected by `recorder.Recorder`, by urgency.
    seconds : float
        Length of the measured part of the run, in seconds.
    """
    summary = {}
    for urgency, values in counts.items():
        if not values['sent']:
            continue
        # A request without data or without any answer counts as zero
        # coverage. Refused requests are left out of the average.
        answered = values['sent'] - values['refused']
        summary[urgency] = {
            'offered_per_second': round(values['sent'] / seconds, 1),
            'goodput_per_second': round(values['good'] / seconds, 1),
            'good_percent': _percent(values['good'], values['sent']),
            'mean_coverage_percent': _percent(
                values['coverage_sum'], answered
            ),
            'full_coverage_percent': _percent(values['full'], answered),
        } | {
            name: values[name]
            for name in ('complete', 'partial', 'refused', 'failed', 'dropped')
        }
    return summary


def _percent(part, whole):
    return round(100.0 * part / whole, 3) if whole else 0.0


def _group_by_request(records):
    groups = collections.defaultdict(list)
    for record in records:
        groups[record['request_id']].append(record)
    return groups


def count_extra_load(records):
    """Return the percentage of work beyond one request per shard.

    Parameters
    ----------
    records : sequence of dict
        Records of the servers' ledger.

    Returns
    -------
    dict
        Extra work that was sent and that ran, in percent of the minimum.
        Shards are counted, because one sub-request may query several shards
        of a server.

    Examples
    --------
    >>> record = {'request_id': 'q', 'shards': ['a'], 'started_ms': 1.0}
    >>> count_extra_load([record, record])
    {'extra_sent_percent': 100.0, 'extra_ran_percent': 100.0}
    """
    minimum = sent = ran = 0
    for group in _group_by_request(records).values():
        minimum += len({shard for r in group for shard in r['shards']})
        sent += sum(len(r['shards']) for r in group)
        ran += sum(
            len(r['shards']) for r in group if r['started_ms'] is not None
        )
    return {
        'extra_sent_percent': _percent(sent - minimum, minimum),
        # Refused work and work cancelled in a queue never ran, so fewer
        # shards than the minimum may have run.
        'extra_ran_percent': max(_percent(ran - minimum, minimum), 0.0),
    }


def count_violations(claims, records, at_most_once_servers):
    """Count answers that the ledger contradicts.

    Parameters
    ----------
    claims : sequence
        (request id, reported ran, ...) of every answer.
    records : sequence of dict
        Records of the servers' ledger.
    at_most_once_servers : collection of str
        Servers whose requests must not run twice.

    Returns
    -------
    dict
        ``doubled``: non-idempotent requests with a shard that ran twice.
        ``falsely_refused``: reported as not run, but ran. ``falsely_run``:
        reported as run, but did not.

    Examples
    --------
    >>> record = {'request_id': 'q', 'shards': ['a'], 'started_ms': 1.0,
    ...     'server': 'p'}
    >>> count_violations([('q', 'no')], [record, record], {'p'})
    {'doubled': 1, 'falsely_refused': 1, 'falsely_run': 0}
    """
    ran = set()
    runs = collections.Counter()
    for record in records:
        if record['started_ms'] is None:
            continue
        ran.add(record['request_id'])
        if record['server'] in at_most_once_servers:
            for shard in record['shards']:
                runs[record['request_id'], shard] += 1
    doubled = {request for (request, _), count in runs.items() if count > 1}
    return {
        'doubled': len(doubled),
        'falsely_refused': sum(
            claim[1] == 'no' and claim[0] in ran for claim in claims
        ),
        'falsely_run': sum(
            claim[1] == 'yes' and claim[0] not in ran for claim in claims
        ),
    }


def measure_added_ms(claims, records):
    """Return the median latency in excess of the slowest shard's time.

    Parameters
    ----------
    claims : sequence
        (request id, ran, outcome, caller's latency in ms, node's latency in
        ms) of every answer.
    records : sequence of dict
        Records of the servers' ledger.

    Returns
    -------
    dict
        ``caller`` and ``node`` in ms; None when no answer is complete. A
        shard's time runs from receipt at the server to the end of the work,
        including time in the queue. The caller's latency also includes the
        generator's own work for the exchange.
    """
    groups = _group_by_request(records)
    added = {'caller': [], 'node': []}
    for request_id, _, outcome, caller_ms, node_ms in claims:
        if outcome != 'complete':
            continue
        shard_ms = {}
        for record in groups.get(request_id, ()):
            if record['outcome'] != 'ran':
                continue
            duration = record['finished_ms'] - record['received_ms']
            for shard in record['shards']:
                shard_ms[shard] = min(shard_ms.get(shard, duration), duration)
        if shard_ms:
            added['caller'].append(caller_ms - max(shard_ms.values()))
            added['node'].append(node_ms - max(shard_ms.values()))
    return {
        name: round(statistics.median(values), 2) if values else None
        for name, values in added.items()
    }


def read_machine_ticks():
    """Return the machine's (busy, total) processor ticks since boot."""
    line = pathlib.Path('/proc/stat').read_text().splitlines()[0]
    ticks = [int(value) for value in line.split()[1:9]]
    idle = ticks[3] + ticks[4]
    return sum(ticks) - idle, sum(ticks)


def compute_latency_ratios(tier, naive):
    """Return the tier's latencies divided by the naive version's.

    Examples
    --------
    >>> compute_latency_ratios(
    ...     {'urgent': {'p99': 40.0}}, {'urgent': {'p99': 160.0}})
    {'urgent': {'p99': 0.25}}
    """
    return {
        urgency: {
            name: round(value / naive[urgency][name], 3)
            for name, value in values.items()
            if naive.get(urgency, {}).get(name)
        }
        for urgency, values in tier.items()
    }
