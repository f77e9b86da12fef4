"""What one node has observed of one backend server."""

import math

# Observations lose their weight with this time constant, so that a server
# that was slow or failed is tried again.
DECAY_MS = 4_000.0
SLOWNESS_WEIGHT = 0.1
FAILURE_WEIGHT = 0.3
# Bounds on one sample of slowness.
MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 30.0
# An exchange without an answer counts as silent after this multiple of its
# usual time, but not within the length of an ordinary pause.
SILENCE_FACTOR = 4.0
MIN_SILENCE_MS = 300.0
# Consecutive exchanges without a trace of the server before it gets no work.
FAILURE_LIMIT = 2
# While a server gets no work, it is probed at this pace. One that accepts
# connections and stays silent is probed half as often each time.
PROBE_INTERVAL_MS = 350.0
MAX_PROBE_INTERVAL_MS = 2_800.0


class ServerHealth:
    """Running exchanges, smoothed slowness and failures of a server."""

    def __init__(self):
        # By attempt: when it was sent, and how long silence is tolerated.
        self._running = {}
        self._last_answer_ms = -math.inf
        self._slowness = 1.0
        self._failure_share = 0.0
        self._updated_ms = 0.0
        self._failures = 0
        self._is_blocked = False
        self._is_replaced = False
        self._last_probe_ms = -math.inf
        self._probe_interval_ms = PROBE_INTERVAL_MS
        self._reported_waiting = 0

    @property
    def in_flight(self):
        """Exchanges that run at the server for this node."""
        return len(self._running)

    @property
    def is_blocked(self):
        """Whether the server gets no work until a probe succeeds."""
        return self._is_blocked or self._is_replaced

    @property
    def reported_waiting(self):
        """Requests that waited at the server when it last answered."""
        return self._reported_waiting

    def slowness(self, now_ms):
        """Return the time of exchanges as a multiple of the usual time."""
        return 1.0 + (self._slowness - 1.0) * self._decay_factor(now_ms)

    def failure_share(self, now_ms):
        """Return the smoothed share of exchanges that failed, 0 to 1."""
        return self._failure_share * self._decay_factor(now_ms)

    def stall_ms(self, now_ms):
        """Return for how long running exchanges have seen no answer."""
        if not self._running:
            return 0.0
        oldest_ms = min(sent_ms for sent_ms, _ in self._running.values())
        return max(0.0, now_ms - max(oldest_ms, self._last_answer_ms))

    def is_silent(self, now_ms):
        """Return whether an exchange has met silence for too long."""
        return any(
            now_ms - max(sent_ms, self._last_answer_ms) >= limit_ms
            for sent_ms, limit_ms in self._running.values()
        )

    def needs_probe(self, now_ms):
        """Return whether a blocked server is due for a probe."""
        return (
            self._is_blocked
            and now_ms - self._last_probe_ms >= self._probe_interval_ms
        )

    def record_start(self, attempt, silence_limit_ms, now_ms):
        """Count an exchange that starts."""
        self._running[attempt] = (now_ms, silence_limit_ms)

    def record_cancelled(self, attempt, ratio, now_ms):
        """Take over that the node gave up an exchange.

        Parameters
        ----------
        attempt : object
            The exchange.
        ratio : float
            Its time until then as a multiple of the usual time. An answer
            would have taken longer, so only a slow exchange counts.
        now_ms : float
            Current time.
        """
        self._running.pop(attempt, None)
        if ratio > self.slowness(now_ms):
            self._record_ratio(ratio, now_ms)

    def record_answer(self, attempt, ratio, waiting, now_ms):
        """Take over an answer.

        Parameters
        ----------
        attempt : object
            The exchange.
        ratio : float
            Its time as a multiple of the usual time.
        waiting : int or None
            Requests that wait at the server, where it said.
        now_ms : float
            Current time.
        """
        self._running.pop(attempt, None)
        self._record_ratio(ratio, now_ms)
        self._failure_share *= 1.0 - FAILURE_WEIGHT
        self._last_answer_ms = now_ms
        self._failures = 0
        self._is_blocked = False
        self._probe_interval_ms = PROBE_INTERVAL_MS
        self._reported_waiting = waiting or 0

    def record_failure(self, attempt, is_unresponsive, now_ms):
        """Take over a failure.

        Parameters
        ----------
        attempt : object
            The exchange.
        is_unresponsive : bool
            Whether the server showed no sign of life: no connection, or
            silence.
        now_ms : float
            Current time.
        """
        self._running.pop(attempt, None)
        self._apply_decay(now_ms)
        self._failure_share += FAILURE_WEIGHT * (1.0 - self._failure_share)
        if is_unresponsive:
            self._failures += 1
            if self._failures >= FAILURE_LIMIT:
                self.block(now_ms)
        else:
            self._failures = 0

    def block(self, now_ms):
        """Give the server no work until a probe succeeds."""
        if not self._is_blocked:
            self._is_blocked = True
            self._last_probe_ms = now_ms

    def block_for_silence(self, now_ms):
        """Block a server that answers nothing, which counts as a failure.

        A connection shows little of such a server. The next probe comes
        later each time until an answer has come.
        """
        self._apply_decay(now_ms)
        self._failure_share += FAILURE_WEIGHT * (1.0 - self._failure_share)
        self.block(now_ms)
        self._probe_interval_ms = min(
            2.0 * self._probe_interval_ms, MAX_PROBE_INTERVAL_MS
        )

    def mark_replaced(self, attempt):
        """Give the server no more work: another one has its address."""
        self._running.pop(attempt, None)
        self._is_replaced = True

    def record_probe(self, has_succeeded, now_ms):
        """Take over the result of a probe."""
        self._last_probe_ms = now_ms
        if has_succeeded:
            self._is_blocked = False
            self._failures = 0

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
        return math.exp(-max(0.0, now_ms - self._updated_ms) / DECAY_MS)


def compute_silence_limit_ms(typical_ms):
    """Return after how much silence a server is taken for absent.

    Examples
    --------
    >>> compute_silence_limit_ms(10.0)
    300.0
    >>> compute_silence_limit_ms(200.0)
    800.0
    """
    return max(MIN_SILENCE_MS, SILENCE_FACTOR * typical_ms)
