import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hawthornfold.codes import ResultCode
from hawthornfold.configuration import messages
from hawthornfold.configuration import service as services
from hawthornfold.configuration import simulation as simulations
from hawthornfold.configuration.tests.test_store import validate


def start_simulation(count=12, seed=1, loss=0.0):
    """Return a simulation whose nodes are all ready."""
    network = random.Random(seed)

    def delay_ms(sender, receiver):
        if network.random() < loss:
            return None
        # Up to 30 ms of jitter reorders messages of one sender.
        return network.uniform(1.0, 31.0)

    simulation = simulations.Simulation(
        delay_ms, seed, validators=[('rules', validate)]
    )
    simulation.platform.write('rules', b'ok 1')
    for index in range(3):
        simulation.platform.write(f'services/{index}', b'group ' * 500)
    simulation.add_nodes(count, ('a', 'b', 'c'))
    simulation.run_until_ready()
    return simulation


def collect_held(simulation, key):
    return {
        (
            x.store.find_entry(key)[0][0],
            x.service.revision(key),
            x.service.value(key),
        )
        for x in simulation.nodes.values()
    }


class SpreadTest(unittest.TestCase):
    def expect_in_force(self, simulation, key, limit_ms=12_000.0):
        revision = simulation.platform.keys[key].revision
        done = simulation.run(
            limit_ms, until=lambda: not simulation.find_lagging(key, revision)
        )
        self.assertTrue(done, simulation.find_lagging(key, revision))

    def start_with_stale_replica(self):
        """Return a simulation and a platform replica older than its nodes."""
        simulation = start_simulation()
        stale = simulation.platform.copy()
        simulation.platform.write('rules', b'ok newer')
        self.expect_in_force(simulation, 'rules')
        return simulation, stale

    @settings(max_examples=15, deadline=None)
    @given(st.integers(0, 10_000), st.sampled_from([0.0, 0.1, 0.3]))
    def test_changes_reach_all_nodes_despite_loss(self, seed, loss):
        # Guards against nodes that keep an old configuration after messages
        # are lost or reordered (P8).
        simulation = start_simulation(seed=seed, loss=loss)
        for number in range(3):
            simulation.platform.write('rules', b'ok change %d' % number)
            simulation.run(random.Random(seed + number).uniform(0, 300))
        simulation.platform.write('services/1', None)
        self.expect_in_force(simulation, 'rules')
        self.expect_in_force(simulation, 'services/1')
        self.assertEqual([], simulation.lowered_changes)
        for node in simulation.nodes.values():
            self.assertIsNone(node.service.value('services/1'))

    def test_nodes_exchange_usable_deltas(self):
        # Guards against deltas that receivers cannot decode. The documents
        # would still arrive, in full and with twice the messages.
        simulation = start_simulation()
        counts = simulation.metrics.counts
        counts.clear()
        value = b'group ' * 500 + b'changed'
        simulation.platform.write('services/1', value)
        self.expect_in_force(simulation, 'services/1')
        self.assertEqual(0, counts['configuration_bad_deltas',])
        self.assertEqual(0, counts['configuration_served_bytes', 'full'])
        self.assertGreater(counts['configuration_served_bytes', 'delta'], 0)

    def test_partition_merges_to_the_highest_revision(self):
        # Guards against an older document that prevails after a partition
        # heals. The nodes of data centre c read a stale replica.
        simulation = start_simulation()
        simulation.use_platform(
            simulation.platform.copy(), lambda x: x.member.data_centre == 'c'
        )
        with simulation.partition(
            lambda a, b: 'c' in (a[2], b[2]) and a[2] != b[2]
        ):
            simulation.platform.write('rules', b'ok newer')
            simulation.run(30_000.0)
            revision = simulation.platform.revision
            lagging = simulation.find_lagging('rules', revision)
            centres = {simulation.nodes[x].member[2] for x in lagging}
            self.assertEqual({'c'}, centres)
        self.expect_in_force(simulation, 'rules')
        simulation.run(30_000.0)
        self.assertEqual(1, len(collect_held(simulation, 'rules')))
        self.assertEqual([], simulation.lowered_changes)

    def test_stale_replica_reverts_nothing(self):
        # Guards against watchers that revert a change because their
        # platform replica is stale (P8).
        simulation, stale = self.start_with_stale_replica()
        simulation.use_platform(stale)
        simulation.run(120_000.0)
        self.assertEqual([], simulation.find_lagging('rules', 5))
        self.assertEqual([], simulation.lowered_changes)

    def restart_nodes_in_turn(self, simulation, platform):
        """Restart the nodes one by one; each must serve the newest rules."""
        revision = simulation.platform.keys['rules'].revision
        for name in list(simulation.nodes):
            simulation.restart_node(name, platform)
            node = simulation.nodes[name]
            self.assertTrue(simulation.run_until_ready())
            self.assertEqual(revision, node.service.revision('rules'))
        self.assertEqual([], simulation.lowered_changes)

    def test_rolling_restart_while_the_platform_is_down(self):
        # Guards against restarted nodes that can get the configuration only
        # from the platform (P8).
        simulation = start_simulation()
        simulation.platform.down = True
        self.restart_nodes_in_turn(simulation, simulation.platform)

    def test_rolling_restart_while_the_platform_is_stale(self):
        # Guards against restarted nodes that serve with the configuration
        # of a stale replica although their peers hold a newer one (P8).
        simulation, stale = self.start_with_stale_replica()
        self.restart_nodes_in_turn(simulation, stale)

    def test_change_spreads_after_all_watchers_fail(self):
        # Guards against a change that no node reads from the platform.
        simulation = start_simulation(count=15)
        watchers = simulation.find_watchers()
        self.assertEqual(6, len(watchers))
        for name in watchers:
            simulation.kill_node(name)
        simulation.platform.write('rules', b'ok newer')
        simulation.run(5_000.0)
        self.assertEqual(9, len(simulation.find_lagging('rules', 5)))
        simulation.refresh_membership()
        self.expect_in_force(simulation, 'rules', 2_000.0)

    def test_nodes_read_the_platform_when_watchers_cannot(self):
        # Guards against a change that no node reads because the watchers
        # are alive, and so not replaced, but cut off from the platform.
        simulation = start_simulation()
        unreachable = simulation.platform.copy()
        unreachable.down = True
        simulation.use_platform(unreachable, lambda x: x.service.is_watcher)
        simulation.platform.write('rules', b'ok newer')
        reads = simulation.platform.reads
        self.expect_in_force(simulation, 'rules', 3 * services.FALLBACK_AGE_MS)
        self.assertLess(simulation.platform.reads - reads, 24)

    def test_all_nodes_refuse_the_same_document(self):
        # Guards against nodes that disagree about an invalid document. A
        # restarted node gets the last valid one from its peers, because the
        # platform no longer holds it.
        simulation = start_simulation()
        simulation.platform.write('rules', b'bad')
        simulation.run(5_000.0)
        self.assertEqual({(5, 1, 'ok 1')}, collect_held(simulation, 'rules'))
        for name in ('n0', 'n5'):
            simulation.restart_node(name)
        simulation.run(12_000.0)
        self.assertEqual({(5, 1, 'ok 1')}, collect_held(simulation, 'rules'))
        for node in simulation.nodes.values():
            revision, failure = node.service.refusals['rules']
            self.assertEqual(5, revision)
            self.assertEqual(ResultCode.FIELD_TYPE, failure.code)
        simulation.platform.write('rules', b'ok again')
        self.expect_in_force(simulation, 'rules')

    def test_conflicting_contents_remain_until_the_next_revision(self):
        # Guards against two contents of one revision that cause messages
        # without end, or that the next revision does not replace.
        simulation = start_simulation()
        nodes = list(simulation.nodes.values())
        nodes[0].store.apply_document('rules', 9, b'ok one', 'test')
        nodes[1].store.apply_document('rules', 9, b'ok other', 'test')
        simulation.run(10_000.0)
        values = {value for _, _, value in collect_held(simulation, 'rules')}
        self.assertEqual({'ok one', 'ok other'}, values)
        counts = simulation.metrics.counts
        self.assertGreater(counts['configuration_ignored', 704], 0)
        pulls = counts['configuration_sent', 'pull']
        simulation.run(10_000.0)
        self.assertEqual(pulls, counts['configuration_sent', 'pull'])
        simulation.platform.revision = 9
        simulation.platform.write('rules', b'ok last')
        self.expect_in_force(simulation, 'rules')


