"""Measures the rendezvous owner policy at several fleet sizes.

Run it with ``python -m hawthornfold.routing.measure``. It prints, for each
number of members and servers of one data centre, the time to compute the
owners of all servers, to look them up in the cache, and to update them after
a member leaves and after it joins again.
"""

import json
import time
import typing

from hawthornfold.routing import owners
from hawthornfold.snapshots import BackendServer

SIZES = ((3, 36), (9, 108), (64, 520), (655, 5273))


class SizedMember(typing.NamedTuple):
    """The fields of a member that the owner policy reads."""

    name: str
    data_centre: str


def create_fleet(member_count, server_count):
    """Create members and servers of one data centre."""
    members = [SizedMember(f'entry-{i}', 'dc') for i in range(member_count)]
    servers = [
        BackendServer(f'server-{i}', '127.0.0.1:1', 'dc', 2, 25)
        for i in range(server_count)
    ]
    return members, servers


def _time_ms(action):
    started = time.process_time()
    action()
    return round((time.process_time() - started) * 1000.0, 3)


def measure_policy(member_count, server_count):
    """Return processor times in ms and how evenly servers are owned."""
    members, servers = create_fleet(member_count, server_count)
    policy = owners.create_rendezvous_policy()
    policy.update_members(members)

    def compute():
        for server in servers:
            policy.owners(server)

    first_ms = _time_ms(compute)
    again_ms = _time_ms(compute)
    load = {}
    for server in servers:
        first = policy.owners(server)[0]
        load[first] = load.get(first, 0) + 1
    before = {server.name: policy.owners(server) for server in servers}
    leave_ms = _time_ms(lambda: policy.update_members(members[1:])) + _time_ms(
        compute
    )
    moved = sum(before[s.name] != policy.owners(s) for s in servers)
    join_ms = _time_ms(lambda: policy.update_members(members))
    return {
        'members': member_count,
        'servers': server_count,
        'compute_all_ms': first_ms,
        'lookup_all_ms': again_ms,
        'leave_ms': round(leave_ms, 3),
        'join_ms': join_ms,
        'moved_on_leave': moved,
        'most_servers_of_a_member': max(load.values()),
    }


def main():
    """Print one JSON object per fleet size."""
    for member_count, server_count in SIZES:
        print(json.dumps(measure_policy(member_count, server_count)))


if __name__ == '__main__':
    main()
