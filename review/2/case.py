"""A node is killed while another one gathers parts of its queries.

The restarted node numbers its calls from 0 again. The other node's answers to
the queries of the killed process then count for new queries.
"""

import asyncio
import contextlib
import itertools
import pathlib

import standins

SHARDS = [f'route-finder-{number}' for number in range(20)]
# Fifteen in a hundred, so that the others are less than MIN_SHARE.
SLOW_SHARDS = SHARDS[:3]
ZONES = ('mid-north', 'mid-south', 'mid-east', 'mid-west')
TOP = 50
MIN_SHARE = 0.89
DEADLINE_MS = 3_000
# Work of the two kinds of request, and on servers that are 9.7 times as slow.
# A check has its mean there. A sweep has up to 210 ms of work, which takes
# 2,520 ms on a server that is 12 times as slow.
SWEEP_S = 0.042
CHECK_S = 0.0138
SLOW_CHECK_S = 0.134
SLOW_SWEEP_S = 2.0
MAX_SWEEP_S = 2.5
# A node opens one connection to each server in its first three seconds.
SETTLE_S = 4.0
CHECK_INTERVAL_S = 0.17
# A slow server answers the query of the killed process this long after the
# restarted one has sent its first query, but not later than this.
OVERLAP_S = 0.08
LATEST_S = 2.3


class SlowWork:
    """How long the slow servers work on requests, in seconds."""

    def __init__(self):
        self.is_slow = False
        self.new_arrived = asyncio.Event()
        self.is_overlapping = False

    async def plan(self, server, request):
        """Wait for the first part of the work; return the rest."""
        request_id = request.get('x-request-id')
        if not self.is_slow:
            return plan_fast(server, request)
        if request_id.startswith('check'):
            return SLOW_CHECK_S
        if request_id.startswith('new'):
            self.new_arrived.set()
            return SLOW_SWEEP_S
        if server.service == SLOW_SHARDS[-1]:
            return MAX_SWEEP_S
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.new_arrived.wait(), LATEST_S)
            self.is_overlapping = True
        return OVERLAP_S


async def send_checks(node, record):
    """Send checks until cancelled, so that no server seems silent."""
    tasks = []
    for number in itertools.count():
        tasks.append(
            asyncio.ensure_future(
                standins.query(
                    node, '/check/2f', f'check-{number:06d}', 1_200, record
                )
            )
        )
        await asyncio.sleep(CHECK_INTERVAL_S)


async def run(record, temporary, has_trouble):
    """Run the case; return what broke the rule."""
    async with contextlib.AsyncExitStack() as stack:
        store = standins.Store()
        await store.start()
        stack.callback(store.close)
        ledger = standins.Ledger(record)
        slow = SlowWork()
        for shard in SHARDS:
            for zone in ZONES[:2]:
                server = standins.Server(
                    f'{shard}-{zone}', shard, zone, ledger
                )
                server.plan = plan_fast
                if shard in SLOW_SHARDS:
                    server.plan = slow.plan
                await server.start()
                stack.callback(server.close)
                store.put(f'servers/{server.id}', server.create_entry())
        routes = [
            standins.create_route(
                'route-sweep',
                '/sweep/',
                FanoutServices=SHARDS,
                TopK=TOP,
                MinSuccessShare=MIN_SHARE,
                TimeoutMs=DEADLINE_MS,
                TargetLatencyMs=247,
            ),
            standins.create_route(
                'closure-check',
                '/check/',
                FanoutServices=SHARDS,
                TopK=5,
                MinSuccessShare=0.75,
                TimeoutMs=1_200,
                TargetLatencyMs=95,
                Priority=2,
            ),
        ]
        store.put(
            'op/config', standins.create_configuration(17, routes, SHARDS, 26)
        )
        nodes = [
            standins.Node(
                f'frontend-{zone}-1',
                ip,
                zone,
                ZONES,
                'midlands',
                store.address,
                temporary,
            )
            for zone, ip in zip(ZONES[:3], standins.pick_ips(3), strict=True)
        ]
        seeds = [node.control for node in nodes]
        for node in nodes:
            stack.callback(node.kill)
            node.start(seeds)
        for node in nodes:
            await node.wait_until_ready(node_count=3)
        victim = nodes[2]
        checks = asyncio.ensure_future(send_checks(nodes[1], record))
        stack.callback(checks.cancel)
        await asyncio.sleep(SETTLE_S)
        slow.is_slow = True
        record.write(f'slow shards={",".join(SLOW_SHARDS)}')
        old = start_query(victim, 'old-000001', record)
        await asyncio.sleep(0.15)
        if has_trouble:
            record.write(f'killed node={victim.name}')
            victim.kill()
            victim.start(seeds)
            await victim.wait_until_ready(node_count=3)
            record.write(f'ready node={victim.name}')
        else:
            await asyncio.sleep(1.0)
        answer = await start_query(victim, 'new-000001', record)
        await old
        if not slow.is_overlapping:
            raise standins.CannotRunError('the restart took too long')
    if isinstance(answer, Exception) or answer.status != 200:
        return []
    return standins.find_mixed(answer, 'new-000001', ledger, TOP, SHARDS)


def plan_fast(server, request):
    """Return how long an ordinary server works on a request."""
    is_check = request.get('x-request-id').startswith('check')
    return CHECK_S if is_check else SWEEP_S


def start_query(node, request_id, record):
    """Start a sweep of a client."""
    return asyncio.ensure_future(
        standins.query(node, '/sweep/2f', request_id, DEADLINE_MS, record)
    )


if __name__ == '__main__':
    standins.run_case(pathlib.Path(__file__).parent, run)
