"""Ranks the replicas of a shard by their estimated answer time.

The estimate for a server is the time until it would answer one more request.
It follows from the smoothed service time, the number of slots, the queue depth
that the owner reported last, and the requests that this node has sent since.
Without replies it approaches that of an idle, unknown server: a server that
was cold gets no requests, so that no reply would ever correct its estimate.
The load that servers report about themselves is not used: it lags and may be
wrong.
"""

import random

# Weight of a new service time in the moving average, which covers about the
# last 10 samples.
SMOOTHING = 0.1
INITIAL_SERVICE_MS = 10.0
# Time without replies in which an estimate loses half of its weight. After
# 3.2 s a replica that took 100 ms is tried before one that is estimated at
# 20 ms.
ESTIMATE_HALF_LIFE_MS = 1000.0
# How long a server that refused work ranks behind other replicas. When it is
# tried again while it still drains, its owner refuses the attempt without
# sending it to the server.
REFUSAL_DEMOTION_MS = 1000.0


class _ServerEstimate:
    """Mutable load estimate of one server that is in use."""

    __slots__ = (
        'depth',
        'demoted_until_ms',
        'replied_ms',
        'sent_since_report',
        'service_ms',
    )

    def __init__(self):
        self.service_ms = INITIAL_SERVICE_MS
        self.depth = 0
        self.sent_since_report = 0
        self.demoted_until_ms = 0.0
        self.replied_ms = 0.0

    def weight(self, now_ms):
        """Return the share of the estimate that still counts, 0 to 1."""
        silence_ms = max(0.0, now_ms - self.replied_ms)
        return 0.5 ** (silence_ms / ESTIMATE_HALF_LIFE_MS)


class ReplicaRanker:
    """Orders the replicas of a shard, best first."""

    def __init__(self, generator):
        self._generator = generator
        self._estimates = {}

    def is_demoted(self, server, now_ms):
        """Return whether `server` ranks last after a recent refusal."""
        estimate = self._estimates.get(server)
        return estimate is not None and estimate.demoted_until_ms > now_ms

    def expected_answer_ms(self, server, slots, now_ms):
        """Return the estimated time in ms until a new request is answered.

        Parameters
        ----------
        server : str
            Name of the server.
        slots : int
            Requests that it runs at the same time.
        now_ms : float
            Current time in ms.
        """
        estimate = self._estimates.get(server)
        if estimate is None:
            return INITIAL_SERVICE_MS
        weight = estimate.weight(now_ms)
        service_ms = INITIAL_SERVICE_MS + weight * (
            estimate.service_ms - INITIAL_SERVICE_MS
        )
        # Requests without a reply still run, or the server does not answer.
        waiting = weight * estimate.depth + estimate.sent_since_report
        return service_ms * (1.0 + waiting / slots)

    def score(self, name, server, now_ms):
        """Return the sort key of a `BackendServer`; lower is better.

        The random factor prevents nodes with equal estimates from choosing
        the same replica at the same time.
        """
        jitter = 0.95 + 0.1 * self._generator.random()
        return self.expected_answer_ms(name, server.slots, now_ms) * jitter

    def record_sent(self, server):
        """Count a request sent to `server` since its owner's last report."""
        self._get_or_create(server).sent_since_report += 1

    def record_reply(self, server, service_ms, depth, now_ms):
        """Update the estimate from the owner's report.

        Parameters
        ----------
        server : str
            Name of the server.
        service_ms : float
            Time of the exchange in ms; 0 is not averaged.
        depth : int
            Sub-requests that wait or run at the owner for this server.
        now_ms : float
            Current time in ms.
        """
        estimate = self._get_or_create(server)
        # After a silence the new sample counts more than older ones.
        sample_weight = max(SMOOTHING, 1.0 - estimate.weight(now_ms))
        estimate.depth = depth
        estimate.sent_since_report = max(0, estimate.sent_since_report - 1)
        estimate.replied_ms = now_ms
        if service_ms > 0:
            estimate.service_ms += sample_weight * (
                service_ms - estimate.service_ms
            )

    def record_refusal(self, server, now_ms):
        """Rank the server behind other replicas for `REFUSAL_DEMOTION_MS`."""
        estimate = self._get_or_create(server)
        estimate.sent_since_report = max(0, estimate.sent_since_report - 1)
        estimate.demoted_until_ms = now_ms + REFUSAL_DEMOTION_MS

    def record_failure(self, server):
        """Stop counting a request that ended without answer or refusal."""
        estimate = self._get_or_create(server)
        estimate.sent_since_report = max(0, estimate.sent_since_report - 1)

    def _get_or_create(self, server):
        estimate = self._estimates.get(server)
        if estimate is None:
            estimate = _ServerEstimate()
            self._estimates[server] = estimate
        return estimate


def create_replica_ranker(seed=None):
    """Create a ranker; `seed` makes its random factors reproducible."""
    return ReplicaRanker(random.Random(seed))
