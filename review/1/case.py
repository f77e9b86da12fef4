"""A node without links to servers is killed while another serves for it.

The restarted node numbers the requests that it hands over from 0 again. The
answer to a request of the killed process then goes to another client.
"""

import asyncio
import contextlib
import pathlib

import standins

SERVICE = 'permit-desk'
SERVERS_PER_ZONE = 3
ZONES = ('mid-north', 'mid-south', 'mid-east', 'mid-west')
DEADLINE_MS = 15_000
# A request has up to 1,300 ms of work, 6,500 ms on a server that is five times
# as slow. The old request is on such a server: it is answered this long after
# the new one has begun to run, but not later than that.
NEW_WORK_S = 1.2
OVERLAP_S = 0.1
MAX_SLOW_S = 6.0
# The cut lasts this long before the old request is sent.
CUT_S = 1.0


class Work:
    """How long the servers work on requests, in seconds."""

    def __init__(self):
        self.new_arrived = asyncio.Event()
        self.is_overlapping = False
        self.old_arrived = asyncio.Event()

    async def plan(self, server, request):
        """Wait for the first part of the work; return the rest."""
        if request.get('x-request-id').startswith('new'):
            self.new_arrived.set()
            return NEW_WORK_S
        self.old_arrived.set()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.new_arrived.wait(), MAX_SLOW_S)
            self.is_overlapping = True
        return OVERLAP_S


async def run(record, temporary, has_trouble):
    """Run the case; return what broke the rule."""
    async with contextlib.AsyncExitStack() as stack:
        store = standins.Store()
        await store.start()
        stack.callback(store.close)
        ledger = standins.Ledger(record)
        links = standins.Links()
        stack.callback(links.close)
        work = Work()
        for zone in ZONES:
            for number in range(SERVERS_PER_ZONE):
                server = standins.Server(
                    f'{SERVICE}-{zone}-{number}', SERVICE, zone, ledger
                )
                server.plan = work.plan
                await server.start()
                stack.callback(server.close)
                await links.open(server.address)
                store.put(f'servers/{server.id}', server.create_entry())
        route = standins.create_route(
            'permit-fetch',
            '/permit/',
            'non_idempotent',
            Backend=SERVICE,
            TimeoutMs=DEADLINE_MS,
            TargetLatencyMs=800,
            Priority=2,
        )
        store.put(
            'op/config',
            standins.create_configuration(17, [route], [SERVICE], 110),
        )
        view = await store.open_view(standins.View(links.addresses))
        addresses = (store.address, store.address, view)
        nodes = [
            standins.Node(
                f'frontend-{zone}-1',
                ip,
                zone,
                ZONES,
                'midlands',
                address,
                temporary,
            )
            for zone, ip, address in zip(
                ZONES[:3], standins.pick_ips(3), addresses, strict=True
            )
        ]
        seeds = [node.control for node in nodes]
        for node in nodes:
            stack.callback(node.kill)
            node.start(seeds)
        for node in nodes:
            await node.wait_until_ready(node_count=3)
        victim = nodes[2]
        await asyncio.sleep(1.0)
        if has_trouble:
            links.cut()
            record.write(f'cut node={victim.name} from all servers')
        await asyncio.sleep(CUT_S)
        old = start_request(victim, 'old-000001', record)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(work.old_arrived.wait(), 2.0)
        if not work.old_arrived.is_set():
            raise standins.CannotRunError('the old request was not served')
        if has_trouble:
            record.write(f'killed node={victim.name}')
            victim.kill()
            victim.start(seeds)
            await victim.wait_until_ready(node_count=3)
            record.write(f'ready node={victim.name}')
        else:
            await asyncio.sleep(1.0)
        answer = await start_request(victim, 'new-000001', record)
        await old
        if not work.is_overlapping:
            raise standins.CannotRunError('the restart took too long')
    if isinstance(answer, Exception) or not 200 <= answer.status < 300:
        return []
    request_id, _, server_id, body = ledger.seals[answer.get('x-server-seal')]
    faults = []
    if request_id != 'new-000001':
        faults.append(
            f'the answer to new-000001 is that of {server_id} to {request_id}'
        )
    if answer.body != body:
        faults.append("the body is not the server's")
    return faults


def start_request(node, request_id, record):
    """Start a request of a client."""
    return asyncio.ensure_future(
        standins.query(
            node,
            '/permit/2f',
            request_id,
            DEADLINE_MS,
            record,
            method='POST',
            body=request_id.encode(),
        )
    )


if __name__ == '__main__':
    standins.run_case(pathlib.Path(__file__).parent, run)
