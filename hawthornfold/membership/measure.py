"""Measures the cost of membership on simulated fleets of several sizes.

Run it as ``python -m hawthornfold.membership.measure [SIZE ...]``. All state
machines run in this process on a manual clock. Frames are encoded and
decoded, but no sockets are used; ``hawthornfold.peers.measure`` measures the
links.
"""

import gc
import statistics
import sys
import time
import tracemalloc

from hawthornfold.membership import simulation
from hawthornfold.membership.table import MemberTable
from hawthornfold.peers import codec
from hawthornfold.peers import messages
from hawthornfold.peers.messages import Update

_SIZES = (8, 64, 512, 4096)
_QUIET_MS = 10_000
_CYCLE_MS = 10_000
_CYCLES = 6
_MEMORY_RECORDS = 7_200


def measure_record_bytes():
    """Return the bytes of memory per member in a table of 7,200.

    The records are decoded from a frame, as in a node that has joined.
    """
    updates = tuple(
        Update(
            f'entry-{number}',
            simulation.create_address(f'entry-{number}'),
            'zilina-1',
            1_700_000_000_000 + number,
            0,
            0,
        )
        for number in range(_MEMORY_RECORDS)
    )
    sender = codec.Sender('entry-0', 1, '10.0.0.0:7000')
    body = messages.SyncRecords((), updates, False, False)
    frame = codec.FrameEncoder('sim', sender).encode(body)
    decoder = codec.FrameDecoder('sim')
    decoder.register(messages.SyncRecords)
    gc.collect()
    tracemalloc.start()
    table = MemberTable()
    _, decoded = decoder.decode(frame)
    for update in decoded.updates:
        table.store_record(update)
    del decoded, update
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / table.record_count


class _Meter:
    """Measures bytes, messages and processor time over a period."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._started_ms = fleet.clock.now_ms()
        self._processor_s = time.process_time()
        self._before = self._sum_totals()

    def read(self):
        """Return bytes, messages and processor time per node and second.

        The processor time is in microseconds.
        """
        seconds = (self._fleet.clock.now_ms() - self._started_ms) / 1000
        node_seconds = seconds * len(self._fleet.list_running())
        sent, count = (
            after - before
            for after, before in zip(
                self._sum_totals(), self._before, strict=True
            )
        )
        processor_s = time.process_time() - self._processor_s
        return (
            sent / node_seconds,
            count / node_seconds,
            processor_s * 1e6 / node_seconds,
        )

    def _sum_totals(self):
        nodes = self._fleet.nodes.values()
        return (
            sum(node.bytes_sent for node in nodes),
            sum(node.messages_sent for node in nodes),
        )


def _run_churn(fleet, size):
    """Kill, restart and stop members; return (kill time in ms, name)."""
    vms = simulation.list_vms(size)
    kills = []
    for cycle in range(_CYCLES):
        killed, restarted, leaving = fleet.random.sample(
            [vm.name for vm in vms], 3
        )
        kills.append((fleet.clock.now_ms(), killed))
        fleet.kill(killed)
        fleet.run_for(2000)
        fleet.start(restarted, vms, incarnation=2 + cycle)
        fleet.run_for(2000)
        fleet.leave(leaving)
        fleet.run_for(1000)
        fleet.start(leaving, vms, incarnation=2 + cycle)
        fleet.run_for(_CYCLE_MS - 5000)
        # Wait for a removal that takes longer than a cycle.
        fleet.run_until(
            lambda name=killed: (
                not any(
                    node.state.table.is_live(name)
                    for node in fleet.list_running()
                )
            )
        )
        fleet.start(killed, vms, incarnation=2 + cycle)
        fleet.run_for(_CYCLE_MS)
    return kills


def _compute_removal_times(fleet, kills):
    """Return the first and last removal times after each kill, in ms.

    These are the times after which the first and the last node removed the
    killed one.
    """
    first = []
    last = []
    ends = [killed_ms for killed_ms, _ in kills[1:]]
    ends.append(fleet.clock.now_ms())
    for (killed_ms, name), end_ms in zip(kills, ends, strict=True):
        times = [
            observation.at_ms - killed_ms
            for observation in fleet.observations
            if observation.change.kind == 'member-removed'
            and observation.change.subject == name
            and killed_ms <= observation.at_ms < end_ms
        ]
        if times:
            first.append(min(times))
            last.append(max(times))
    return first, last


def measure_fleet(size):
    """Measure a fleet and return a line of text with the results."""
    fleet = simulation.Simulation(seed=size, is_encoding=True)
    simulation.start_fleet(fleet, size)
    fleet.run_for(1000)
    meter = _Meter(fleet)
    fleet.run_for(_QUIET_MS)
    quiet = meter.read()
    meter = _Meter(fleet)
    kills = _run_churn(fleet, size)
    churn = meter.read()
    first, last = _compute_removal_times(fleet, kills)
    killed_names = {name for _, name in kills}
    false_removals = sum(
        observation.change.kind == 'member-removed'
        and observation.change.subject not in killed_names
        for observation in fleet.observations
    )
    return (
        f'{size:5d} members: quiet {quiet[0]:.0f} B/s, {quiet[1]:.1f} '
        f'messages/s and {quiet[2]:.0f} us/s per node; '
        f'with churn {churn[0]:.0f} B/s, {churn[1]:.1f} messages/s and '
        f'{churn[2]:.0f} us/s; removal first seen after '
        f'{statistics.median(first):.0f} ms (longest {max(first):.0f}), by '
        f'all after {statistics.median(last):.0f} ms (longest '
        f'{max(last):.0f}), {len(first)} kills, {false_removals} false '
        'removals'
    )


def main():
    """Print the results for every size."""
    print(f'{measure_record_bytes():.0f} bytes per member record', flush=True)
    sizes = [int(argument) for argument in sys.argv[1:]] or _SIZES
    for size in sizes:
        print(measure_fleet(size), flush=True)


if __name__ == '__main__':
    main()
