"""The settings change while machines start."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import stand_ins_3 as stand_ins

# The settings file of a machine changes this long after a start of its
# process, for the first three starts.
CHANGE_AFTER_S = 0.3
CHANGES = 3
# The platform starts a process again this long after it has ended.
RESTART_DELAY_S = 0.5
# The rule: on a tenth of the machines, two at least, processes end by
# themselves three times.
MIN_MACHINES = 2
MIN_ENDS = 3


async def run_machine(node, record, has_trouble):
    """Run a machine; return how often its process ended by itself."""
    ends = 0
    for number in range(CHANGES + 1):
        if node.process is None or node.process.returncode is not None:
            await node.start()
            record.write(f'{node.name} is started')
        if number < CHANGES:
            await asyncio.sleep(CHANGE_AFTER_S)
            node.change_settings()
            if has_trouble:
                node.process.send_signal(signal.SIGHUP)
            record.write(f'{node.name}: the settings have changed')
        if await has_ended(node):
            ends += 1
            status = node.process.returncode
            record.write(f'{node.name} has ended, exit status {status}')
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            record.write(f'{node.name} is ready')
    return ends


async def has_ended(node):
    """Wait until the process is ready or has ended; return which."""
    ready = asyncio.create_task(node.wait_ready(10.0))
    ended = asyncio.create_task(node.process.wait())
    await asyncio.wait({ready, ended}, return_when=asyncio.FIRST_COMPLETED)
    if ended.done():
        ready.cancel()
        if node.process.returncode != -signal.SIGHUP:
            raise RuntimeError(f'{node.name} ended for another reason')
        return True
    ended.cancel()
    # Raises TimeoutError if the process runs and doesn't become ready.
    await ready
    return False


async def play(record, has_trouble):
    """Run the case; return its exit status."""
    store = stand_ins.Store()
    await store.open()
    await store.put(
        'op/config',
        stand_ins.create_configuration(
            7,
            [stand_ins.create_route('r', '/timi402/', Backend='ledger')],
            ['ledger'],
        ),
    )
    nodes = [stand_ins.Node(1, store.address)]
    nodes.append(stand_ins.Node(2, store.address, [nodes[0].control]))
    try:
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(run_machine(node, record, has_trouble))
                for node in nodes
            ]
        ends = [task.result() for task in tasks]
    finally:
        for node in nodes:
            await node.close()
        store.close()
    record.write(f'processes ended by themselves, by machine: {ends}')
    broken = sum(count >= MIN_ENDS for count in ends)
    return 1 if broken >= MIN_MACHINES else 0


if __name__ == '__main__':
    stand_ins.run_case(__file__, play)
