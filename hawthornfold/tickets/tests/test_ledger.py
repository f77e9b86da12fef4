import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hawthornfold import tickets
from hawthornfold.tickets import AdmissionKind

EVENT = strategies.tuples(
    strategies.sampled_from(['issue', 'begin', 'finish', 'release', 'wait']),
    strategies.integers(1, 12),
    strategies.integers(0, 400),
)


class TicketLedgerTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(strategies.lists(EVENT, max_size=80))
    def test_a_ticket_never_starts_twice(self, events):
        # Guards against a payout that runs twice after entries expired or
        # answers were removed between two requests with the same ticket.
        ledger = tickets.create_ticket_ledger(
            lifetime_ms=500.0, max_entries=4, max_answer_bytes=10
        )
        now_ms = 0.0
        issued = 0
        running, used = set(), set()
        for name, counter, delay_ms in events:
            if name == 'issue':
                issued += 1
                ledger.record_issue(issued, now_ms)
            elif name == 'begin' and counter <= issued:
                admission = ledger.claim(counter, b'f', now_ms)
                if admission.kind is AdmissionKind.START:
                    self.assertNotIn(counter, used)
                    used.add(counter)
                    running.add(counter)
            elif name == 'finish' and counter in running:
                running.remove(counter)
                ledger.record_answer(counter, f'answer {counter}', size=6)
            elif name == 'release' and counter in running:
                running.remove(counter)
                used.remove(counter)
                ledger.release(counter)
            elif name == 'wait':
                now_ms += delay_ms
            self.assertLessEqual(ledger.size, 4)
            self.assertLessEqual(ledger.answer_bytes, 10)

    def test_conflict_replay_and_expiry(self):
        # Guards against two requests that use one ticket, and against an
        # expired ticket that is treated as unused.
        ledger = tickets.create_ticket_ledger(lifetime_ms=5000.0)
        ledger.record_issue(1, 0.0)
        ledger.record_issue(2, 2000.0)
        ledger.claim(1, b'f', 10.0)
        self.assertIs(
            AdmissionKind.IN_PROGRESS, ledger.claim(1, b'f', 20.0).kind
        )
        ledger.record_answer(1, 'paid', size=4)
        self.assertIs(AdmissionKind.CONFLICT, ledger.claim(1, b'g', 30.0).kind)
        self.assertEqual('paid', ledger.claim(1, b'f', 40.0).answer)
        self.assertIs(
            AdmissionKind.EXPIRED, ledger.claim(1, b'f', 20_000.0).kind
        )
        self.assertEqual(0, ledger.size)

    def test_only_valid_tickets_are_parsed(self):
        # Guards against forged tickets that name any node.
        issuer = tickets.create_ticket_issuer('n1', '7', b'secret')
        other = tickets.create_ticket_issuer('n1', '7', b'different')
        text = issuer.issue().text
        self.assertIsNotNone(issuer.parse(text))
        self.assertIsNone(other.parse(text))
        for damaged in (
            '',
            '~~~',
            text.replace('n1', 'n2'),
            text + 'x',
            'é',
            'n~1~²~x',
        ):
            self.assertIsNone(issuer.parse(damaged))
