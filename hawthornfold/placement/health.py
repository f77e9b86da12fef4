"""Tracks what a node has observed of a backend server."""

import math

# Time constant with which observations lose their weight, so that a server
# that was slow or failed is tried again.
DECAY_MS = 4_000.0
# Weights of a new sample of slowness and of a failure or answer.
SLOWNESS_WEIGHT = 0.1
FAILURE_WEIGHT = 0.3
# Bounds of one sample of slowness.
MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 30.0
# A server is undisturbed while its exchanges take at most this multiple of the
# typical latency.
UNDISTURBED_RATIO = 1.5
# A server is considered silent when an exchange is running and the server has
# answered nothing for this multiple of the typical latency, but not before the
# minimum, which exceeds the length of an ordinary pause.
SILENCE_FACTOR = 4.0
MIN_SILENCE_MS = 300.0
# Number of consecutive exchanges without any response after which a server is
# blocked.
FAILURE_LIMIT = 2
# Interval between probes of a blocked server. The interval doubles, up to the
# maximum, each time a server is blocked because it accepts connections and
# stays silent.
PROBE_INTERVAL_MS = 350.0
MAX_PROBE_INTERVAL_MS = 2_800.0
# A server is excluded for this long after a response that another one uses its
# address. Its entry usually changes or expires within a few seconds.
REPLACED_MS = 10_000.0


