import unittest

from hawthornfold import audit
from hawthornfold import clock
from hawthornfold.audit import journal as journals


class RequestJournalTest(unittest.TestCase):
    def test_memory_is_bounded_by_events(self):
        # Guards against hundreds of megabytes at 650 shards a query.
        journal = audit.create_request_journal(clock.create_manual_clock())
        for number in range(300):
            journal.open(f'r{number}')
            for _ in range(2000):
                journal.add(f'r{number}', 'answer', 's')
        held = [journal.events(f'r{number}') for number in range(300)]
        total = sum(len(events) for events in held if events)
        limit = journals.MAX_TOTAL_EVENTS + journals.MAX_EVENTS
        self.assertLessEqual(total, limit)
        self.assertIsNotNone(held[-1])
        self.assertIsNone(held[0])

    def test_a_repeated_id_starts_a_new_record(self):
        # Guards against a count of events that drifts when a ticket is
        # used again after its request did not run.
        journal = audit.create_request_journal(clock.create_manual_clock(), 1)
        for _ in range(3):
            journal.open('r')
            journal.add('r', 'send', 's')
        self.assertEqual(1, len(journal.events('r')))
        journal.open('other')
        self.assertIsNone(journal.events('r'))