KEYS = st.sampled_from(['rules', 'services/0', 'vms', 'new', '', 'x' * 300])
NUMBERS = st.integers(-(1 << 63), (1 << 64) - 1) | st.integers(-1, 9)


def build_tuples(body_type):
    numbers = [NUMBERS] * (len(body_type._fields) - 1)
    return st.lists(st.builds(body_type, KEYS, *numbers)).map(tuple)


# Hypothesis generates the other fields from their declared types.
BODIES = st.one_of(
    st.builds(messages.Announce, build_tuples(messages.Version)),
    st.builds(messages.Pull, build_tuples(messages.Want)),
    st.builds(messages.Delta, KEYS, NUMBERS, NUMBERS, NUMBERS, NUMBERS),
)


class FuzzedMessagesTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(BODIES, max_size=12), st.integers(0, 99))
    def test_any_message_leaves_the_node_running(self, bodies, seed):
        # Guards against a faulty peer whose messages stop a node, lower a
        # revision or make the node send without end.
        simulation = start_simulation(count=3, seed=seed)
        node = simulation.nodes['n0']
        sender = simulations.Sender('n1', 1, 'n1')
        for body in bodies:
            node.links.handlers[type(body)](sender, body)
            simulation.run(500.0)
        simulation.run(20_000.0)
        self.assertEqual([], simulation.lowered_changes)
        counts = simulation.metrics.counts
        before = counts['configuration_sent', 'delta']
        simulation.run(5_000.0)
        self.assertEqual(before, counts['configuration_sent', 'delta'])
