import os
import unittest

import logbook

from hawthornfold.clock import create_manual_clock
from hawthornfold.logs.writer import LINES_PER_SECOND
from hawthornfold.logs.writer import MAX_PENDING
from hawthornfold.logs.writer import create_bounded_handler

LOG = logbook.Logger('test')


class WriterTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.clock = create_manual_clock()
        self.handler = create_bounded_handler(
            self.writer, logbook.INFO, self.clock, '{record.message}'
        )

    def read(self):
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []

    def log(self, count, write=LOG.info):
        with self.handler.applicationbound():
            for number in range(count):
                write('line {}', number)

    def test_lines_of_a_second_are_bounded_and_the_rest_is_counted(self):
        self.addCleanup(os.close, self.writer)
        self.log(3 * LINES_PER_SECOND)
        lines = self.read()
        self.assertLessEqual(len(lines), LINES_PER_SECOND)
        self.clock.advance(1_000)
        self.log(1)
        dropped = 3 * LINES_PER_SECOND - len(lines)
        self.assertEqual(self.read(), [f'line 0 dropped_lines={dropped}'])

    def test_lines_of_requests_do_not_displace_state_changes(self):
        # Guards against a stop that is not logged because lines about
        # requests have used up the bound.
        self.addCleanup(os.close, self.writer)
        self.log(3 * LINES_PER_SECOND)
        self.read()
        self.log(1, LOG.notice)
        self.assertEqual(len(self.read()), 1)

    def test_stalled_reader_does_not_block_the_node(self):
        # Guards against a node that hangs because its log is not read.
        self.addCleanup(os.close, self.writer)
        for _ in range(40):
            self.clock.advance(1_000)
            self.log(LINES_PER_SECOND, LOG.warning)
        self.assertGreater(self.handler.dropped, 0)
        count = 0
        while lines := self.read():
            count += len(lines)
            self.handler.flush()
        self.assertGreaterEqual(count, MAX_PENDING)

    def test_closed_reader_raises_no_error(self):
        os.close(self.writer)
        self.log(2)
        self.assertEqual(self.handler.dropped, 1)

    def test_line_breaks_do_not_forge_lines(self):
        # Guards against a request id with a line break that forges a line.
        self.addCleanup(os.close, self.writer)
        with self.handler.applicationbound():
            LOG.info('request={}', 'a\nevent=forged')
        self.assertEqual(len(self.read()), 1)
