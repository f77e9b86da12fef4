"""The failure of a server reaches the client as a success."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as s  # noqa: E402

CLIENTS = 6
REQUESTS_EACH = 400
WORK_S = 0.01
SERVERS = 4
FAULTY = 'i-0'
# One of four servers fails a tenth of its requests, with and without trouble:
# failures are its own answers, too.
FAILS_EVERY = 10
# With trouble, it sends another answer after 0.02 of its answers.
SPOILS_EVERY = 50


def answer(server, request):
    """Answer or fail; with trouble, a second answer may follow at once."""
    number = len(server.runs)
    time.sleep(WORK_S)
    if server.name != FAULTY or number % FAILS_EVERY:
        return server.create_answer(request, 200, b'paid')
    data = server.create_answer(request, 500, b'no such payout')
    if s.has_trouble() and number % SPOILS_EVERY == 0:
        # A copy of an earlier answer of the server, which belongs to no
        # request that is waiting.
        data += server.create_answer(server.runs[number - 2], 200, b'paid')
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
    wrong, answered = [], []

    def run_client(client):
        for number in range(REQUESTS_EACH):
            request_id = f'fetch-{client}-{number}'
            got = s.send(node, 'GET', f'/fetch/{number}', request_id)
            answered.append(request_id)
            seal = got.headers.get('x-server-seal', '')
            record.add(f'client gets {got.status} {got.body!r} seal={seal}')
            # The stand-in's seal names the status that the server gave.
            if seal and int(seal.split('.')[1]) != got.status:
                wrong.append(request_id)
                record.add(f'{request_id}: status {got.status}, seal {seal}')

    clients = [
        threading.Thread(target=run_client, args=(client,))
        for client in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    if len(answered) < CLIENTS * REQUESTS_EACH:
        raise s.CannotRunError('a client has lost its node')
    return not wrong


if __name__ == '__main__':
    s.run_case(FOLDER, case)
