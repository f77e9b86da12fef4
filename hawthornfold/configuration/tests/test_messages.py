import random
import unittest

from hawthornfold.configuration import create_configuration_store
from hawthornfold.configuration import deltas
from hawthornfold.configuration import measure
from hawthornfold.configuration import messages
from hawthornfold.configuration import simulation as simulations
from hawthornfold.configuration import spread
from hawthornfold.configuration import store as stores
from hawthornfold.configuration.tests.test_spread import start_simulation
from hawthornfold.configuration.tests.test_store import validate

PEER = simulations.Sender('peer', 1, 'peer')


def create_state(validators=()):
    """Return the state of a ready node ``n``, its store and metrics."""
    metrics = simulations.CountingMetrics()
    store = create_configuration_store(
        validators, simulations.ListAudit(), metrics
    )
    state = spread.SpreadState('n', store, random.Random(1), metrics)
    state.set_members(
        [simulations.SimulatedMember('peer', 'peer', 'dc', 1, 'alive')]
    )
    store.apply_document('rules', 3, b'ok', 'test')
    store.apply_document('services/a', 4, b'a' * 1000, 'test')
    state.step(0.0)
    state.step(spread.NO_PEER_LIMIT_MS)
    return state, store, metrics


def create_delta(key, revision, value, digest):
    frame = deltas.encode_document(value, None)
    return messages.Delta(key, revision, digest, -1, 0, frame)


def announce(*versions, digest=0, age_ms=0.0, revision=0, ready=True):
    return messages.Announce(versions, digest, (), (), age_ms, revision, ready)


