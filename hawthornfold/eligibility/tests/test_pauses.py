"""Pauses that servers request by 503 with Retry-After."""

import email.utils
import math
import unittest

import hypothesis
from hypothesis import strategies
import result

from hawthornfold.directory import ServerRecord
from hawthornfold.eligibility import MAX_PAUSE_MS
from hawthornfold.eligibility import PauseFault
from hawthornfold.eligibility import create_server_eligibility
from hawthornfold.eligibility import create_server_pauses
from hawthornfold.eligibility import parse_retry_after_ms

WALL_MS = 1_796_377_601_000.0


def create_record(server_id='s1', **fields):
    record = ServerRecord(server_id, 'portal', '127.0.0.1:1', 'dc-a', 2)
    return record._replace(**fields)


class RetryAfterTest(unittest.TestCase):
    def test_seconds_with_and_without_fraction(self):
        for text, pause_ms in (
            ('1', 1_000.0),
            ('0.25', 250.0),
            ('.5', 500.0),
            (' 3. ', 3_000.0),
            ('120', 120_000.0),
            ('007', 7_000.0),
        ):
            with self.subTest(text):
                self.assertEqual(
                    parse_retry_after_ms(text, WALL_MS).unwrap(), pause_ms
                )

    def test_dates_are_relative_to_the_wall_clock(self):
        # Guards against a date that is taken for text or for local time.
        for text in (
            email.utils.formatdate(WALL_MS / 1000.0 + 5.0, usegmt=True),
            'Friday, 04-Dec-26 09:46:46 GMT',
            'Fri Dec  4 09:46:46 2026',
        ):
            with self.subTest(text):
                parsed = parse_retry_after_ms(text, WALL_MS)
                self.assertEqual(parsed, result.Ok(5_000.0))

    def test_values_that_request_no_pause(self):
        # Guards against a crash, and against a pause nobody asked for.
        for text, fault in (
            ('', PauseFault.MISSING),
            (' ', PauseFault.MISSING),
            ('0', PauseFault.NO_TIME),
            ('0.000', PauseFault.NO_TIME),
            ('Fri, 04 Dec 2026 09:46:40 GMT', PauseFault.NO_TIME),
            ('-5', PauseFault.INVALID),
            ('+5', PauseFault.INVALID),
            ('nan', PauseFault.INVALID),
            ('inf', PauseFault.INVALID),
            ('1e3', PauseFault.INVALID),
            ('5 s', PauseFault.INVALID),
            ('1, 2', PauseFault.INVALID),
            ('\xb2', PauseFault.INVALID),
            ('soon', PauseFault.INVALID),
            ('Fri, 99 Dec 2026 99:99:99 GMT', PauseFault.INVALID),
            ('Fri, 04 Dec 99999999999999 09:46:41 GMT', PauseFault.INVALID),
            ('9' * 100_000, PauseFault.INVALID),
        ):
            with self.subTest(text[:40]):
                self.assertEqual(
                    parse_retry_after_ms(text, WALL_MS), result.Err(fault)
                )

    @hypothesis.given(
        strategies.text(strategies.characters(max_codepoint=255))
    )
    def test_no_text_raises_an_error(self, text):
        # Guards against a header that ends a request with an internal error.
        parsed = parse_retry_after_ms(text, WALL_MS)
        if parsed.is_ok():
            self.assertGreater(parsed.unwrap(), 0.0)

    @hypothesis.given(
        strategies.sampled_from(('Fri, ', '')),
        strategies.from_regex(r'[0-9]{1,9} Dec [0-9]{1,9} ', fullmatch=True),
        strategies.from_regex(r'[0-9:+-]{0,12}( [+-]?[0-9]{1,20})?'),
    )
    def test_no_date_raises_an_error(self, day, date, time):
        # Guards against the same by numbers that no date has.
        parse_retry_after_ms(day + date + time, WALL_MS)


class ServerPausesTest(unittest.TestCase):
    def setUp(self):
        self.pauses = create_server_pauses()

    def test_server_is_refused_until_the_end_of_its_pause(self):
        # Guards against requests in the pause, and to other servers that are
        # refused as well.
        record = create_record()
        self.pauses.record_pause(record, 800.0, 100.0)
        self.assertTrue(self.pauses.refuses(record, 100.0))
        self.assertTrue(self.pauses.refuses(record, 899.9))
        self.assertFalse(self.pauses.refuses(record, 900.0))
        self.assertFalse(self.pauses.refuses(create_record('s2'), 100.0))
        self.assertEqual(self.pauses.take_ended(899.0), [])
        self.assertEqual(self.pauses.take_ended(900.0), [record])
        self.assertEqual(self.pauses.count, 0)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 2_000.0), strategies.floats(0.1, 1e7)
            ),
            min_size=1,
        )
    )
    def test_latest_end_of_all_requests_counts(self, requests):
        # Guards against a short pause, in a response that was on its way,
        # that ends a longer one.
        pauses, record = create_server_pauses(), create_record()
        end_ms, now_ms = -math.inf, 0.0
        for delay_ms, pause_ms in requests:
            now_ms += delay_ms
            pauses.record_pause(record, pause_ms, now_ms)
            end_ms = max(end_ms, now_ms + min(pause_ms, MAX_PAUSE_MS))
            self.assertEqual(pauses.free_ms(record, now_ms), end_ms)

    def test_long_pause_is_capped_and_not_shorter_than_the_cap(self):
        # Guards against a server that one faulty value takes out of use for
        # good, and against one that is used within a pause it wants.
        record = create_record()
        self.pauses.record_pause(record, math.inf, 0.0)
        self.assertTrue(self.pauses.refuses(record, MAX_PAUSE_MS - 1.0))
        self.assertFalse(self.pauses.refuses(record, MAX_PAUSE_MS))

    def test_restart_and_removal_end_a_pause(self):
        # Guards against a new process that inherits a pause.
        record = create_record(born_ms=5)
        self.pauses.record_pause(record, 800.0, 0.0)
        self.assertFalse(self.pauses.refuses(create_record(born_ms=6), 1.0))
        self.assertTrue(self.pauses.refuses(record, 1.0))
        self.pauses.remove_server('s1')
        self.assertFalse(self.pauses.refuses(record, 1.0))

    def test_pause_of_a_later_start_does_not_keep_the_earlier_end(self):
        self.pauses.record_pause(create_record(born_ms=5), 9_000.0, 0.0)
        restarted = create_record(born_ms=6)
        self.pauses.record_pause(restarted, 100.0, 10.0)
        self.assertEqual(self.pauses.free_ms(restarted, 10.0), 110.0)

    def test_eligibility_states_when_a_server_is_free(self):
        # Guards against a caller's Retry-After that is not the pause's end.
        eligibility = create_server_eligibility((self.pauses,))
        record = create_record()
        self.pauses.record_pause(record, 800.0, 100.0)
        self.assertEqual(eligibility.free_ms(record, 200.0), 900.0)
        self.assertEqual(eligibility.free_ms(create_record('s2'), 2.0), 2.0)