class ServerHealth:
    """Tracks running exchanges, slowness and failures of a server."""

    def __init__(self):
        # Send time, tolerated silence and the silence that makes the node
        # doubt its links, of each running attempt.
        self._running = {}
        self._last_answer_ms = -math.inf
        self._slowness = 1.0
        self._failure_share = 0.0
        self._updated_ms = 0.0
        self._failures = 0
        self._is_blocked = False
        # When the server was last reported as replaced, or None.
        self._replaced_ms = None
        self._last_probe_ms = -math.inf
        self._probe_interval_ms = PROBE_INTERVAL_MS
        self._reported_waiting = 0
        self._is_undisturbed = True

    @property
    def in_flight(self):
        """Number of running exchanges of this node with the server."""
        return len(self._running)

    @property
    def is_blocked(self):
        """Whether the server is excluded from selection."""
        return self._is_blocked or self._replaced_ms is not None

    @property
    def is_undisturbed(self):
        """Whether the server is idle and answered its last request in time."""
        return (
            self._is_undisturbed and not self._running and not self.is_blocked
        )

    @property
    def reported_waiting(self):
        """Number of waiting requests that the last answer reported."""
        return self._reported_waiting

    def slowness(self, now_ms):
        """Return the exchange time as a multiple of the typical latency."""
        return self.estimate(now_ms)[0]

    def estimate(self, now_ms):
        """Return slowness and failure share, with one computation of decay.

        Returns
        -------
        tuple of float
        """
        decay_factor = self._decay_factor(now_ms)
        return (
            1.0 + (self._slowness - 1.0) * decay_factor,
            self._failure_share * decay_factor,
        )

    def stall_ms(self, now_ms):
        """Return for how long running exchanges have had no answer."""
        if not self._running:
            return 0.0
        oldest_ms = min(sent_ms for sent_ms, _, _ in self._running.values())
        return max(0.0, now_ms - max(oldest_ms, self._last_answer_ms))

    def is_silent(self, now_ms):
        """Return whether an exchange has had no answer for too long."""
        return any(
            now_ms - max(sent_ms, self._last_answer_ms) >= limit_ms
            for sent_ms, limit_ms, _ in self._running.values()
        )

    def owes_answer(self, since_ms, now_ms):
        """Return whether an exchange has had no answer for suspiciously long.

        Parameters
        ----------
        since_ms : float
            When a server was last in contact. Of exchanges that were sent
            before, some were answered; the others are suspicious only after
            the longest ordinary pause of a server.
        now_ms : float
            Current time.
        """
        return any(
            now_ms - sent_ms >= suspicion_ms
            if sent_ms >= since_ms
            else now_ms - since_ms >= MIN_SILENCE_MS
            for sent_ms, _, suspicion_ms in self._running.values()
        )

    def has_answered_since(self, since_ms):
        """Return whether the server has answered after a time."""
        return self._last_answer_ms > since_ms

    def excuse_silence(self, duration_ms):
        """Exclude a time in which the node received nothing from silence."""
        self._last_answer_ms += duration_ms
        self._running = {
            attempt: (sent_ms + duration_ms, *limits)
            for attempt, (sent_ms, *limits) in self._running.items()
        }

    def needs_probe(self, now_ms):
        """Return whether a probe of the blocked server is due."""
        return (
            self._is_blocked
            and now_ms - self._last_probe_ms >= self._probe_interval_ms
        )

    def record_start(
        self, attempt, silence_limit_ms, now_ms, suspicion_limit_ms=math.inf
    ):
        """Record the start of an exchange."""
        self._running[attempt] = (now_ms, silence_limit_ms, suspicion_limit_ms)

    def record_cancelled(self, attempt, ratio, now_ms):
        """Record that the node cancelled an exchange.

        Parameters
        ----------
        attempt : object
            The exchange.
        ratio : float
            Elapsed time as a multiple of the typical latency. The answer
            would have taken longer, so this is a lower bound; it counts
            only if it exceeds the current slowness.
        now_ms : float
            Current time.
        """
        self._running.pop(attempt, None)
        if ratio > self.slowness(now_ms):
            self._is_undisturbed = False
            self._record_ratio(ratio, now_ms)

    def discard(self, attempt):
        """Drop an exchange that says nothing about the server."""
        self._running.pop(attempt, None)

    def record_refusal(self, attempt, now_ms):
        """Record that a server responded that it wants no requests for now.

        The server is neither slow nor silent, nor does it fail. If it was
        blocked for silence, that has ended: its pause decides from now on.
        """
        self._running.pop(attempt, None)
        self._record_response(now_ms)

    def record_answer(self, attempt, ratio, waiting, now_ms):
        """Record an answer.

        Parameters
        ----------
        attempt : object
            The exchange.
        ratio : float
            Elapsed time as a multiple of the typical latency.
        waiting : int or None
            Number of requests waiting at the server, if it reported that.
        now_ms : float
            Current time.
        """
        self._running.pop(attempt, None)
        self._record_ratio(ratio, now_ms)
        self._failure_share *= 1.0 - FAILURE_WEIGHT
        self._record_response(now_ms)
        self._reported_waiting = waiting or 0
        self._is_undisturbed = not waiting and ratio <= UNDISTURBED_RATIO

    def record_failure(self, attempt, is_unresponsive, now_ms):
        """Record a failed exchange.

        Parameters
        ----------
        attempt : object
            The exchange.
        is_unresponsive : bool
            Whether the server did not respond at all: the connection failed
            or no answer was received.
        now_ms : float
            Current time.
        """
        self._running.pop(attempt, None)
        self._is_undisturbed = False
        self._apply_decay(now_ms)
        self._failure_share += FAILURE_WEIGHT * (1.0 - self._failure_share)
        if is_unresponsive:
            self._failures += 1
            if self._failures >= FAILURE_LIMIT:
                self.block(now_ms)
        else:
            self._failures = 0

    def block(self, now_ms):
        """Exclude the server from selection until a probe succeeds."""
        if not self._is_blocked:
            self._is_blocked = True
            self._last_probe_ms = now_ms

    def expect_return(self, delay_ms, now_ms):
        """Forget failures that the node's links explain.

        Parameters
        ----------
        delay_ms : float
            Delay after which the blocked server is probed.
        now_ms : float
            Current time.
        """
        self._failures = 0
        self._failure_share = 0.0
        self._slowness = 1.0
        self._probe_interval_ms = PROBE_INTERVAL_MS
        self._last_probe_ms = now_ms + delay_ms - PROBE_INTERVAL_MS

    def block_for_silence(self, now_ms):
        """Block a silent server and count its silence as a failure.

        Such a server may accept connections, so a successful probe shows
        little. The probe interval therefore doubles each time, until the
        server answers a request.
        """
        self._apply_decay(now_ms)
        self._failure_share += FAILURE_WEIGHT * (1.0 - self._failure_share)
        self.block(now_ms)
        self._probe_interval_ms = min(
            2.0 * self._probe_interval_ms, MAX_PROBE_INTERVAL_MS
        )

    def record_replaced(self, attempt, now_ms):
        """Exclude the server for a while: another one uses its address."""
        self._running.pop(attempt, None)
        self._replaced_ms = now_ms

    def expire_replaced(self, now_ms):
        """End the exclusion if it has lasted long enough.

        The response may have been wrong, and then no change of the entry
        would end it.
        """
        if (
            self._replaced_ms is not None
            and now_ms - self._replaced_ms >= REPLACED_MS
        ):
            self._replaced_ms = None

    def record_probe(self, has_succeeded, now_ms):
        """Record the result of a probe."""
        self._last_probe_ms = now_ms
        if has_succeeded:
            self._is_blocked = False
            self._failures = 0

    def _record_response(self, now_ms):
        self._last_answer_ms = now_ms
        self._failures = 0
        self._is_blocked = False
        self._probe_interval_ms = PROBE_INTERVAL_MS

    def _record_ratio(self, ratio, now_ms):
        self._apply_decay(now_ms)
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        self._slowness += SLOWNESS_WEIGHT * (ratio - self._slowness)

    def _apply_decay(self, now_ms):
        decay_factor = self._decay_factor(now_ms)
        self._slowness = 1.0 + (self._slowness - 1.0) * decay_factor
        self._failure_share *= decay_factor
        self._updated_ms = now_ms

    def _decay_factor(self, now_ms):
        age_ms = now_ms - self._updated_ms
        return math.exp(-age_ms / DECAY_MS) if age_ms > 0.0 else 1.0


def compute_silence_limit_ms(typical_ms):
    """Return for how long a server may be silent before it is blocked.

    Examples
    --------
    >>> compute_silence_limit_ms(10.0)
    300.0
    >>> compute_silence_limit_ms(200.0)
    800.0
    """
    return max(MIN_SILENCE_MS, SILENCE_FACTOR * typical_ms)
