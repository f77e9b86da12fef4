"""Runs many emulated backend servers in one process.

The control port serves:

* ``GET /control/servers``: port, incarnation, faults and held snapshots
* ``PUT /control/servers/<name>/fault``: fields of `server_spec.Faults`; an
  empty object clears all faults; the name ``*`` selects all servers
* ``PUT /control/servers/<name>/held``: list of snapshots to hold
* ``POST /control/servers/<name>/restart|stop|start``
* ``GET /control/ledger[?request_id=ID][&server=NAME][&since=SEQUENCE]``
* ``GET /control/counters``
"""

import collections
import contextlib
import gc

import msgspec

from hawthornfold import clock as clocks
from hawthornfold.emulator import ledger
from hawthornfold.emulator import server_model
from hawthornfold.emulator import server_port
from hawthornfold.emulator import server_spec
from hawthornfold.emulator import web

_SPECS_DECODER = msgspec.json.Decoder(list[server_spec.ServerSpec])


class _Restart(msgspec.Struct, forbid_unknown_fields=True):
    cold_ms: float = 0.0
    cold_factor: float = 1.0


class BackendsControl:
    """Handles the requests to the control port of the backend servers."""

    def __init__(self, servers, records):
        self._servers = servers
        self._records = records

    def handle_request(self, request):
        """Return the reply to one control request."""
        parts = request.path.strip('/').split('/')[1:]
        try:
            if request.method == 'GET':
                return self._answer_get(request, parts)
            if parts[0] == 'servers' and len(parts) == 3:
                for server in self._select_servers(parts[1]):
                    self._apply_action(server, parts[2], request.body or b'{}')
                return web.encode_reply({})
        except KeyError:
            return web.encode_not_found(request)
        return web.encode_not_found(request)

    def _answer_get(self, request, parts):
        if parts == ['servers']:
            return web.encode_reply(
                {
                    name: _describe_server(s)
                    for name, s in self._servers.items()
                }
            )
        if parts == ['counters']:
            return web.encode_reply(self._report_counters())
        if parts == ['ledger']:
            return web.encode_reply(self._list_records(request.query))
        return web.encode_not_found(request)

    def _select_servers(self, name):
        if name == '*':
            return tuple(self._servers.values())
        return (self._servers[name],)

    def _apply_action(self, server, action, body):
        if action == 'fault':
            decoded = msgspec.json.decode(body, type=server_spec.Faults)
            server.set_faults(decoded)
        elif action == 'held':
            server.set_held(msgspec.json.decode(body, type=list[str]))
        elif action == 'restart':
            cold = msgspec.json.decode(body, type=_Restart)
            server.restart(cold.cold_ms, cold.cold_factor)
        elif action == 'stop':
            server.stop()
        elif action == 'start':
            server.start()
        else:
            raise KeyError(action)

    def _report_counters(self):
        servers = {n: s.counters() for n, s in self._servers.items()}
        total = collections.Counter()
        for counts in servers.values():
            total.update(counts)
        return {
            'servers': servers,
            'total': total,
            'ledger_dropped': self._records.dropped_count,
        }

    def _list_records(self, query):
        if 'request_id' in query:
            records = self._records.find_records(query['request_id'])
        else:
            records = self._records.list_records(int(query.get('since', 0)))
        if 'server' in query:
            name = query['server']
            records = [r for r in records if r.server == name]
        return records


def _describe_server(server):
    model = server.model
    return {
        'port': server.port,
        'incarnation': model.incarnation,
        'held': model.held,
        'faults': model.faults,
    }


@contextlib.contextmanager
def open_backends(specs, control_port=0, clock=None):
    """Run backend servers and their control port while the block runs.

    Parameters
    ----------
    specs : list of ServerSpec
        Servers to run.
    control_port : int
        Port to listen on; 0 for any free port.
    clock : Clock or None
        None for the system clock.

    Yields
    ------
    tuple of (HttpServer, dict of str to ServerPort)
        The server of the control port, and the backend servers by name.
    """
    clock = clock or clocks.create_system_clock()
    records = ledger.create_ledger()
    servers = {}
    for spec in specs:
        model = server_model.create_server_model(
            spec, clock.wall_ms(), clock.now_ms()
        )
        servers[spec.name] = server_port.ServerPort(model, records, clock)
    control = web.HttpServer(
        BackendsControl(servers, records).handle_request, control_port
    )
    with contextlib.ExitStack() as stack:
        for server in (*servers.values(), control):
            server.start()
            stack.callback(server.stop)
        yield control, servers


def load_specs(path):
    """Read the spec file, a JSON list of `server_spec.ServerSpec`."""
    with open(path, 'rb') as file:
        return _SPECS_DECODER.decode(file.read())


def run_backends(spec_path, control_port):
    """Run the servers of a spec file until the process is terminated."""
    with open_backends(load_specs(spec_path), control_port) as (control, _):
        # The documents live as long as the process. Without the freeze,
        # each full garbage collection would scan them and pause the servers.
        gc.collect()
        gc.freeze()
        web.serve_until_terminated(control.port)
