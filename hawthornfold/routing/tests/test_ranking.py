import unittest

from hawthornfold import routing

SLOTS = 4
COLD_MS = 100.0
# A warm server that runs as many requests as wait for it.
BUSY_DEPTH = 2 * SLOTS
# Time without replies after which a server has to be tried again.
RETRY_LIMIT_MS = 5000.0


class ReplicaRankerTest(unittest.TestCase):
    def setUp(self):
        self.ranker = routing.create_replica_ranker(1)

    def record_replies(self, server, service_ms, depth, now_ms, count=30):
        for _ in range(count):
            self.ranker.record_sent(server)
            self.ranker.record_reply(server, service_ms, depth, now_ms)

    def expected_ms(self, server, now_ms):
        return self.ranker.expected_answer_ms(server, SLOTS, now_ms)

    def test_server_is_tried_again_after_slow_replies(self):
        # Guards against a server that was cold, and whose estimate is kept
        # because no request reaches it, beside replicas that have queues.
        self.record_replies('cold', COLD_MS, 0, 0.0)
        self.record_replies('busy', 10.0, BUSY_DEPTH, 0.0)
        self.assertLess(
            self.expected_ms('busy', 0.0), self.expected_ms('cold', 0.0)
        )
        self.record_replies('busy', 10.0, BUSY_DEPTH, RETRY_LIMIT_MS)
        self.assertGreater(
            self.expected_ms('busy', RETRY_LIMIT_MS),
            self.expected_ms('cold', RETRY_LIMIT_MS),
        )

    def test_first_reply_after_a_silence_counts_more(self):
        # Guards against a server that is warm again and gets one request in
        # seconds, because ten replies are needed to correct its estimate.
        self.record_replies('cold', COLD_MS, 0, 0.0)
        self.record_replies('cold', 10.0, 0, RETRY_LIMIT_MS, count=1)
        self.assertLess(self.expected_ms('cold', RETRY_LIMIT_MS), 20.0)

    def test_reported_queue_is_not_kept_without_replies(self):
        # Guards against a server that is avoided because of a queue that it
        # had when its owner last reported.
        self.record_replies('queued', 10.0, 10 * SLOTS, 0.0)
        self.assertGreater(self.expected_ms('queued', 0.0), 100.0)
        self.assertLess(self.expected_ms('queued', RETRY_LIMIT_MS), 20.0)

    def test_unanswered_requests_do_not_age(self):
        # Guards against more and more requests for a server that answers
        # none of them.
        for _ in range(10 * SLOTS):
            self.ranker.record_sent('silent')
        self.assertGreater(self.expected_ms('silent', RETRY_LIMIT_MS), 100.0)

    def test_server_that_is_still_slow_is_avoided_again(self):
        # Guards against a burst of requests for a slow server each time that
        # its estimate has aged.
        self.record_replies('slow', COLD_MS, 0, 0.0)
        self.record_replies('slow', COLD_MS, 0, RETRY_LIMIT_MS, count=1)
        self.assertGreater(self.expected_ms('slow', RETRY_LIMIT_MS), 90.0)

    def test_replies_at_short_intervals_are_averaged(self):
        # Guards against a ranking that follows each single slow reply.
        self.record_replies('steady', 10.0, 0, 0.0)
        self.record_replies('steady', COLD_MS, 0, 10.0, count=1)
        self.assertLess(self.expected_ms('steady', 10.0), 25.0)
