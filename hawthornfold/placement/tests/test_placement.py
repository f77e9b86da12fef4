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

    def choose(self, now_ms, candidates=BOTH):
        record = self.placement.choose_server(candidates, DECISION, now_ms)
        return None if record is None else record.server_id

    def answer(self, server_id, elapsed_ms, now_ms, count=1):
        for number in range(count):
            key = (server_id, now_ms, number)
            self.placement.record_start(
                server_id, key, DECISION, now_ms - elapsed_ms
            )
            self.placement.record_answer(
                server_id, key, DECISION, elapsed_ms, None, now_ms
            )


class ChoiceTest(PlacementTestCase):
    def test_own_data_centre_comes_first_among_equals(self):
        # Guards against needless bytes between data centres.
        chosen = {self.choose(0.0) for _ in range(50)}
        self.assertEqual(chosen, {'local'})

    def test_slow_server_is_left_for_its_equal(self):
        # Guards against one slow replica that delays every query.
        self.answer('local', 100.0, 1_000.0, count=5)
        self.answer('remote', 20.0, 1_000.0, count=5)
        self.assertEqual(self.choose(1_001.0), 'remote')

    def test_server_whose_exchanges_are_given_up_is_slow(self):
        # Guards against a server that never answers in time and keeps the
        # cost of a fast one.
        for number in range(3):
            self.placement.record_start('local', number, DECISION, 0.0)
            self.placement.record_cancelled(
                'local', number, DECISION, 250.0, 250.0
            )
        self.assertEqual(self.choose(251.0), 'remote')
        self.placement.record_start('remote', 'short', DECISION, 300.0)
        self.placement.record_cancelled(
            'remote', 'short', DECISION, 1.0, 301.0
        )
        self.assertEqual(self.placement.health('remote').slowness(301.0), 1.0)

    def test_slow_server_is_tried_again(self):
        # Guards against a server that is lost for good once it was slow.
        self.answer('local', 100.0, 1_000.0, count=5)
        self.assertEqual(self.choose(40_000.0), 'local')

    def test_server_that_pauses_is_left_while_it_does(self):
        # Guards against first sends into a pause that this node has seen.
        self.answer('local', 20.0, 1_000.0)
        self.placement.record_start('local', 'stuck', DECISION, 1_000.0)
        self.assertEqual(self.choose(1_080.0), 'remote')
        self.placement.record_answer(
            'local', 'stuck', DECISION, 90.0, None, 1_090.0
        )
        self.answer('local', 20.0, 1_200.0, count=9)
        self.assertEqual(self.choose(1_201.0), 'local')

    def test_queue_at_a_server_counts(self):
        # Guards against a local server that collects the whole load.
        for number in range(6):
            self.placement.record_start('local', number, DECISION, 0.0)
        self.assertEqual(self.choose(1.0), 'remote')

    def test_failing_server_is_left(self):
        # Guards against a server that fails fast and looks idle.
        for number in range(4):
            self.placement.record_start('local', number, DECISION, 0.0)
            self.placement.health('local').record_failure(number, False, 1.0)
        self.assertEqual(self.choose(2.0), 'remote')

    def test_server_with_an_open_connection_comes_first(self):
        # Guards against a connection for each request where a fleet has
        # more nodes than a server has connections.
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

    def test_time_within_the_objective_saves_bytes(self):
        # Guards against bytes between data centres for a few milliseconds
        # that the caller does not need.
        self.answer('local', 25.0, 1_000.0, count=30)
        self.answer('remote', 18.0, 1_000.0, count=30)
        self.assertEqual(self.choose(1_001.0), 'local')

    def test_nothing_is_chosen_from_nothing(self):
        self.assertIsNone(self.choose(0.0, []))


class BlockingTest(PlacementTestCase):
    def fail_exchanges(self, count):
        for number in range(count):
            self.placement.record_start('local', number, DECISION, 0.0)
            self.placement.health('local').record_failure(number, True, 1.0)

    def test_absent_server_gets_no_work_until_a_probe_succeeds(self):
        # Guards against callers that pay for each try of a dead server.
        self.fail_exchanges(FAILURE_LIMIT)
        self.assertEqual(self.choose(1.0), 'remote')
        self.assertIsNone(self.choose(1.0, [LOCAL]))
        health = self.placement.health('local')
        self.assertFalse(health.needs_probe(2.0))
        self.assertTrue(health.needs_probe(1.0 + PROBE_INTERVAL_MS))
        health.record_probe(True, 1_000.0)
        self.assertEqual(self.choose(1_000.0, [LOCAL]), 'local')

    def test_single_failure_does_not_block(self):
        # Guards against losing a server to one connection that was reset.
        self.fail_exchanges(FAILURE_LIMIT - 1)
        self.assertEqual(self.choose(1.0, [LOCAL]), 'local')

    def test_silence_blocks_and_a_pause_does_not(self):
        # Guards against taking an ordinary pause for the end of a server.
        self.placement.record_start('local', 'a', DECISION, 0.0)
        limit_ms = compute_silence_limit_ms(20.0)
        self.assertGreater(limit_ms, 150.0)
        self.assertEqual(self.placement.block_silent_servers(150.0), [])
        self.assertEqual(
            self.placement.block_silent_servers(limit_ms), ['local']
        )
        self.assertEqual(self.placement.block_silent_servers(limit_ms), [])

    def test_server_that_only_accepts_connections_is_trusted_less(self):
        # Guards against a silent server that each probe brings back: on a
        # recorded day such servers made half of the answers incomplete.
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
            self.assertEqual(self.choose(now_ms), 'remote')
        self.assertLess(probes, 10)
        self.answer('local', 20.0, now_ms)
        health.block(now_ms)
        self.assertTrue(health.needs_probe(now_ms + PROBE_INTERVAL_MS))

    def test_answers_to_others_show_that_a_server_lives(self):
        # Guards against blocking a server for one request that hangs.
        self.placement.record_start('local', 'hung', DECISION, 0.0)
        self.answer('local', 20.0, 400.0)
        self.assertEqual(self.placement.block_silent_servers(500.0), [])

    def test_server_behind_a_reused_address_gets_no_work(self):
        # Guards against probes that reach the new owner of the address.
        self.placement.record_start('local', 'a', DECISION, 0.0)
        health = self.placement.health('local')
        health.mark_replaced('a')
        health.record_probe(True, 10.0)
        self.assertIsNone(self.choose(10.0, [LOCAL]))
        self.placement.remove_server('local')
        self.assertEqual(self.choose(10.0, [LOCAL]), 'local')
