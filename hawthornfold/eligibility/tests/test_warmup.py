import math
import unittest

import logbook

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.directory import create_server_directory
from hawthornfold.eligibility import FleetNodes
from hawthornfold.eligibility import create_server_eligibility
from hawthornfold.eligibility import create_warmup_limiter
from hawthornfold.eligibility.cold_server import EVIDENCE_DELAY_MS
from hawthornfold.eligibility.warmup import RAMP_START
from hawthornfold.eligibility.warmup import WINDOW_MS
from hawthornfold.limits.ramp import RAMP_MS
from hawthornfold.metrics import create_metrics
from hawthornfold.placement import create_latency_tracker
from hawthornfold.placement import create_placement
from hawthornfold.rules import Decision

DECISION = Decision('r', 0, 600, True, 75, 'refuse', True, 1, 20, 'pin', 100.0)
COLD = ServerRecord('s1', 'portal', 'a:1', 'dc-a', 2, False, 3_000.0, 7)
WARM = COLD._replace(warmup_ms=0.0)
# After a shorter time, evidence that shortens the cold time is ignored.
LATER_MS = EVIDENCE_DELAY_MS


class WarmupLimiterTest(unittest.TestCase):
    def setUp(self):
        self.metrics = create_metrics()
        self.limiter = create_warmup_limiter('n1', 1.5, 0.0, self.metrics)
        self.set_rate(2.0)
        self.set_nodes(0.0)
        self.log = logbook.TestHandler()
        self.log.push_application()
        self.addCleanup(self.log.pop_application)

    def set_rate(self, warmup_per_s):
        service = ServiceRecord('portal', '/', 1, 2_000.0, warmup_per_s)
        self.limiter.set_services({'portal': service})

    def set_nodes(self, now_ms, names=('n1',), is_complete=True):
        nodes = FleetNodes(dict.fromkeys(names, 'dc-a'), is_complete, now_ms)
        self.limiter.set_nodes(nodes)

    def count_sends(self, now_ms, record=COLD):
        """Send until the limiter refuses, at most 20 times."""
        for count in range(20):
            if self.limiter.refuses(record, now_ms):
                return count
            self.limiter.record_send(record, now_ms)
        return 20

    def count_lines(self, event):
        return sum(f'event={event} ' in x for x in self.log.formatted_records)

    def test_allotment_is_used_once_per_window_until_the_server_is_warm(self):
        # Guards against requests that arrive within one second because they
        # were sent little more than a second apart.
        self.limiter.record_entry(COLD, 0.0)
        self.assertEqual(self.count_sends(0.0), 3)
        self.assertEqual(self.limiter.free_ms(COLD, 10.0), WINDOW_MS)
        self.assertTrue(self.limiter.refuses(COLD, WINDOW_MS - 1.0))
        self.assertEqual(self.count_sends(WINDOW_MS), 3)
        self.assertEqual(self.count_sends(2.0 * WINDOW_MS), 3)
        # The end of the cold time is before the next slot.
        self.assertEqual(self.limiter.free_ms(COLD, 2_600.0), 3_000.0)
        self.assertEqual(self.count_sends(3_000.0), 20)
        self.assertEqual(self.limiter.free_ms(COLD, 3_001.0), 3_001.0)

    def test_service_without_limit_is_never_refused(self):
        # Guards against changes for services that specify no limit.
        for rate in (0.0, -1.0, math.nan):
            self.set_rate(rate)
            self.limiter.record_entry(COLD, 0.0)
            self.limiter.record_header(COLD, '3000', 0.0)
            self.assertEqual(self.count_sends(0.0), 20)
            self.assertIsNone(self.limiter.estimate_share(COLD, 0.0))
        self.limiter.check(0.0)
        self.assertEqual(self.log.formatted_records, [])

    def test_limit_that_is_configured_later_applies(self):
        # Guards against a store read that has servers before their services.
        self.set_rate(0.0)
        self.limiter.record_entry(COLD, 0.0)
        self.set_rate(2.0)
        self.assertEqual(self.count_sends(10.0), 3)
        self.limiter.set_bounds(1.5, 2.0)
        self.assertEqual(self.count_sends(20.0), 2)

    def test_node_that_does_not_know_its_fleet_sends_nothing(self):
        # Guards against a node that has just started or was suspended.
        self.limiter.record_entry(COLD, 0.0)
        self.set_nodes(0.0, is_complete=False)
        self.assertEqual(self.count_sends(0.0), 0)
        self.assertEqual(self.limiter.free_ms(COLD, 0.0), 3_000.0)
        self.set_nodes(0.0)
        self.assertEqual(self.count_sends(0.0), 3)
        self.limiter.record_entry(COLD, 90_000.0)
        self.assertEqual(self.count_sends(90_000.0), 0)
        self.set_nodes(90_000.0, ())
        self.set_nodes(90_000.0)
        self.assertEqual(self.count_sends(90_000.0), 3)

    def test_more_nodes_shrink_the_allotment_at_once(self):
        # Guards against an allotment that is kept for nodes of before.
        self.limiter.record_entry(COLD, 0.0)
        self.set_nodes(0.0, ('n1', 'n2', 'n3'))
        self.assertEqual(self.count_sends(0.0), 1)

    def test_later_evidence_shortens_and_lengthens_the_cold_time(self):
        # Guards against cold times that only one of the sources can change.
        self.limiter.record_entry(COLD, 0.0)
        self.limiter.record_header(COLD, ' 500.5 ', LATER_MS)
        self.assertEqual(self.count_sends(LATER_MS), 3)
        self.assertEqual(
            self.limiter.free_ms(COLD, LATER_MS), LATER_MS + 500.5
        )
        self.limiter.record_header(COLD, '4000', LATER_MS + 10.0)
        self.assertTrue(self.limiter.refuses(COLD, LATER_MS + 600.0))
        self.limiter.record_entry(WARM, 2.0 * LATER_MS + 10.0)
        self.assertFalse(self.limiter.refuses(COLD, 2.0 * LATER_MS + 10.0))

    def test_response_from_before_the_cold_time_does_not_end_it(self):
        # Guards against a slow response of a warm server that arrives after
        # the entry that says that it is cold.
        self.limiter.record_entry(COLD, 0.0)
        self.limiter.record_header(COLD, '0', 100.0)
        self.assertEqual(self.count_sends(100.0), 3)
        # Entries are ordered, so the later one counts at once.
        self.limiter.record_entry(WARM, 200.0)
        self.assertFalse(self.limiter.refuses(WARM, 200.0))

    def test_server_that_turns_cold_again_is_limited(self):
        # Guards against a server that counts as warm for good.
        self.limiter.record_header(WARM, '0', 0.0)
        self.assertEqual(self.count_sends(0.0, WARM), 20)
        self.limiter.record_header(WARM, '1000', 10.0)
        self.assertEqual(self.count_sends(10.0, WARM), 3)
        self.assertEqual(self.count_sends(1_100.0, WARM), 20)
        self.limiter.record_entry(COLD, 60_000.0)
        self.set_nodes(60_000.0)
        self.assertEqual(self.count_sends(60_000.0), 3)
        self.limiter.check(63_000.0)
        self.assertEqual(self.count_lines('server_cold'), 2)
        self.assertEqual(self.count_lines('server_warm'), 2)

    def test_server_that_returns_is_presumed_cold_until_it_says_otherwise(
        self,
    ):
        # Guards against a request of each node at once to a server that turned
        # cold without requests, and against a presumption that lasts.
        self.limiter.presume_cold(WARM, 0.0)
        self.assertEqual(self.count_sends(0.0, WARM), 3)
        self.assertEqual(self.limiter.free_ms(WARM, 900.0), WINDOW_MS)
        self.limiter.record_header(WARM, '0', 10.0)
        self.assertFalse(self.limiter.refuses(WARM, 10.0))
        self.limiter.record_entry(COLD, 20.0)
        self.limiter.presume_cold(COLD, 100.0)
        self.assertTrue(self.limiter.refuses(COLD, 1_200.0))
        self.set_rate(0.0)
        self.limiter.presume_cold(WARM._replace(server_id='s2'), 0.0)
        self.limiter.check(0.0)
        self.assertEqual(self.metrics.value('cold_servers'), 0)

    def test_restart_resets_the_cold_time_but_not_the_window(self):
        # Guards against a new process that inherits the state of the last
        # one, also from a response that arrives late.
        self.limiter.record_entry(COLD, 0.0)
        self.assertEqual(self.count_sends(0.0), 3)
        born_again = WARM._replace(born_ms=8)
        self.limiter.record_entry(born_again, 10.0)
        self.assertFalse(self.limiter.refuses(born_again, 10.0))
        cold_again = COLD._replace(born_ms=9)
        self.limiter.record_entry(cold_again, 20.0)
        self.limiter.remove_server('s1')
        self.limiter.record_entry(cold_again, 20.0)
        self.limiter.record_header(COLD, '0', 20.0 + LATER_MS)
        self.limiter.check(20.0 + LATER_MS)
        self.assertTrue(self.limiter.refuses(cold_again, 20.0 + LATER_MS))
        self.assertEqual(self.count_sends(WINDOW_MS), 3)

    def test_values_that_are_not_plausible_change_nothing(self):
        # Guards against crashes, endless cold times and floods of log lines.
        texts = ['-1', 'nan', 'inf', '1e3', '1_000', '١', '', '9' * 400, 'x"y']
        for text in texts:
            self.limiter.record_header(WARM, text, 0.0)
        self.assertEqual(self.count_sends(0.0, WARM), 20)
        count = self.metrics.value('warmup_values_refused', source='header')
        self.assertEqual(count, len(texts))
        self.assertEqual(self.count_lines('warmup_value_refused'), 1)
        self.limiter.record_entry(COLD._replace(warmup_ms=-5.0), 0.0)
        self.assertEqual(self.count_sends(0.0), 20)
        # The server may be cold, for as long as its service specifies.
        self.limiter.record_entry(COLD._replace(warmup_ms=1e300), 10.0)
        self.assertEqual(self.count_sends(10.0), 3)
        self.assertFalse(self.limiter.refuses(COLD, 2_010.0))

    def test_repeated_entry_of_a_complete_read_is_no_news(self):
        # Guards against all servers that count as cold again when the store
        # is read again, and against news that equals the last entry.
        directory = create_server_directory(
            on_record=self.limiter.record_entry
        )
        changes = [ServerChange('s1', COLD)]
        directory.replace_all(changes, 0.0)
        self.assertEqual(self.count_sends(0.0), 3)
        directory.replace_all(changes, 10_000.0)
        self.assertFalse(self.limiter.refuses(COLD, 10_000.0))
        self.set_nodes(10_000.0, ('n0', 'n1'), is_complete=False)
        directory.apply(changes, 10_000.0)
        self.assertTrue(self.limiter.refuses(COLD, 10_000.0))

    def test_share_of_the_load_ramps_up_after_the_cold_time(self):
        # Guards against a server that gets its full load at once, and against
        # one that never does because its entry still says that it is cold.
        self.limiter.record_entry(COLD, 0.0)
        times = (0.0, 3_000.0, 3_000.0 + RAMP_MS / 2.0, 3_000.0 + RAMP_MS)
        shares = [self.limiter.estimate_share(COLD, t) for t in times]
        middle = RAMP_START + (1.0 - RAMP_START) / 2.0
        self.assertEqual(shares, [RAMP_START, RAMP_START, middle, 1.0])
        placement = create_placement(
            'dc-a',
            create_latency_tracker(),
            eligibility=create_server_eligibility((self.limiter,)),
        )
        servers = (COLD, WARM._replace(server_id='s2', data_centre='dc-b'))
        counts = []
        for now_ms in times[1:]:
            chosen = [
                placement.choose_first_server(
                    'portal', servers, DECISION, now_ms
                ).server_id
                for _ in range(400)
            ]
            counts.append(chosen.count('s1'))
        self.assertTrue(10 < counts[0] < 80, counts)
        self.assertTrue(160 < counts[1] < 280, counts)
        self.assertEqual(counts[2], 400)
