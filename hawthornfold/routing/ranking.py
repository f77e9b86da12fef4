"""Ranks the replicas of a shard by what this node has measured.

The estimate for a server is the time until it would answer one more request:
the queue its owner reported last, plus what this node has sent since, in
units of the measured service time. Load that servers report themselves is
not used: it lags and may be wrong.
"""

import random

# Weight of a new latency sample; about the last 10 samples count.
SMOOTHING = 0.1
INITIAL_SERVICE_MS = 10.0
# A refusal is tried again after this long; the owner answers the try itself
# while the server still drains, so no work reaches the server.
REFUSAL_EXCLUSION_MS = 1000.0


class _ServerEstimate:
    """Mutable estimate of one server; one exists per server in use."""

    __slots__ = (
        'depth',
        'excluded_until_ms',
        'sent_since_report',
        'service_ms',
    )

    def __init__(self):
        self.service_ms = INITIAL_SERVICE_MS
        self.depth = 0
        self.sent_since_report = 0
        self.excluded_until_ms = 0.0


class ReplicaRanker:
    """Orders the replicas of a shard, best first."""

    def __init__(self, generator):
        self._generator = generator
        self._estimates = {}

    def is_excluded(self, server, now_ms):
        """Return whether `server` refused work a moment ago."""
        estimate = self._estimates.get(server)
        return estimate is not None and estimate.excluded_until_ms > now_ms

    def expected_answer_ms(self, server, slots):
        """Return the estimated time until `server` answers a new request."""
        estimate = self._estimates.get(server)
        if estimate is None:
            return INITIAL_SERVICE_MS
        waiting = estimate.depth + estimate.sent_since_report
        return estimate.service_ms * (1.0 + waiting / slots)

    def score(self, name, server):
        """Return the sort key of a `BackendServer`, lower is better.

        The random factor keeps nodes with equal estimates from all choosing
        the same replica at the same moment.
        """
        jitter = 0.95 + 0.1 * self._generator.random()
        return self.expected_answer_ms(name, server.slots) * jitter

    def record_sent(self, server):
        """Count a request sent to `server` since its last report."""
        self._get_or_create(server).sent_since_report += 1

    def record_reply(self, server, service_ms, depth):
        """Take over the owner's report: service time and queue depth."""
        estimate = self._get_or_create(server)
        estimate.depth = depth
        estimate.sent_since_report = max(0, estimate.sent_since_report - 1)
        if service_ms > 0:
            estimate.service_ms += SMOOTHING * (
                service_ms - estimate.service_ms
            )

    def record_refusal(self, server, now_ms):
        """Prefer other replicas for a while after a refusal."""
        estimate = self._get_or_create(server)
        estimate.sent_since_report = max(0, estimate.sent_since_report - 1)
        estimate.excluded_until_ms = now_ms + REFUSAL_EXCLUSION_MS

    def record_failure(self, server):
        """Account for a request that got no reply."""
        estimate = self._get_or_create(server)
        estimate.sent_since_report = max(0, estimate.sent_since_report - 1)

    def _get_or_create(self, server):
        estimate = self._estimates.get(server)
        if estimate is None:
            estimate = _ServerEstimate()
            self._estimates[server] = estimate
        return estimate


def create_replica_ranker(seed=None):
    """Create a ranker; `seed` makes its tie-breaks repeatable."""
    return ReplicaRanker(random.Random(seed))
