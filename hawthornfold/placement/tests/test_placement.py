import random
import unittest

from hawthornfold.directory import ServerRecord
from hawthornfold.placement import create_latency_tracker
from hawthornfold.placement import create_placement
from hawthornfold.placement.health import FAILURE_LIMIT
from hawthornfold.placement.health import PROBE_INTERVAL_MS
from hawthornfold.placement.health import compute_silence_limit_ms
from hawthornfold.rules import Decision

DECISION = Decision(
    'r', 0, 600, True, 89, 'refuse', True, 1, 20, 'pin', objective_ms=100.0
)
LOCAL = ServerRecord('local', 'portal', '127.0.0.1:1', 'dc-a', 2)
REMOTE = ServerRecord('remote', 'portal', '127.0.0.1:2', 'dc-b', 2)
BOTH = [LOCAL, REMOTE]


class PlacementTestCase(unittest.TestCase):
    def setUp(self):
        self.placement = create_placement(
            'dc-a', create_latency_tracker(), rng=random.Random(3)
        )

    def choose_server_id(self, now_ms, candidates=BOTH):
        record = self.placement.choose_server(candidates, DECISION, now_ms)
        return None if record is None else record.server_id

    def record_answers(self, server_id, elapsed_ms, now_ms, count=1):
        for number in range(count):
            key = (server_id, now_ms, number)
            self.placement.record_start(
                server_id, key, DECISION, now_ms - elapsed_ms
            )
            self.placement.record_answer(
                server_id, key, DECISION, elapsed_ms, None, now_ms
            )


class ChoiceTest(PlacementTestCase):
    def test_server_in_the_own_data_centre_is_preferred(self):
        # Guards against needless traffic between data centres.
        chosen = {self.choose_server_id(0.0) for _ in range(50)}
        self.assertEqual(chosen, {'local'})

    def test_faster_server_is_preferred(self):
        # Guards against a slow replica that delays every query.
        self.record_answers('local', 100.0, 1_000.0, count=5)
        self.record_answers('remote', 20.0, 1_000.0, count=5)
        self.assertEqual(self.choose_server_id(1_001.0), 'remote')

    def test_cancelled_slow_exchanges_count_as_slowness(self):
        # Guards against preferring a server that never answers in time: its
        # exchanges are cancelled, so no latency is measured.
        for number in range(3):
            self.placement.record_start('local', number, DECISION, 0.0)
            self.placement.record_cancelled(
                'local', number, DECISION, 250.0, 250.0
            )
        self.assertEqual(self.choose_server_id(251.0), 'remote')
        self.placement.record_start('remote', 'short', DECISION, 300.0)
        self.placement.record_cancelled(
            'remote', 'short', DECISION, 1.0, 301.0
        )
        self.assertEqual(self.placement.health('remote').slowness(301.0), 1.0)

    def test_slow_server_is_tried_again_later(self):
        # Guards against never using a server again because it was slow once.
        self.record_answers('local', 100.0, 1_000.0, count=5)
        self.assertEqual(self.choose_server_id(40_000.0), 'local')

    def test_stalled_server_is_avoided_while_it_stalls(self):
        # Guards against sending new requests to a server on which running
        # exchanges of this node have stalled.
        self.record_answers('local', 20.0, 1_000.0)
        self.placement.record_start('local', 'stuck', DECISION, 1_000.0)
        self.assertEqual(self.choose_server_id(1_080.0), 'remote')
        self.placement.record_answer(
            'local', 'stuck', DECISION, 90.0, None, 1_090.0
        )
        self.record_answers('local', 20.0, 1_200.0, count=9)
        self.assertEqual(self.choose_server_id(1_201.0), 'local')

    def test_server_with_a_queue_is_avoided(self):
        # Guards against sending the whole load to the local server.
        for number in range(6):
            self.placement.record_start('local', number, DECISION, 0.0)
        self.assertEqual(self.choose_server_id(1.0), 'remote')

    def test_failing_server_is_avoided(self):
        # Guards against preferring a server that looks idle because it
        # fails fast.
        for number in range(4):
            self.placement.record_start('local', number, DECISION, 0.0)
            self.placement.health('local').record_failure(number, False, 1.0)
        self.assertEqual(self.choose_server_id(2.0), 'remote')

    def test_server_with_an_open_connection_is_preferred(self):
        # Guards against opening a connection for each request when there are
        # more nodes than a server accepts connections.
        placement = create_placement(
            'dc-a', create_latency_tracker(), 'open'.__eq__, random.Random(3)
        )
        servers = [LOCAL, LOCAL._replace(server_id='open')]

        def choose():
            chosen = placement.choose_server(servers, DECISION, 0.0)
            return chosen.server_id

        self.assertEqual({choose() for _ in range(50)}, {'open'})
        for _ in range(400):
            placement.record_connect(0.0)
        self.assertEqual({choose() for _ in range(50)}, {'open', 'local'})

    def test_slower_local_server_within_the_objective_is_preferred(self):
        # Guards against traffic between data centres to save a few
        # milliseconds that the objective leaves anyway.
        self.record_answers('local', 25.0, 1_000.0, count=30)
        self.record_answers('remote', 18.0, 1_000.0, count=30)
        self.assertEqual(self.choose_server_id(1_001.0), 'local')

    def test_no_server_is_chosen_without_candidates(self):
        self.assertIsNone(self.choose_server_id(0.0, []))


