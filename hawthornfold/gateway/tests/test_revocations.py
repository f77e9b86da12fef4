import unittest

import logbook

from hawthornfold.clock import create_manual_clock
from hawthornfold.gateway.revocations import LOG_INTERVAL_MS
from hawthornfold.gateway.revocations import RevocationReporter


class RevocationReporterTest(unittest.TestCase):
    def test_log_is_bounded_and_complete_under_load(self):
        # Guards against a log line for each of thousands of responses that a
        # flooding server makes a node give up.
        log = self.enterContext(logbook.TestHandler().applicationbound())
        clock = create_manual_clock()
        counted = []
        reporter = RevocationReporter(
            'responses', clock, lambda: counted.append(1)
        )
        for _ in range(1_000):
            reporter.handle_revocation(5)
        self.assertEqual(len(log.records), 1)
        clock.advance(LOG_INTERVAL_MS)
        reporter.handle_revocation(7)
        self.assertEqual(len(log.records), 2)
        self.assertEqual(
            log.records[1].message,
            'event=read_memory_exhausted reading=responses revoked=1000 '
            'last_bytes=7',
        )
        self.assertEqual(len(counted), 1_001)
