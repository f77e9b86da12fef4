"""Measures membership on simulated fleets of several sizes.

Run it as ``python -m hawthornfold.membership.measure [SIZE ...]``. Every
state machine runs in this process on a manual clock; frames are encoded and
decoded, sockets are not used. ``hawthornfold.peers.measure`` has the costs
of the links themselves.
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
    """Return the bytes that one member takes in a table of 7,200.

    The records come from decoded frames, as in a node that has joined.
    """
    updates = tuple(
        Update(
            f'entry-{number}',
            simulation.address_of(f'entry-{number}'),
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
        table.put(update)
    del decoded, update
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / table.record_count


class _Meter:
    """Totals of bytes, messages and processor time over a period."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._started_ms = fleet.clock.now_ms()
        self._processor_s = time.process_time()
        self._before = self._totals()

    def read(self):
        """Return bytes, messages and processor us per node and second."""
        seconds = (self._fleet.clock.now_ms() - self._started_ms) / 1000
        share = seconds * len(self._fleet.running())
        sent, count = (
            after - before
            for after, before in zip(self._totals(), self._before, strict=True)
        )
        processor_s = time.process_time() - self._processor_s
        return sent / share, count / share, processor_s * 1e6 / share

    def _totals(self):
        nodes = self._fleet.nodes.values()
        return (
            sum(node.bytes_sent for node in nodes),
            sum(node.messages_sent for node in nodes),
        )


def _run_churn(fleet, size):
    """Kill, restart and stop members; return the kills as (ms, name)."""
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
        # A removal that takes longer than a cycle is waited for.
        fleet.run_until(
            lambda name=killed: (
                not any(
                    node.state.table.is_live(name) for node in fleet.running()
                )
            )
        )
        fleet.start(killed, vms, incarnation=2 + cycle)
        fleet.run_for(_CYCLE_MS)
    return kills


def _removal_times(fleet, kills):
    """Return first and last times from each kill to its removal, in ms."""
    first = []
    last = []
    ends = [killed_ms for killed_ms, _ in kills[1:]]
    ends.append(fleet.clock.now_ms())
    for (killed_ms, name), end_ms in zip(kills, ends, strict=True):
        times = [
            seen.at_ms - killed_ms
            for seen in fleet.observations
            if seen.change.kind == 'member-removed'
            and seen.change.subject == name
            and killed_ms <= seen.at_ms < end_ms
        ]
        if times:
            first.append(min(times))
            last.append(max(times))
    return first, last


def measure_fleet(size):
    """Measure a fleet and return the printed line."""
    fleet = simulation.Simulation(seed=size, is_encoding=True)
    simulation.start_fleet(fleet, size)
    fleet.run_for(1000)
    meter = _Meter(fleet)
    fleet.run_for(_QUIET_MS)
    quiet = meter.read()
    meter = _Meter(fleet)
    kills = _run_churn(fleet, size)
    churn = meter.read()
    first, last = _removal_times(fleet, kills)
    accused = {name for _, name in kills}
    false_removals = sum(
        seen.change.kind == 'member-removed'
        and seen.change.subject not in accused
        for seen in fleet.observations
    )
    return (
        f'{size:5d} members: quiet {quiet[0]:.0f} B/s, {quiet[1]:.1f} '
        f'messages/s and {quiet[2]:.0f} us/s a node; '
        f'with churn {churn[0]:.0f} B/s, {churn[1]:.1f} messages/s and '
        f'{churn[2]:.0f} us/s; removal first seen after '
        f'{statistics.median(first):.0f} ms (longest {max(first):.0f}), by '
        f'all after {statistics.median(last):.0f} ms (longest '
        f'{max(last):.0f}), {len(first)} kills, {false_removals} false '
        'removals'
    )


def main():
    """Print the figures for every size."""
    print(f'{measure_record_bytes():.0f} bytes a member record', flush=True)
    sizes = [int(argument) for argument in sys.argv[1:]] or _SIZES
    for size in sizes:
        print(measure_fleet(size), flush=True)


if __name__ == '__main__':
    main()