class FirstChoiceTest(PlacementTestCase):
    candidates = (LOCAL, LOCAL._replace(server_id='other'))

    def choose_first(self, now_ms, candidates=None):
        record = self.placement.choose_first_server(
            'portal', candidates or self.candidates, DECISION, now_ms
        )
        return record.server_id

    def test_choice_is_kept_while_nothing_disturbs_the_server(self):
        # Guards against comparing all servers for each part of each query.
        chosen = self.choose_first(0.0)
        self.record_answers(chosen, 20.0, 10.0)
        repeated = {self.choose_first(20.0 + n) for n in range(50)}
        self.assertEqual(repeated, {chosen})

    def test_disturbed_server_is_compared_again(self):
        # Guards against staying with a server that is busy, slow, queueing,
        # failing or blocked.
        cases = {
            'busy': lambda s: [
                self.placement.record_start(s, n, DECISION, 10.0)
                for n in range(6)
            ],
            'slow': lambda s: self.record_answers(s, 90.0, 10.0, count=5),
            'failing': lambda s: [
                self.placement.health(s).record_failure(n, False, 10.0)
                for n in range(3)
            ],
            'blocked': lambda s: self.placement.health(s).block(10.0),
        }
        for name, disturb in cases.items():
            with self.subTest(name):
                self.setUp()
                chosen = self.choose_first(0.0)
                disturb(chosen)
                self.assertNotEqual(self.choose_first(20.0), chosen)

    def test_queue_reported_by_the_server_ends_the_choice(self):
        chosen = self.choose_first(0.0)
        self.placement.record_start(chosen, 'a', DECISION, 0.0)
        self.placement.record_answer(chosen, 'a', DECISION, 20.0, 5, 20.0)
        self.assertNotEqual(self.choose_first(21.0), chosen)

    def test_changed_servers_end_the_choice(self):
        # Guards against requests to a server that is leaving.
        chosen = self.choose_first(0.0)
        others = tuple(s for s in self.candidates if s.server_id != chosen)
        self.assertNotEqual(self.choose_first(1.0, others), chosen)
        self.placement.remove_server(chosen)
        self.assertNotEqual(self.choose_first(2.0, others), chosen)

    def test_remote_choice_is_compared_with_local_servers_again(self):
        # Guards against needless traffic between data centres.
        self.record_answers('local', 100.0, 0.0, count=9)
        self.assertEqual(self.choose_first(1.0, tuple(BOTH)), 'remote')
        self.assertEqual(self.choose_first(9_000.0, tuple(BOTH)), 'local')


