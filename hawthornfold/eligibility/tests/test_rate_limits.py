"""Rate limits that servers name: values, lifetimes and shares."""

import random
import unittest

import hypothesis
from hypothesis import strategies
import result

from hawthornfold.directory import ServerRecord
from hawthornfold.eligibility import RateLimitFault
from hawthornfold.eligibility import create_rate_limit_register
from hawthornfold.eligibility import create_rate_limiter
from hawthornfold.eligibility import parse_rate_limit
from hawthornfold.eligibility.demand import REPEAT_CLASS
from hawthornfold.eligibility.messages import DemandTotals
from hawthornfold.eligibility.messages import ServerDemand
from hawthornfold.eligibility.rate_limiter import MIN_LIMIT_PER_S
from hawthornfold.eligibility.rate_limiter import RateAdmission
from hawthornfold.eligibility.rate_limits import LIFETIME_MS
from hawthornfold.metrics import create_metrics

RECORD = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2, born_ms=5)


class ValueTest(unittest.TestCase):
    def test_decimal_numbers_and_repeated_headers(self):
        for text, rate in (
            ('11.25', 11.25),
            ('0', 0.0),
            ('.5', 0.5),
            (' 7. ', 7.0),
            ('12, 9.5 ,30', 9.5),
            ('9' * 100, float('9' * 100)),
        ):
            with self.subTest(text):
                self.assertEqual(parse_rate_limit(text), result.Ok(rate))

    def test_values_that_name_no_limit(self):
        # Guards against a crash, and against a server that gets nothing for
        # good or is not limited at all.
        for text, fault in (
            ('', RateLimitFault.EMPTY),
            ('5,', RateLimitFault.EMPTY),
            ('-1', RateLimitFault.INVALID),
            ('nan', RateLimitFault.INVALID),
            ('inf', RateLimitFault.INVALID),
            ('1e300', RateLimitFault.INVALID),
            ('1e300, 5', RateLimitFault.INVALID),
            ('٣', RateLimitFault.INVALID),
            ('9' * 1_024, RateLimitFault.TOO_LONG),
        ):
            with self.subTest(text[:9]):
                self.assertEqual(parse_rate_limit(text), result.Err(fault))

    @hypothesis.given(strategies.text(max_size=40))
    def test_any_text_gives_a_finite_rate_or_a_fault(self, text):
        parsed = parse_rate_limit(text)
        if isinstance(parsed, result.Ok):
            self.assertTrue(0.0 <= parsed.ok_value < 1e40)


class RegisterTest(unittest.TestCase):
    def setUp(self):
        self.register = create_rate_limit_register()
        self.register.record_limit(RECORD, 11.0, 1_000.0)

    def test_older_response_does_not_end_a_limit(self):
        # Guards against responses that overtake each other.
        self.assertFalse(self.register.record_absence(RECORD, 999.0))
        self.assertTrue(self.register.record_absence(RECORD, 1_001.0))
        self.assertIsNone(self.register.get('s1'))

    def test_limit_belongs_to_one_start_of_the_server(self):
        # Guards against a late response of the process before.
        restarted = RECORD._replace(born_ms=6)
        self.register.record_limit(restarted, 4.0, 2_000.0)
        self.register.record_limit(RECORD, 11.0, 2_001.0)
        self.assertFalse(self.register.record_absence(RECORD, 2_001.0))
        self.assertEqual(self.register.get('s1').per_s, 4.0)
        self.assertEqual(self.register.get('s1').since_ms, 2_000.0)

    def test_limit_that_nobody_names_again_expires(self):
        # Guards against a limit that stays after all its evidence.
        self.assertEqual(self.register.take_expired(1_000.0 + LIFETIME_MS), [])
        expired = self.register.take_expired(1_001.0 + LIFETIME_MS)
        self.assertEqual(expired, [RECORD])
        self.assertEqual(self.register.count, 0)


