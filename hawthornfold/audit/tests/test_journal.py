import unittest

from hawthornfold import audit
from hawthornfold import clock
from hawthornfold.audit import journal as journals


class RequestJournalTest(unittest.TestCase):
    def test_memory_is_bounded_by_events(self):
        # Guards against a journal of hundreds of megabytes when queries ask
        # 650 shards each.
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
        # Guards against a wrong total of events when a request id is opened
        # again, as when a ticket is reused after its request did not run.
        journal = audit.create_request_journal(clock.create_manual_clock(), 1)
        for _ in range(3):
            journal.open('r')
            journal.add('r', 'send', 's')
        self.assertEqual(1, len(journal.events('r')))
        journal.open('other')
        self.assertIsNone(journal.events('r'))
