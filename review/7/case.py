"""The failure of a server reaches the client as a success."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as s  # noqa: E402

REQUESTS = 300
SERVERS = 4
FAULTY = ('i-0', 'i-1')
# Every tenth request fails at each server, with and without trouble: the
# server's own failures are its answers, too.
FAILS_EVERY = 10
# With trouble, half of the servers send another answer after 0.04 of theirs.
SPOILS_EVERY = 25


def answer(server, request):
    """Answer or fail; with trouble, a second answer may follow at once."""
    number = len(server.runs)
    failure = server.create_answer(request, 500, b'no such payout')
    success = server.create_answer(request, 200, b'paid')
    data = failure if number % FAILS_EVERY == 0 else success
    is_spoilt = server.name in FAULTY and number % SPOILS_EVERY == 0
    if s.has_trouble() and is_spoilt:
        # A copy of the server's previous answer, which belongs to no request
        # that is waiting.
        previous = server.runs[-2]
        data += server.create_answer(previous, 200, b'paid')
    return data


def case(record, stack):
    """Compare what clients get with what servers have answered."""
    store = s.Store()
    servers = [
        s.Server(f'i-{n}', 'payout', record, answer) for n in range(SERVERS)
    ]
    for server in servers:
        store.put(f'servers/{server.name}', server.create_entry())
    route = s.create_route('fetch', '/fetch/', Backend='payout', MaxAttempts=1)
    store.put('op/config', s.create_configuration(3, [route], ['payout']))
    node = s.Node(record, store)
    stack.callback(node.close)
    node.start()
    node.wait_until_ready()
    is_kept = True
    for number in range(REQUESTS):
        request_id = f'fetch-{number}'
        got = s.send(node, 'GET', f'/fetch/{number}', request_id)
        seal = got.headers.get('x-server-seal', '')
        record.add(f'client gets {got.status} {got.body!r} seal={seal}')
        # The stand-in's seal names the status that the server gave.
        if seal and int(seal.split('.')[1]) != got.status:
            is_kept = False
            record.add(f'{request_id}: status {got.status}, seal {seal}')
    return is_kept


if __name__ == '__main__':
    s.run_case(FOLDER, case)
