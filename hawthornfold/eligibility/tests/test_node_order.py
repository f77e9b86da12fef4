import unittest

from hypothesis import given
from hypothesis import strategies as st

from hawthornfold.eligibility.node_order import NodeOrder
from hawthornfold.eligibility.node_order import compute_allotment

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
NODES = st.dictionaries(
    st.integers(0, 10_000).map('node-{}'.format),
    st.sampled_from(DATA_CENTRES),
    min_size=1,
    max_size=60,
)
SERVERS = st.integers(0, 1_000).map('server-{}'.format)


def list_allotments(limit, server_id, views):
    """Return the allotments of nodes by name, each computed from its view."""
    allotments = {}
    for name, view in views.items():
        order = NodeOrder(name, view)
        rank = order.compute_rank(server_id, 'dc-a')
        allotments[name] = compute_allotment(limit, rank, order.count)
    return allotments


class NodeOrderTest(unittest.TestCase):
    @given(NODES, SERVERS, st.integers(0, 90))
    def test_whole_limit_is_dealt_out_with_local_nodes_first(
        self, nodes, server_id, limit
    ):
        # Guards against a limit that is exceeded or partly unused, and against
        # one that goes to nodes that have few requests for the server.
        allotments = list_allotments(
            limit, server_id, dict.fromkeys(nodes, nodes)
        )
        self.assertEqual(sum(allotments.values()), limit)
        local = [n for name, n in allotments.items() if nodes[name] == 'dc-a']
        others = [n for name, n in allotments.items() if nodes[name] != 'dc-a']
        self.assertGreaterEqual(
            min(local, default=limit), max(others, default=0)
        )

    @given(NODES, st.lists(NODES, min_size=1), SERVERS, st.integers(0, 90))
    def test_limit_holds_when_nodes_know_more_nodes_than_there_are(
        self, nodes, extras, server_id, limit
    ):
        # Guards against allotments that grow because lost nodes are counted
        # by some of the nodes only.
        views = {
            name: extras[index % len(extras)] | nodes
            for index, name in enumerate(nodes)
        }
        allotments = list_allotments(limit, server_id, views)
        self.assertLessEqual(sum(allotments.values()), limit)

    def test_servers_prefer_different_nodes(self):
        # Guards against a few nodes that have the allotments of all servers.
        nodes = {f'node-{number}': 'dc-a' for number in range(80)}
        orders = [NodeOrder(name, nodes) for name in nodes]
        favoured = [
            sum(order.compute_rank(f's{s}', 'dc-a') < 20 for s in range(200))
            for order in orders
        ]
        # The mean is 50.
        self.assertLess(max(favoured), 100)
        self.assertGreater(min(favoured), 15)
