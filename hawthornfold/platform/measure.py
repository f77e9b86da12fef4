"""Measures configurations of many routes.

    python -m hawthornfold.platform.measure

docs/CAPACITY.md quotes the figures: the size of a configuration, the processor
time to read it and to apply it, and the same for the next version, in which
one route has changed.
"""

import itertools
import statistics
import sys
import time
import tracemalloc

import msgspec

from hawthornfold.directory import updates
from hawthornfold.platform import documents
from hawthornfold.rules import RequestFacts

ROUTE_COUNTS = (100, 1_500, 10_000)
SHARDS = 90
REPETITIONS = 5


def create_configuration(count, version, changed=None):
    """Return the bytes of a configuration with `count` routes.

    Parameters
    ----------
    changed : int, optional
        Number of a route whose timeout differs.
    """
    shards = [f'shard{number}a' for number in range(SHARDS)]
    routes = [
        {
            'Name': 'r-search',
            'Host': 'h0.example',
            'Prefix': '/search/',
            'RouteType': 'idempotent',
            'TimeoutMs': 600,
            'TargetLatencyMs': 120,
            'FanoutServices': shards,
            'MaxAttempts': 2,
            'TopK': 20,
            'MinSuccessShare': 0.95,
        }
    ]
    for number in range(count - 1):
        routes.append(
            {
                'Name': f'r-{number:07d}',
                'Host': f'h{number % 7}.example',
                'Prefix': f'/p{number:05d}/{number % 97}/',
                'RouteType': 'idempotent',
                'TimeoutMs': 2_000 + (number == changed),
                'TargetLatencyMs': 500,
                'Priority': number % 3,
                'Backend': f'desk{number % 5}',
                'MaxAttempts': 2,
            }
        )
    return msgspec.json.encode(
        {
            'Version': version,
            'Routes': routes,
            'Services': [{'Name': name, 'MaxConns': 120} for name in shards],
            'Limits': {
                'MaxHeaderBytes': 16_384,
                'MaxBodyBytes': 262_144,
                'HeaderTimeoutMs': 3_000,
                'IdleTimeoutMs': 15_000,
            },
        }
    )


def measure_ms(work):
    """Return the median processor time of a function, in milliseconds."""
    samples = []
    for _ in range(REPETITIONS):
        started = time.process_time()
        work()
        samples.append((time.process_time() - started) * 1000.0)
    return statistics.median(samples)


def measure(count):
    """Measure a configuration of `count` routes.

    Returns
    -------
    dict of str to float
        Sizes in bytes, times in milliseconds of processor time.
    """
    first = create_configuration(count, 1)
    tracemalloc.start()
    decoder = documents.ConfigurationDecoder()
    held = decoder.decode(first)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    second = create_configuration(count, 2, count // 2)
    change = updates.encode_change(held, decoder.decode(second))
    sent = msgspec.msgpack.encode(change)
    published = updates.encode_configuration(held, True)
    versions = itertools.cycle((first, second))
    facts = RequestFacts(
        '',
        '',
        '',
        'GET',
        f'/p{count // 2:05d}/{count // 2 % 97}/x',
        {'host': f'h{count // 2 % 7}.example'},
    )
    return {
        'bytes': len(first),
        'first_ms': measure_ms(lambda: documents.decode_configuration(first)),
        'next_ms': measure_ms(lambda: decoder.decode(next(versions))),
        'change_bytes': len(sent),
        'change_ms': measure_ms(
            lambda: updates.decode_change(held, change).unwrap()
        ),
        'snapshot_bytes': len(published.rules),
        'snapshot_ms': measure_ms(
            lambda: updates.decode_configuration(published).unwrap()
        ),
        'match_us': measure_ms(
            lambda: [held.rules.match(facts) for _ in range(1_000)]
        ),
        'memory_kb': memory / 1024,
    }


def main():
    """Print one line for each number of routes."""
    for count in ROUTE_COUNTS:
        print(
            f'routes={count}',
            *(f'{name}={value:.1f}' for name, value in measure(count).items()),
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
