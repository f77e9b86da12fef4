"""Memory that a request holds of complete but large responses."""

import random
import tracemalloc

from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import RecordMerger
from hawthornfold.gathering import ServerResponse
from hawthornfold.gathering import Verdict
from hawthornfold.gathering.tests.test_execution import ExecutionTestCase
from hawthornfold.rules import Gather

SIZE_BYTES = 1 << 20
PARTS = 8


class LargeBodiesTest(ExecutionTestCase):
    def answer(self, kind, status, **fields):
        """Answer all parts; return the memory held afterwards, in bytes."""
        execution = self.create(shards=PARTS, **fields)
        sends = execution.start(0.0)
        tracemalloc.start()
        try:
            for send in sends:
                body = bytes([send.part]) * SIZE_BYTES
                response = ServerResponse(status, (), body, 's')
                outcome = ExchangeOutcome(kind, response)
                execution.handle_outcome(send.attempt, outcome, 1.0)
                del body, response, outcome
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    def test_merged_bodies_are_not_kept(self):
        # Guards against a query of 100 parts that holds as many bodies of the
        # maximum size until it ends.
        held = self.answer(
            OutcomeKind.ANSWERED, 200, gather=Gather(('s',), 10)
        )
        self.assertLess(held, SIZE_BYTES)
        self.assertIs(self.execution.determine_verdict(1.0), Verdict.COMPLETE)
        records = self.execution.collected.merged_records
        self.assertEqual(records, bytes([PARTS - 1]) * 160)

    def test_failure_bodies_of_several_parts_are_not_kept(self):
        held = self.answer(
            OutcomeKind.FAILED, 500, gather=Gather(('s',), 10), max_servers=1
        )
        self.assertLess(held, SIZE_BYTES)

    def test_body_of_a_forwarded_request_is_kept_whole(self):
        execution = self.create(shards=1)
        (send,) = execution.start(0.0)
        response = ServerResponse(200, (), bytes(SIZE_BYTES), 's')
        execution.handle_outcome(
            send.attempt, ExchangeOutcome(OutcomeKind.ANSWERED, response), 1.0
        )
        self.assertEqual(execution.collected.answers, [response])

    def test_large_body_is_merged_within_bounded_memory(self):
        # Guards against an object for each record of a body of 6 MB.
        body = random.Random(1).randbytes(SIZE_BYTES + 3)
        expected = sorted(
            (body[n : n + 16] for n in range(0, SIZE_BYTES, 16)), reverse=True
        )
        merger = RecordMerger(50)
        tracemalloc.start()
        try:
            merger.add(body)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertEqual(merger.merged, b''.join(expected[:50]))
        self.assertLess(peak, SIZE_BYTES)
