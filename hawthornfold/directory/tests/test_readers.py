import typing
import unittest

from hawthornfold.directory import StoreNews
from hawthornfold.directory import assign_roles
from hawthornfold.directory.updates import PublishedConfiguration
from hawthornfold.directory.updates import limit_update


class Node(typing.NamedTuple):
    name: str
    data_centre: str


def create_fleet(*sizes):
    return [
        Node(f'node-{place}-{number}', f'dc-{place}')
        for place, size in enumerate(sizes)
        for number in range(size)
    ]


class AssignRolesTest(unittest.TestCase):
    def assign(self, fleet):
        return {node: assign_roles(fleet, node) for node in fleet}

    def count_readers(self, roles):
        readers = {}
        for role in roles.values():
            for follower in role.followers:
                readers[follower] = readers.get(follower, 0) + 1
        return readers

    def test_each_follower_has_two_readers_of_its_data_centre(self):
        # Guards against a follower that depends on a single reader, and
        # against changes sent between data centres once per node.
        roles = self.assign(create_fleet(20, 23, 3, 1))
        readers = self.count_readers(roles)
        for node, role in roles.items():
            self.assertEqual(readers.get(node, 0), 0 if role.is_reader else 2)
            for follower in role.followers:
                self.assertEqual(follower.data_centre, node.data_centre)

    def test_every_data_centre_has_readers(self):
        # Guards against a data centre that gets no changes when it is cut off
        # from the others.
        roles = self.assign(create_fleet(20, 2, 1))
        found = {node.data_centre for node in roles if roles[node].is_reader}
        self.assertEqual(found, {'dc-0', 'dc-1', 'dc-2'})

    def test_number_of_followers_of_a_reader_is_bounded(self):
        # Guards against a reader that sends updates to its whole data centre.
        roles = self.assign(create_fleet(650))
        maximum = max(len(role.followers) for role in roles.values())
        self.assertLess(maximum, 70)

    def test_nodes_with_faster_links_become_readers(self):
        # Guards against a whole data centre waiting for updates over a slow
        # link.
        fleet = create_fleet(20)
        preferred = frozenset(('node-0-3', 'node-0-7'))
        readers = {
            node.name
            for node in fleet
            if assign_roles(fleet, node, preferred).is_reader
        }
        self.assertEqual(readers, preferred)


class LimitUpdateTest(unittest.TestCase):
    def test_large_configuration_is_only_announced_on_a_slow_link(self):
        # Guards against a reader whose own reads are delayed by the updates
        # that it sends.
        configuration = PublishedConfiguration(4, b'x' * 60_000, (), None)
        update = StoreNews(10, 12, (), configuration, 30.0)
        self.assertEqual(limit_update(update, 20, 70.0), update)
        announced = limit_update(update, 20, 7.0)
        self.assertEqual(announced, StoreNews(12, 12, (), None, 30.0))
