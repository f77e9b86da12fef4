"""Measures how long a configuration change takes to reach all nodes.

The status pages of the nodes are polled one after the other, so a measured
time includes up to one round of polls. No test depends on the result.
"""

import argparse
import itertools
import json
import statistics
import typing

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.integration import revisions
from hawthornfold.integration import waiting
from hawthornfold.integration.callers import read_operator_page


class SpreadFigures(typing.NamedTuple):
    """The results of one measurement.

    Parameters
    ----------
    in_force_ms : tuple of float
        Time in ms from the publication of each change until all nodes had it
        in force.
    seconds : float
        Duration of the measurement in seconds, over all changes.
    reads : int
        Number of platform reads by all nodes in that time.
    messages : dict of str to int
        Number of configuration messages sent in that time, by type.
    served_bytes : int
        Bytes of documents that nodes sent to each other in that time.
    """

    in_force_ms: tuple[float, ...]
    seconds: float
    reads: int
    messages: dict[str, int]
    served_bytes: int


def sum_counters(fleet, prefix):
    """Return counters whose names start with `prefix`, summed over nodes."""
    sums = {}
    for node in fleet.nodes:
        counters = read_operator_page(fleet, node, 'status')['counters']
        for name, value in counters.items():
            if name.startswith(prefix):
                sums[name] = sums.get(name, 0) + value
    return sums


def subtract_counters(after, before):
    """Return the increase of each counter.

    Examples
    --------
    >>> subtract_counters({'a': 3, 'b': 1}, {'a': 1})
    {'a': 2, 'b': 1}
    """
    return {name: after[name] - before.get(name, 0) for name in after}


def _publish_rules(fleet, rules):
    document = {'default': None, 'rules': rules}
    return fleet.publish('rules', json.dumps(document))[1]['revision']


def _count_reads(fleet):
    return fleet.control_platform('GET', '/control/reads')[1]['reads']


def measure_spread(node_count, changes):
    """Run a fleet, publish changes one by one and measure their spread.

    Parameters
    ----------
    node_count : int
        Number of entry nodes, which are in three data centres.
    changes : int
        Number of changes of the rules.

    Returns
    -------
    SpreadFigures
    """
    deployment = deployments.create_small()
    clock = create_system_clock()
    with fleets.open_fleet(deployment, node_count) as fleet:
        waiting.wait_for(
            lambda: (
                len(revisions.list_watchers(fleet))
                == min(node_count, 2 * len(deployment.data_centres))
            ),
            'the watchers',
        )
        sent_before = sum_counters(fleet, 'configuration_sent')
        served_before = sum_counters(fleet, 'configuration_served_bytes')
        reads_before = _count_reads(fleet)
        started_ms = clock.now_ms()
        spread_times_ms = []
        rules = list(deployment.rules)
        for _ in range(changes):
            rules = revisions.extend_rules(rules)
            published_ms = clock.now_ms()
            revision = _publish_rules(fleet, rules)
            pending = set(fleet.nodes)
            for name in itertools.cycle(fleet.nodes):
                if not pending:
                    break
                if name in pending and (
                    revisions.read_revision(fleet, name) >= revision
                ):
                    pending.remove(name)
            spread_times_ms.append(clock.now_ms() - published_ms)
            clock.sleep_ms(500)
        seconds = (clock.now_ms() - started_ms) / 1000.0
        return SpreadFigures(
            tuple(spread_times_ms),
            seconds,
            _count_reads(fleet) - reads_before,
            subtract_counters(
                sum_counters(fleet, 'configuration_sent'), sent_before
            ),
            sum(
                subtract_counters(
                    sum_counters(fleet, 'configuration_served_bytes'),
                    served_before,
                ).values()
            ),
        )


def format_figures(node_count, figures):
    """Return the figures as lines of text.

    Examples
    --------
    >>> print(format_figures(2, SpreadFigures((9.0,), 2.0, 4, {}, 80)))
    2 nodes, 1 changes: in force at all nodes after 9 ms (median), 9 ms (max)
    platform reads: 2.0 per second, by all nodes
    documents between nodes: 20 bytes per node and second
    """
    times_ms = figures.in_force_ms
    lines = [
        f'{node_count} nodes, {len(times_ms)} changes: in force at all nodes '
        f'after {statistics.median(times_ms):.0f} ms (median), '
        f'{max(times_ms):.0f} ms (max)',
        f'platform reads: {figures.reads / figures.seconds:.1f} per second, '
        f'by all nodes',
        f'documents between nodes: '
        f'{figures.served_bytes / figures.seconds / node_count:.0f} '
        f'bytes per node and second',
    ]
    lines += [
        f'{name}: {count / figures.seconds / node_count:.2f} '
        f'per node and second'
        for name, count in sorted(figures.messages.items())
    ]
    return '\n'.join(lines)


def main():
    """Run the measurement with the command line's options and print it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--nodes', type=int, default=3)
    parser.add_argument('--changes', type=int, default=20)
    options = parser.parse_args()
    figures = measure_spread(options.nodes, options.changes)
    print(format_figures(options.nodes, figures))


if __name__ == '__main__':
    main()
