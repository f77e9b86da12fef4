"""Measures the spread of changes over simulated nodes.

Run as ``python -m hawthornfold.configuration.measure``. All nodes run in
this process with the production services; time on the network is simulated,
processor time is measured and includes the encoding of messages.
"""

import argparse
import random
import sys
import time
import typing

from hawthornfold.configuration import simulation as simulations

DATA_CENTRES = 11
REGIONS = 4
LOCAL_DELAY_MS = 5.0
REGION_DELAY_MS = 40.0
CHANGE_INTERVAL_MS = 13_000.0
GROUPS = 20
# Time until the membership reports killed watchers to all nodes: one probe
# interval and timeout, the suspicion of section 8.2, and the dissemination.
DETECTION_MS = 5_000.0
# Random bytes in a line of a document.
LINE_BYTES = 40
LIMIT_MS = 60_000.0


class Figures(typing.NamedTuple):
    """The result of one run.

    Parameters
    ----------
    in_force_ms : tuple of float
        Simulated time until each change was in force on all live nodes,
        sorted.
    idle_bytes, change_bytes : float
        Bytes sent per node and second without changes and with one change
        in 13 s.
    reads : float
        Platform reads per second of all nodes.
    change_cpu_ms : float
        Processor time per node and change above that of an idle node.
    idle_cpu_ms : float
        Processor time per node and second without changes.
    """

    in_force_ms: tuple[float, ...]
    idle_bytes: float
    change_bytes: float
    reads: float
    change_cpu_ms: float
    idle_cpu_ms: float


def find_delay_ms(sender, receiver):
    """Return the delay between two members by their regions.

    Data centre ``c7`` lies in region 7 % 4.
    """
    centres = (sender.data_centre, receiver.data_centre)
    first, second = (int(name[1:]) % REGIONS for name in centres)
    return LOCAL_DELAY_MS if first == second else REGION_DELAY_MS


def create_document(source, size):
    """Return the lines of a text of about `size` bytes, like a server list.

    Random hexadecimal text compresses to half its size. Repetitive text would
    make full documents look too small.
    """
    lines = []
    length = 0
    while length < size:
        line = source.randbytes(LINE_BYTES).hex()
        lines.append(line)
        length += len(line) + 1
    return lines


def change_document(source, lines):
    """Replace one random line, as a change of one server does."""
    lines[source.randrange(len(lines))] = source.randbytes(LINE_BYTES).hex()


def measure(nodes, size, use_deltas=True, kill=False, changes=3, seed=1):
    """Measure one combination of parameters.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    size : int
        Bytes of each changed document.
    use_deltas : bool
        False sends documents in full.
    kill : bool
        Kill all watchers at the time of each change, before they read it;
        they restart one interval before the next change.
    changes : int
        Number of changes, one in 13 s.
    seed : int
        Seed of the run.

    Returns
    -------
    Figures
    """
    source = random.Random(seed)
    simulation = simulations.Simulation(
        find_delay_ms, seed, use_deltas=use_deltas
    )
    documents = [create_document(source, size) for _ in range(GROUPS)]

    def write(index):
        value = '\n'.join(documents[index]).encode()
        simulation.platform.write(f'services/{index}', value)

    simulation.platform.write('rules', b'{}')
    for index in range(GROUPS):
        write(index)
    centres = [f'c{x}' for x in range(min(DATA_CENTRES, max(nodes // 3, 1)))]
    simulation.add_nodes(nodes, centres)
    simulation.run(15_000.0)
    idle_bytes, idle_cpu_ms, reads = _measure_load(
        simulation, lambda: simulation.run(CHANGE_INTERVAL_MS)
    )
    durations = []

    def change():
        for number in range(changes):
            index = number % GROUPS
            change_document(source, documents[index])
            write(index)
            durations.append(_await_change(simulation, index, kill))

    change_bytes, change_cpu_ms, _ = _measure_load(simulation, change)
    seconds = CHANGE_INTERVAL_MS / 1000.0
    return Figures(
        tuple(sorted(durations)),
        idle_bytes,
        change_bytes,
        reads,
        (change_cpu_ms - idle_cpu_ms) * seconds,
        idle_cpu_ms,
    )


def _measure_load(simulation, work):
    """Return bytes and processor ms per node and second, and reads/s."""
    started_ms = simulation.clock.now_ms()
    sent = simulation.sent_bytes
    reads = simulation.platform.reads
    started_s = time.process_time()
    work()
    cpu_ms = (time.process_time() - started_s) * 1000.0
    seconds = (simulation.clock.now_ms() - started_ms) / 1000.0
    node_seconds = len(simulation.nodes) * seconds
    return (
        (simulation.sent_bytes - sent) / node_seconds,
        cpu_ms / node_seconds,
        (simulation.platform.reads - reads) / seconds,
    )


def _await_change(simulation, index, kill):
    """Run one change interval; return the ms until all nodes are updated."""
    revision = simulation.platform.revision
    started_ms = simulation.clock.now_ms()
    lagging = set(simulation.nodes)
    finished = []

    def record_change(name, change):
        if change.key == f'services/{index}' and (
            change.after.newest.revision >= revision
        ):
            lagging.discard(name)
            if not lagging:
                finished.append(simulation.clock.now_ms() - started_ms)

    for name, node in simulation.nodes.items():
        node.store.subscribe(
            lambda change, name=name: record_change(name, change)
        )
    killed = []
    if kill:
        for name in simulation.find_watchers():
            killed.append(simulation.nodes[name].member)
            simulation.kill_node(name)
            lagging.discard(name)
        simulation.run(DETECTION_MS)
        simulation.refresh_membership()
    elapsed_ms = simulation.clock.now_ms() - started_ms
    simulation.run(CHANGE_INTERVAL_MS - elapsed_ms)
    if not finished:
        simulation.run(LIMIT_MS, until=lambda: bool(finished))
    for member in killed:
        simulation.add_node(
            member.name, member.data_centre, None, member.incarnation + 1
        )
    simulation.refresh_membership()
    if killed:
        # The watchers that took their place finish their long polls before
        # the next change.
        simulation.run(CHANGE_INTERVAL_MS)
    return finished[0] if finished else LIMIT_MS


def main(arguments=None):
    """Print one line of figures for each run."""
    parser = argparse.ArgumentParser(prog='hawthornfold.configuration.measure')
    parser.add_argument(
        '--nodes', type=int, nargs='+', default=[8, 64, 512, 4096]
    )
    parser.add_argument('--size', type=int, nargs='+', default=[5_000, 50_000])
    parser.add_argument('--changes', type=int, default=3)
    options = parser.parse_args(arguments)
    print(
        'nodes  size form  watchers  in force ms (median, max) '
        '  B/s idle  B/s change  reads/s  cpu ms/change  cpu ms/s idle'
    )
    cases = [
        (nodes, size, use_deltas, kill)
        for nodes in options.nodes
        for size in options.size
        for use_deltas, kill in ((True, False), (False, False), (True, True))
    ]
    for nodes, size, use_deltas, kill in cases:
        found = measure(nodes, size, use_deltas, kill, options.changes)
        median_ms = found.in_force_ms[len(found.in_force_ms) // 2]
        print(
            f'{nodes:5} {size:5} {"delta" if use_deltas else "full ":5} '
            f'{"killed" if kill else "alive ":8}'
            f'{median_ms:14.0f} {found.in_force_ms[-1]:8.0f} '
            f'{found.idle_bytes:16.0f} {found.change_bytes:11.0f} '
            f'{found.reads:8.1f} {found.change_cpu_ms:14.2f} '
            f'{found.idle_cpu_ms:14.2f}',
            flush=True,
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
