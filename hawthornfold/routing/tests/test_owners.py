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
    def test_kept_results_equal_fresh_ones(self, steps):
        # Guards against nodes that disagree on owners because they saw
        # members come and go in different orders.
        servers = create_servers(12)
        kept = routing.create_rendezvous_policy()
        for step in steps:
            members = [Member(*item) for item in step.items()]
            kept.update_members(members)
            fresh = routing.create_rendezvous_policy()
            fresh.update_members(members)
            for server in servers:
                owners = fresh.owners(server)
                self.assertEqual(owners, kept.owners(server))
                for member in members:
                    self.assertEqual(
                        member.name in owners,
                        kept.is_owner(member.name, server),
                    )

    def test_shares_of_a_partitioned_fleet_stay_below_the_limit(self):
        # Guards against two sides of a split fleet that together open more
        # connections than a server takes.
        for limit in (25, 35, 100):
            server = BackendServer('s', '127.0.0.1:1', 'dc0', 2, limit)
            policy = routing.create_rendezvous_policy()
            self.assertLessEqual(4 * policy.connection_share(server), limit)

    def test_leaving_moves_only_the_servers_of_the_member(self):
        # Guards against a fleet-wide reshuffle of queues at each restart.
        members = [Member(f'n{i}', f'dc{i % 2}') for i in range(8)]
        servers = create_servers(40)
        policy = routing.create_rendezvous_policy()
        policy.update_members(members)
        before = {s.name: policy.owners(s) for s in servers}
        policy.update_members(members[1:])
        for server in servers:
            if 'n0' not in before[server.name]:
                self.assertEqual(before[server.name], policy.owners(server))
