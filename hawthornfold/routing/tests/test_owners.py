import collections
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hawthornfold import routing
from hawthornfold.snapshots import BackendServer

Member = collections.namedtuple('Member', 'name data_centre')


def create_servers(count):
    return [
        BackendServer(f's{i}', '127.0.0.1:1', f'dc{i % 2}', 2, 25)
        for i in range(count)
    ]


MEMBERS = strategies.dictionaries(
    strategies.integers(0, 12).map('n{}'.format),
    strategies.sampled_from(['dc0', 'dc1', 'dc2']),
    min_size=1,
    max_size=10,
)


class RendezvousPolicyTest(unittest.TestCase):
    @settings(max_examples=80, derandomize=True, deadline=None)
    @given(strategies.lists(MEMBERS, min_size=1, max_size=6))
    def test_cached_owners_equal_recomputed_owners(self, steps):
        # Guards against nodes that select different owners because members
        # joined and left in different orders in their views.
        servers = create_servers(12)
        cached = routing.create_rendezvous_policy()
        for step in steps:
            members = [Member(*item) for item in step.items()]
            cached.update_members(members)
            recomputed = routing.create_rendezvous_policy()
            recomputed.update_members(members)
            for server in servers:
                owners = recomputed.owners(server)
                self.assertEqual(owners, cached.owners(server))
                for member in members:
                    self.assertEqual(
                        member.name in owners,
                        cached.is_owner(member.name, server),
                    )

    def test_shares_of_a_partitioned_fleet_stay_below_the_limit(self):
        # Guards against two sides of a partitioned fleet that together open
        # more connections than a server accepts.
        for limit in (25, 35, 100):
            server = BackendServer('s', '127.0.0.1:1', 'dc0', 2, limit)
            policy = routing.create_rendezvous_policy()
            self.assertLessEqual(4 * policy.connection_share(server), limit)

    def test_a_leaving_member_changes_owners_of_its_servers_only(self):
        # Guards against a restart of one node that moves queues throughout
        # the fleet.
        members = [Member(f'n{i}', f'dc{i % 2}') for i in range(8)]
        servers = create_servers(40)
        policy = routing.create_rendezvous_policy()
        policy.update_members(members)
        before = {s.name: policy.owners(s) for s in servers}
        policy.update_members(members[1:])
        for server in servers:
            if 'n0' not in before[server.name]:
                self.assertEqual(before[server.name], policy.owners(server))