class BlockingTest(PlacementTestCase):
    def fail_exchanges(self, count):
        for number in range(count):
            self.placement.record_start('local', number, DECISION, 0.0)
            self.placement.health('local').record_failure(number, True, 1.0)

    def test_unresponsive_server_is_blocked_until_a_probe_succeeds(self):
        # Guards against delaying callers with attempts at a dead server.
        self.fail_exchanges(FAILURE_LIMIT)
        self.assertEqual(self.choose_server_id(1.0), 'remote')
        self.assertIsNone(self.choose_server_id(1.0, [LOCAL]))
        health = self.placement.health('local')
        self.assertFalse(health.needs_probe(2.0))
        self.assertTrue(health.needs_probe(1.0 + PROBE_INTERVAL_MS))
        health.record_probe(True, 1_000.0)
        self.assertEqual(self.choose_server_id(1_000.0, [LOCAL]), 'local')

    def test_single_failure_does_not_block(self):
        # Guards against blocking a server because one connection was reset.
        self.fail_exchanges(FAILURE_LIMIT - 1)
        self.assertEqual(self.choose_server_id(1.0, [LOCAL]), 'local')

    def test_long_silence_blocks_and_a_pause_does_not(self):
        # Guards against blocking a server during an ordinary pause.
        self.placement.record_start('local', 'a', DECISION, 0.0)
        limit_ms = compute_silence_limit_ms(20.0)
        self.assertGreater(limit_ms, 150.0)
        self.assertEqual(self.placement.block_silent_servers(150.0), [])
        self.assertEqual(
            self.placement.block_silent_servers(limit_ms), ['local']
        )
        self.assertEqual(self.placement.block_silent_servers(limit_ms), [])

    def test_server_that_only_accepts_connections_is_probed_less_often(self):
        # Guards against a silent server that every successful probe
        # unblocks. On a recorded day, such servers made half of the answers
        # incomplete.
        health = self.placement.health('local')
        now_ms, probes = 0.0, 0
        while now_ms < 20_000.0:
            self.placement.record_start('local', now_ms, DECISION, now_ms)
            now_ms += compute_silence_limit_ms(20.0)
            self.placement.block_silent_servers(now_ms)
            while not health.needs_probe(now_ms):
                now_ms += 50.0
            health.record_probe(True, now_ms)
            probes += 1
            self.assertEqual(self.choose_server_id(now_ms), 'remote')
        self.assertLess(probes, 10)
        self.record_answers('local', 20.0, now_ms)
        health.block(now_ms)
        self.assertTrue(health.needs_probe(now_ms + PROBE_INTERVAL_MS))

    def test_answers_to_other_exchanges_keep_a_server_unblocked(self):
        # Guards against blocking a server because one request hangs.
        self.placement.record_start('local', 'hung', DECISION, 0.0)
        self.record_answers('local', 20.0, 400.0)
        self.assertEqual(self.placement.block_silent_servers(500.0), [])

    def test_silence_while_the_node_was_late_does_not_block(self):
        # Guards against blocking all servers with running exchanges after the
        # node itself was suspended or had no processor time.
        limit_ms = compute_silence_limit_ms(20.0)
        self.placement.record_start('local', 'a', DECISION, 0.0)
        self.placement.excuse_silence(250.0)
        self.assertEqual(self.placement.block_silent_servers(limit_ms), [])
        self.assertEqual(
            self.placement.block_silent_servers(limit_ms + 250.0), ['local']
        )

    def test_pauses_of_some_servers_of_a_query_are_not_suspicious(self):
        # Guards against new connections to servers for each query of which
        # some parts meet a pause.
        for number in range(10):
            self.placement.record_start(f's{number}', 'a', DECISION, 0.0)
        self.placement.isolation.record_contact(10.0)
        self.assertEqual(self.placement.list_silent(200.0), [])
        self.assertEqual(len(self.placement.list_silent(310.0)), 10)

    def test_query_without_any_answer_is_suspicious(self):
        # Guards against callers that wait while no server can be reached.
        self.placement.isolation.record_contact(0.0)
        for number in range(10):
            self.placement.record_start(f's{number}', 'a', DECISION, 20.0)
        self.assertEqual(self.placement.list_silent(60.0), [])
        self.assertEqual(len(self.placement.list_silent(81.0)), 10)

    def test_silence_of_most_servers_at_once_blocks_none(self):
        # Guards against blocking the servers because the node's own link is
        # late or cut.
        limit_ms = compute_silence_limit_ms(20.0)
        silent = [f'silent-{number}' for number in range(10)]
        for server_id in silent:
            self.placement.record_start(server_id, 'a', DECISION, 0.0)
        self.assertEqual(self.placement.block_silent_servers(limit_ms), [])
        for number in range(10):
            self.record_answers(f'other-{number}', 20.0, limit_ms - 10.0)
        self.assertEqual(
            set(self.placement.block_silent_servers(limit_ms)), set(silent)
        )

    def test_server_whose_address_is_reused_stays_excluded(self):
        # Guards against unblocking it after a probe that reached the server
        # that uses the address now.
        self.placement.record_start('local', 'a', DECISION, 0.0)
        health = self.placement.health('local')
        health.record_replaced('a', 0.0)
        health.record_probe(True, 10.0)
        health.expire_replaced(10.0)
        self.assertIsNone(self.choose_server_id(10.0, [LOCAL]))
        self.placement.remove_server('local')
        self.assertEqual(self.choose_server_id(10.0, [LOCAL]), 'local')
