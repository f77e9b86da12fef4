import unittest

from hypothesis import given
from hypothesis import strategies as st

from hawthornfold.limits.shares import NodeCounts
from hawthornfold.limits.shares import compute_service_share

DATA_CENTRES = ('a', 'b', 'c', 'd')


class ShareTest(unittest.TestCase):
    @given(
        st.dictionaries(
            st.sampled_from(DATA_CENTRES), st.integers(1, 60), min_size=1
        ),
        st.sets(st.sampled_from(DATA_CENTRES)),
        st.integers(0, 5),
    )
    def test_shares_add_up_to_at_most_one(self, nodes, servers, unknown):
        # Guards against more repeats and connections than servers accept from
        # all nodes together.
        counts = NodeCounts(nodes, unknown)
        total = sum(
            count * compute_service_share(data_centre, counts, servers)
            for data_centre, count in nodes.items()
        )
        self.assertLessEqual(total, 1.0 + 1e-9)
        if not unknown:
            self.assertAlmostEqual(total, 1.0)

    def test_nodes_near_the_servers_have_more(self):
        # Guards against repeats that are denied at the nodes that send most
        # requests, while others leave their share unused.
        counts = NodeCounts({'a': 3, 'b': 2, 'c': 2, 'd': 2})
        near = compute_service_share('a', counts, {'a', 'b'})
        far = compute_service_share('c', counts, {'a', 'b'})
        self.assertGreater(near, 1.4 / counts.total)
        self.assertGreater(far, 0.0)

    def test_nodes_that_are_not_known_yet_have_a_share(self):
        # Guards against a node that starts and takes the limits of all.
        alone = NodeCounts({'a': 1}, unknown=2)
        self.assertAlmostEqual(
            compute_service_share('a', alone, {'a'}), 1.0 / 3.0
        )