class LimiterTest(unittest.TestCase):
    def create_limiter(self, per_s, node_count=1, seed=1):
        register = create_rate_limit_register()
        register.record_limit(RECORD, per_s, 0.0)
        limiter = create_rate_limiter(
            register, create_metrics(), random.Random(seed)
        )
        limiter.set_nodes(node_count, node_count)
        return limiter

    def send(self, limiter, now_ms, demand_class=0):
        admission = RateAdmission(
            limiter, demand_class, limiter.draw_place(demand_class)
        )
        return admission.admits(RECORD, now_ms)

    def set_totals(self, limiter, now_ms, *demand):
        rates = tuple(int(x * 1_000) for x in demand)
        server = ServerDemand('s1', 5, 11_000, 0, rates)
        limiter.apply_totals('n1', DemandTotals(60_000, (server,)), now_ms)

    def test_limit_holds_and_is_used_with_7200_nodes(self):
        # Guards against a part of less than one request a node that is lost,
        # or that each node rounds up. 45 requests a second want the server.
        rng = random.Random(1)
        nodes = [self.create_limiter(11.0, 7_200, seed) for seed in range(720)]
        for node in nodes:
            self.set_totals(node, 0.0, 45.0, 0.0, 0.0, 0.0)
        taken = [
            now_ms
            for now_ms in range(0, 40_000, 22)
            if self.send(rng.choice(nodes), float(now_ms))
        ]
        windows = [
            sum(start <= x < start + 4_000 for x in taken) for start in taken
        ]
        self.assertLessEqual(max(windows), 1.5 * 11.0 * 4.0 + 5.0)
        self.assertGreaterEqual(len(taken), 0.8 * 11.0 * 40.0)

    def test_repeats_get_only_what_first_attempts_leave(self):
        # Guards against hedges that use up a limit.
        limiter = self.create_limiter(11.0)
        self.set_totals(limiter, 0.0, 20.0, 0.0, 0.0, 5.0)
        self.assertFalse(
            any(self.send(limiter, float(x), REPEAT_CLASS) for x in range(50))
        )
        self.set_totals(limiter, 100.0, 2.0, 0.0, 0.0, 5.0)
        self.assertTrue(self.send(limiter, 100.0, REPEAT_CLASS))

    def test_server_with_limit_zero_still_gets_a_request(self):
        # Guards against a server that can't announce the end of its limit.
        limiter = self.create_limiter(0.0)
        sent = [
            now_ms
            for now_ms in range(0, 20_000, 20)
            if self.send(limiter, float(now_ms))
        ]
        self.assertGreater(len(sent), 2)
        self.assertLessEqual(len(sent), 20.0 * MIN_LIMIT_PER_S + 5.0)

    def test_totals_of_another_start_or_with_odd_values_are_harmless(self):
        limiter = self.create_limiter(11.0)
        for demand in (
            ServerDemand('s1', 4, 1_000, 0, (1_000_000,) * 4),
            ServerDemand('s1', 5, -1, -(10**9), (-5,)),
            ServerDemand('s9', 5, 1_000, 0, ()),
            ServerDemand('s1', 5, 2**60, 10**15, (0,) * 40),
        ):
            limiter.apply_totals('n1', DemandTotals(-1, (demand,)), 10.0)
        self.assertIn(self.send(limiter, 20.0), (True, False))
        self.assertTrue(limiter.is_limited('s1'))

    def test_limit_that_another_node_heard_later_applies(self):
        # Guards against a node that keeps an old value because it rarely
        # sends to the server.
        limiter = self.create_limiter(11.0)
        demand = ServerDemand('s1', 5, 3_000, 5, (9_000, 0, 0, 0))
        limiter.apply_totals('n1', DemandTotals(250, (demand,)), 1_000.0)
        sent = sum(self.send(limiter, 1_000.0 + x) for x in range(0, 700, 10))
        self.assertLessEqual(sent, 0.35 * 70)

    def test_node_with_many_limited_servers_reports_in_turns(self):
        # Guards against messages that grow with the number of servers.
        limiter = self.create_limiter(11.0)
        register = limiter._register
        for number in range(40):
            record = RECORD._replace(server_id=f'x{number}')
            register.record_limit(record, 5.0, 0.0)
            limiter.record_demand(record, 0, 1.0)
        seen = set()
        for now_ms in (2.0, 3.0, 4.0, 5.0, 6.0):
            turns, reports = limiter.create_reports(now_ms)
            self.assertEqual(turns, 5)
            seen.update(demand.server_id for _, demand in reports)
        self.assertEqual(len(seen), 40)
