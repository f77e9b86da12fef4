"""Evidence against requests, as nodes collect and join it."""

import unittest

import hypothesis
from hypothesis import strategies as st

from hawthornfold.quarantine import EndedServer
from hawthornfold.quarantine import SuspectReport
from hawthornfold.quarantine import SuspectState
from hawthornfold.quarantine import create_suspect_table
from hawthornfold.quarantine.suspects import MIN_ENDS
from hawthornfold.quarantine.suspects import QUARANTINE_MS
from hawthornfold.quarantine.suspects import SUSPECT_LIFETIME_MS
from hawthornfold.quarantine.table import MAX_ENTRIES

NAME = 32 * 'a'
CLEAR, SUSPECT, QUARANTINED = SuspectState


def create_name(number):
    return f'{number:032x}'


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = create_suspect_table('n1')
        self.other = create_suspect_table('n2')

    def end(self, server, proof='', now_ms=100.0, table=None, name=NAME):
        return (table or self.table).record_end(
            name, EndedServer(server, 1), 'a', 'rule', proof, now_ms
        )

    def quarantine(self, table=None, now_ms=100.0):
        for number in range(MIN_ENDS):
            self.end(f's{number}', f'r{number}', now_ms, table)

    def get_state(self, now_ms=100.0):
        return self.table.get_state(NAME, now_ms)

    def test_request_beside_many_ends_is_only_a_suspect(self):
        # Guards against a query over many shards that is refused because all
        # of its servers ended under another one.
        for number in range(20):
            self.end(f's{number}')
        self.end('s9', 'r9')
        self.assertIs(self.get_state(), SUSPECT)

    def test_proofs_and_ends_together_quarantine_for_a_time(self):
        self.end('s1')
        self.end('s2', 'r2')
        self.assertIs(self.get_state(), SUSPECT)
        change = self.end('s3', 'r3')
        self.assertTrue(change.has_new_state)
        self.assertIs(self.get_state(), QUARANTINED)
        self.assertIs(self.get_state(99.0 + QUARANTINE_MS), QUARANTINED)
        # Then it is tested again, and one more end is enough.
        later_ms = 101.0 + QUARANTINE_MS
        self.assertIs(self.get_state(later_ms), SUSPECT)
        self.end('s4', 'r4', later_ms)
        self.assertIs(self.get_state(later_ms + 1.0), QUARANTINED)

    def test_answer_of_the_same_service_clears_a_suspect(self):
        # Guards against a popular request that is refused in the end because
        # servers end under it now and then, for other reasons.
        for number in range(10):
            self.end(f's{number}', f'r{number}', 100.0 + number)
            self.assertIsNone(
                self.table.record_answer(NAME, ['b'], 100.5 + number)
            )
            self.assertIsNotNone(
                self.table.record_answer(NAME, ['a', 'b'], 100.5 + number)
            )
        self.assertIs(self.get_state(200.0), CLEAR)

    def test_entries_expire(self):
        self.end('s1')
        self.table.expire(100.0 + SUSPECT_LIFETIME_MS - 1.0)
        self.assertEqual(self.table.count, 1)
        expired = self.table.expire(100.0 + SUSPECT_LIFETIME_MS)
        self.assertEqual([report.fingerprint for report in expired], [NAME])
        self.assertEqual(self.table.count, 0)

    def test_memory_is_bounded_and_quarantined_requests_stay(self):
        # Guards against a storm of suspects that lets the cause through.
        self.quarantine()
        for number in range(2 * MAX_ENTRIES):
            self.end('s1', '', 200.0 + number, name=create_name(number))
            self.table.record_answer(create_name(number), ['a'], 1e4)
            self.end('s1', '', 2e4 + number, name=create_name(number))
        self.assertLessEqual(self.table.count, MAX_ENTRIES)
        self.assertIs(self.get_state(), QUARANTINED)

    def test_older_report_does_not_undo_a_clearing(self):
        self.end('s1', table=self.other)
        (old,) = self.other.create_reports(9, 150.0)
        self.table.apply_report(old, 150.0)
        self.table.record_answer(NAME, ['a'], 160.0)
        self.assertIsNone(
            self.table.apply_report(old._replace(age_ms=70), 170.0)
        )
        self.assertIs(self.get_state(170.0), CLEAR)

    def test_answer_elsewhere_does_not_end_a_quarantine_but_operators_do(self):
        # Guards against a node with a late answer that lets the request out.
        self.quarantine()
        self.end('s1', table=self.other)
        cleared = self.other.record_answer(NAME, ['a'], 300.0).report
        self.assertIsNone(self.table.apply_report(cleared, 300.0))
        self.assertIs(self.get_state(300.0), QUARANTINED)
        self.quarantine(self.other, 350.0)
        (stale,) = self.other.create_reports(9, 390.0)
        lifted = self.table.lift(NAME, 400.0).report
        self.assertTrue(self.other.apply_report(lifted, 400.0).has_new_state)
        self.assertEqual(self.other.count, 0)
        # A report from before, as another node may still send it.
        self.table.apply_report(stale._replace(age_ms=60), 410.0)
        self.assertIs(self.get_state(410.0), CLEAR)

    def test_malformed_reports_are_refused(self):
        good = SuspectReport(NAME, 'suspect', 0, origin='n2')
        for changes in (
            {'fingerprint': 'x'},
            {'fingerprint': 32 * 'A'},
            {'state': 'unknown'},
            {'age_ms': -1},
            {'quarantine_ms': -1},
            {'origin': 'n' * 9_000},
            {'proofs': ('r',) * 9_000},
            {'ends': (EndedServer('s' * 9_000, 1),)},
        ):
            with self.subTest(changes.keys()):
                with self.assertRaises(ValueError):
                    self.table.apply_report(good._replace(**changes), 1.0)
        self.assertEqual(self.table.count, 0)
        far = good._replace(quarantine_ms=2**62)
        self.table.apply_report(far, 100.0)
        self.assertIs(self.get_state(101.0 + QUARANTINE_MS), SUSPECT)

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(('s1', 's2', 's3', 's4')),
                st.sampled_from(('', 'r1', 'r2', 'r3')),
                st.integers(0, 1),
            ),
            max_size=8,
        ),
        st.permutations(range(8)),
    )
    def test_nodes_agree_whatever_the_order_of_their_reports(
        self, evidence, order
    ):
        # Guards against nodes of which one sends what the other refuses.
        tables = [create_suspect_table('n1'), create_suspect_table('n2')]
        reports = []
        for server, proof, number in evidence:
            change = self.end(server, proof, table=tables[number])
            if change is not None:
                reports.append((1 - number, change.report))
        for index in order:
            if index < len(reports):
                number, report = reports[index]
                tables[number].apply_report(report, 100.0)
        for _ in range(2):
            for number, table in enumerate(tables):
                for report in table.create_reports(9, 100.0):
                    tables[1 - number].apply_report(report, 100.0)
        states = {table.get_state(NAME, 100.0) for table in tables}
        self.assertEqual(len(states), 1)
        ends = {server for server, _, _ in evidence}
        proofs = {proof for _, proof, _ in evidence if proof}
        self.assertEqual(
            states == {QUARANTINED}, len(ends) >= 3 and len(proofs) >= 2
        )