class MessagesTest(unittest.TestCase):
    def test_document_with_another_digest_is_pulled_in_full(self):
        # Guards against a corrupted document that comes into force, and
        # against a node that does not pull it again.
        state, store, metrics = create_state()
        version = messages.Version('rules', 9, 7, 9)
        state.handle_announce(3_000.0, PEER, announce(version))
        body = create_delta('rules', 9, b'ok 9', 7)
        (message,) = state.handle_delta(3_000.0, PEER, body)
        self.assertEqual(b'ok', store.find_entry('rules').parsed)
        self.assertEqual(1, metrics.counts['configuration_bad_deltas',])
        want = messages.Want('rules', 3, 0, 3)
        self.assertEqual(messages.Pull((want,)), message.body)

    def test_small_change_is_sent_as_small_delta(self):
        # Guards against a small change that costs as many bytes as the
        # whole document.
        state, store, _ = create_state()
        base = store.find_entry('services/a').newest
        value = random.Random(1).randbytes(50_000)
        store.apply_document('services/a', 5, value, 'test')
        store.apply_document('services/a', 6, value + b'changed', 'test')
        digest = stores.compute_digest(value)
        for known, largest in (
            (messages.Want('services/a', 5, digest, 5), 100),
            (messages.Want('services/a', 4, base.digest, 4), 51_000),
            (messages.Want('services/a', 5, 1234, 5), 51_000),
        ):
            pull = messages.Pull((known,))
            (message,) = state.handle_pull(3_000.0, PEER, pull)
            self.assertLess(len(message.body.payload), largest)

    def test_full_documents_are_declined_when_budget_is_overdrawn(self):
        # Guards against a node that exceeds its byte rate when all peers
        # pull full documents from it at once.
        state, store, metrics = create_state()
        store.apply_document(
            'large', 5, random.Random(1).randbytes(1 << 20), 'test'
        )
        pull = messages.Pull((messages.Want('large', -1, 0, -1),))
        served = [
            len(state.handle_pull(3_000.0, PEER, pull)) for _ in range(10)
        ]
        self.assertEqual(2, sum(served))
        self.assertEqual(8, metrics.counts['configuration_pulls_declined',])

    def test_pulls_wait_for_the_budget(self):
        # Guards against pulls that exceed the 4 KB/s of a node.
        state, _, metrics = create_state()
        value = random.Random(1).randbytes(1 << 20)
        for revision in (5, 6, 7):
            body = create_delta(
                'large', revision, value, stores.compute_digest(value)
            )
            state.handle_delta(3_000.0, PEER, body)
        version = messages.Version('rules', 9, 7, 9)
        body = announce(version)
        self.assertEqual([], state.handle_announce(3_000.0, PEER, body))
        self.assertEqual(1, metrics.counts['configuration_pulls_delayed',])
        later_ms = 3_000.0 + (1 << 20) / spread.BYTES_PER_SECOND * 1_100.0
        sent = [type(x.body) for x in state.step(later_ms)]
        self.assertIn(messages.Pull, sent)

    def test_platform_revision_is_adopted_from_equal_stores_only(self):
        # Guards against a new watcher that reads from a revision whose
        # changes it does not hold, and so never gets them.
        state, store, _ = create_state()
        state.handle_announce(3_000.0, PEER, announce(digest=5, revision=9))
        self.assertEqual(0, state.platform_revision)
        body = announce(digest=store.digest, revision=9)
        state.handle_announce(3_000.0, PEER, body)
        self.assertEqual(9, state.platform_revision)

    def test_age_of_the_platform_read_spreads(self):
        # Guards against nodes that all read the platform although one of
        # them has just read it, and against an older read that replaces the
        # latest.
        state, _, _ = create_state()
        state.handle_announce(3_000.0, PEER, announce(age_ms=8_000.0))
        state.handle_announce(3_000.0, PEER, announce(age_ms=500.0))
        state.handle_announce(3_000.0, PEER, announce(age_ms=9_000.0))
        state.handle_announce(3_000.0, PEER, announce(age_ms=-1.0))
        self.assertEqual(1_500.0, state.platform_age_ms(4_000.0))

    def test_document_refused_here_and_in_force_there_is_pulled_once(self):
        # Guards against nodes of two program versions that exchange the
        # same document again and again, because only one refuses it.
        state, store, _ = create_state([('rules', validate)])
        store.apply_document('rules', 9, b'bad 9', 'test')
        version = messages.Version(
            'rules', 9, store.find_entry('rules').newest[2], 8
        )
        body = announce(version)
        (pull,) = state.handle_announce(3_000.0, PEER, body)
        self.assertIsInstance(pull.body, messages.Pull)
        value = b'bad 8'
        state.handle_delta(
            3_000.0,
            PEER,
            create_delta('rules', 8, value, stores.compute_digest(value)),
        )
        self.assertEqual([], state.handle_announce(9_000.0, PEER, body))
        self.assertEqual('ok', store.find_entry('rules').parsed)

    def test_starting_node_waits_until_it_holds_what_ready_peers_hold(self):
        # Guards against a node that serves with a stale configuration
        # because its pulls take longer than the wait for a first ready peer.
        simulation = start_simulation()
        stale = simulation.platform.copy()
        simulation.platform.write('rules', b'ok newer')
        simulation.run(5_000.0)
        deliver = simulation.send

        def lose_deltas(member, name, body):
            if not isinstance(body, messages.Delta):
                deliver(member, name, body)

        simulation.send = lose_deltas
        simulation.restart_node('n1', stale)
        node = simulation.nodes['n1']
        simulation.run(2 * spread.NO_PEER_LIMIT_MS)
        self.assertEqual(1, node.service.revision('rules'))
        self.assertFalse(node.service.is_ready)
        simulation.send = deliver
        self.assertTrue(simulation.run_until_ready())
        self.assertEqual(5, node.service.revision('rules'))


class MeasureTest(unittest.TestCase):
    def test_changes_come_into_force_within_the_target(self):
        # Guards against measuring a run in which changes are lost.
        found = measure.measure(12, 2_000, kill=True, changes=1)
        self.assertLess(found.in_force_ms[-1], 12_000.0)
        self.assertLess(found.idle_bytes, 1_000.0)
