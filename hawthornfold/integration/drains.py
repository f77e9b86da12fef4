"""Reads and checks how owners treat draining and restarted servers."""

from hawthornfold.emulator import plans
from hawthornfold.integration import waiting
from hawthornfold.integration.callers import read_operator_page
from hawthornfold.limits.ramp import RAMP_MS


def read_drain_signals(fleet, server, nodes=None):
    """Return the drain signals of a server, by owner node."""
    signals = {}
    for node in nodes or fleet.nodes:
        status = read_operator_page(fleet, node, 'status')
        if status and server in status['servers']:
            signals[node] = tuple(status['servers'][server]['draining'])
    return signals


def wait_for_drain_signals(fleet, servers, clock, nodes=None):
    """Wait until an owner of each server reports a drain signal.

    Returns
    -------
    dict of str to float
        Clock value in ms by server, read after an owner reported the signal.
    """
    first_seen_ms = {}

    def is_seen():
        for server in servers:
            signals = read_drain_signals(fleet, server, nodes)
            if server not in first_seen_ms and any(signals.values()):
                first_seen_ms[server] = clock.now_ms()
        return len(first_seen_ms) == len(servers)

    waiting.wait_for(is_seen, f'a drain signal from each of {servers}')
    return first_seen_ms


def list_received_records(fleet, server, after_ms=0.0):
    """Return the ledger records of sub-requests received after a time."""
    return [
        record
        for record in fleet.collect_ledger()
        if record['server'] == server and record['received_ms'] > after_ms
    ]


def list_incarnation_records(fleet, server, after_ms):
    """Return the ledger records of sub-requests that an incarnation ran.

    Parameters
    ----------
    after_ms : float
        A time in ms before the start of the last incarnation. What the former
        one received between this time and the restart is left out.
    """
    records = list_received_records(fleet, server, after_ms)
    # Names of later incarnations sort after those of earlier ones.
    last = max((record['incarnation'] for record in records), default='')
    return [
        record
        for record in records
        if record['incarnation'] == last and record['outcome'] == 'ran'
    ]


def find_sending_owner(fleet, record):
    """Return the owner that sent a sub-request.

    The events come from the journal of the query's entry node.
    """
    entry = record['request_id'].split('~')[0]
    page = read_operator_page(fleet, entry, f'explain/{record["request_id"]}')
    start = f'attempt {record["attempt"]} by owner '
    for event in page['events']:
        if event['detail'].startswith(start):
            return event['detail'].removeprefix(start).split()[0]
    raise LookupError(f'{record["request_id"]} has no attempt {start}')


def find_ramp_violations(records, slots, restarted_ms, get_owner):
    """Return the times at which an owner exceeded the slot ramp of a server.

    An owner ramps up the slots that it uses of a restarted server.

    Parameters
    ----------
    records : list of dict
        Ledger records of the server's new incarnation.
    slots : int
        Slots of the warm server.
    restarted_ms : float
        A time in ms before the start of the ramp. A ramp from here allows at
        least as many sub-requests as the owner's, so no violation is false.
    get_owner : callable
        Returns the owner that sent the sub-request of a record. Each owner
        has its own ramp; the second owner sends only sub-requests that the
        first has not answered.

    Returns
    -------
    list of tuple
        Milliseconds since the restart, number of sub-requests in progress,
        and the number allowed.

    Examples
    --------
    >>> records = [{'received_ms': 0.0, 'finished_ms': 9.0}]
    >>> records += 2 * [{'received_ms': 10.0, 'finished_ms': 90.0}]
    >>> find_ramp_violations(records, 6, 0.0, lambda record: 'a')
    [(10, 2, 1)]
    """
    # No owner can know the new incarnation before the first answer.
    first_answer_ms = min(
        (r['finished_ms'] for r in records if r['finished_ms'] is not None),
        default=float('inf'),
    )
    later_records = sorted(
        (r for r in records if r['received_ms'] > first_answer_ms),
        key=lambda record: record['received_ms'],
    )
    violations = []
    for index, record in enumerate(later_records):
        now_ms = record['received_ms']
        in_progress = [
            earlier
            for earlier in later_records[:index]
            if earlier['finished_ms'] is None
            or earlier['finished_ms'] > now_ms
        ]
        elapsed_ms = now_ms - restarted_ms
        allowed = min(slots, max(1, int(slots * elapsed_ms / RAMP_MS)))
        if len(in_progress) >= allowed:
            owner = get_owner(record)
            in_progress = [r for r in in_progress if get_owner(r) == owner]
        if len(in_progress) >= allowed:
            violations.append(
                (round(elapsed_ms), len(in_progress) + 1, allowed)
            )
    return violations


def publish_backend_vms(fleet, states):
    """Publish a VM list with backend servers and the entry VMs.

    Parameters
    ----------
    states : dict of str to (str, str)
        Address and state (``live`` or ``leaving``) by server name.
    """
    backends = [
        {
            'name': name,
            'address': address,
            'data_centre': '',
            'state': state,
            'role': 'backend',
        }
        for name, (address, state) in states.items()
    ]
    fleet.publish_vms(plans.build_vms(fleet.plan) + backends)
