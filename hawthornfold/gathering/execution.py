"""The state machine of one request: parts, attempts, hedges, verdict.

A request has one part when it is passed through, and one a shard when it is
gathered. The machine takes outcomes and times, and returns what to send and
what to cancel; it owns no socket and no green thread.
"""

import enum
import itertools
import math
import typing

from hawthornfold.directory import ServerRecord
from hawthornfold.gathering.outcomes import OutcomeKind

# A part is sent to this many servers beyond the rule's `max_servers` when
# servers say that they did not execute it, which keeps the rule: such
# attempts did not run.
_MAX_REJECTED = 2
# A hedge without budget or server is tried again after this time.
_HEDGE_RETRY_MS = 25.0
# Once a share of the parts is answered, the others are late by comparison:
# they are hedged after a multiple of the time that it took, and a slack for
# the node's own work. The smaller share counts while many servers are slow.
_LATE_FACTORS = ((0.6, 2.0), (0.85, 1.25))
_LATE_SLACK_MS = 3.0
# Fewer parts than this are no sample.
_LEAST_SAMPLE = 8
# Parts are looked through for due hedges at this pace; each look takes time
# in proportion to the number of shards.
_TICK_MS = 20.0


class Send(typing.NamedTuple):
    """Send a part to a server.

    Parameters
    ----------
    attempt : int
        Identifies the exchange within the request.
    part : int
        Index of the part.
    record : ServerRecord
        The server.
    """

    attempt: int
    part: int
    record: ServerRecord


class Cancel(typing.NamedTuple):
    """Give up an exchange that is no longer needed."""

    attempt: int


class Verdict(enum.Enum):
    """How a request ends."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'
    # A server's own failure is passed on.
    PASSED_FAILURE = 'passed-failure'
    # Nothing has run, and nothing will.
    NOT_RUN = 'not-run'
    # Something may have run, and no answer can be given.
    UNKNOWN = 'unknown'
    # The deadline has passed after something was sent.
    TIMED_OUT = 'timed-out'


class _Part:
    """One part of a request."""

    __slots__ = (
        'answer',
        'failure',
        'is_given_up',
        'may_have_run',
        'next_hedge_ms',
        'rejected',
        'running',
        'sent',
        'service',
        'tried',
        'window',
    )

    def __init__(self, service, window):
        self.service = service
        self.window = window
        # Server ids by attempt.
        self.running = {}
        self.tried = set()
        self.sent = 0
        self.rejected = 0
        self.answer = None
        self.failure = None
        self.may_have_run = False
        self.is_given_up = False
        self.next_hedge_ms = 0.0

    @property
    def is_open(self):
        return self.answer is None and not self.is_given_up


class Execution:
    """One request from its first send to its verdict.

    Parameters
    ----------
    decision : Decision
        What the rules say.
    services : sequence of str
        The service of each part.
    times : ExecutionTimes
        When the request is due.
    directory : ServerDirectory
        Names the servers of each service.
    placement : Placement
        Chooses among them.
    windows : sequence of ArrivalWindow
        The budget of repeated arrivals of each part's service.
    book : LatencyBook
        How long exchanges usually take.
    """

    def __init__(
        self, decision, services, times, directory, placement, windows, book
    ):
        self._decision = decision
        self._times = times
        self._directory = directory
        self._placement = placement
        self._parts = [
            _Part(service, window)
            for service, window in zip(services, windows, strict=True)
        ]
        self._part_of = {}
        self._attempts = itertools.count()
        late_ms = book.late_ms(decision)
        self._hedge_ms = times.arrived_ms + late_ms
        self._next_tick_ms = times.arrived_ms
        self._needed = _count_needed(decision, len(services))
        self._late_factors = {}
        if len(services) >= _LEAST_SAMPLE:
            self._late_factors = {
                math.ceil(share * len(services)): factor
                for share, factor in _LATE_FACTORS
            }
        self._answered = 0
        self._sufficient_ms = times.arrived_ms
        self._hedges = 0
        self._retries = 0
        self._denied = 0

    @property
    def hedges(self):
        """Parts that were sent a second time while the first was open."""
        return self._hedges

    @property
    def retries(self):
        """Parts that were sent again after a failure."""
        return self._retries

    @property
    def denied(self):
        """Hedges and retries that the budget did not allow."""
        return self._denied

    @property
    def due_ms(self):
        """When an answer without all parts was due, on the node's clock.

        That is in time for the objective, or when the least share of the
        parts was answered, if that was later.
        """
        return max(self._times.answer_ms, self._sufficient_ms)

    @property
    def answers(self):
        """The `ServerResponse` of each answered part, in order."""
        return [part.answer for part in self._parts if part.answer is not None]

    @property
    def missing(self):
        """How many parts have no answer."""
        return len(self._parts) - self._answered

    @property
    def failure(self):
        """The server's own failure to pass on, or None."""
        return self._parts[0].failure

    @property
    def missing_services(self):
        """The services of the parts without an answer."""
        return [p.service for p in self._parts if p.answer is None]

    def attempt_key(self, attempt):
        """Return the key of an attempt among those of all requests."""
        return (id(self), attempt)

    def start(self, now_ms):
        """Return the first `Send` of each part that has a server.

        When more parts than the rule allows have no server, nothing is
        sent: the request cannot be served.
        """
        chosen = [self._choose(part, now_ms) for part in self._parts]
        found = sum(1 for record in chosen if record is not None)
        for part, record in zip(self._parts, chosen, strict=True):
            part.is_given_up = record is None or found < self._needed
        return [
            self._send(index, record, now_ms)
            for index, record in enumerate(chosen)
            if not self._parts[index].is_given_up
        ]

    def handle_outcome(self, attempt, outcome, now_ms):
        """Take over the end of an exchange.

        Returns
        -------
        list of Send and Cancel
        """
        index = self._part_of.pop(attempt)
        part = self._parts[index]
        part.running.pop(attempt, None)
        if outcome.kind.may_have_run:
            part.may_have_run = True
        if part.answer is not None:
            return []
        if outcome.kind is OutcomeKind.ANSWERED:
            part.answer = outcome.response
            self._answered += 1
            if self._answered == self._needed:
                self._sufficient_ms = now_ms
            factor = self._late_factors.get(self._answered)
            if factor is not None:
                self._advance_hedges(factor, now_ms)
            return [Cancel(other) for other in part.running]
        if outcome.kind is OutcomeKind.FAILED:
            part.failure = outcome.response
        return self._retry(index, part, outcome.kind, now_ms)

    def tick(self, now_ms):
        """Return the hedges that are due, as `Send`."""
        if not self._decision.hedge or now_ms < self._next_tick_ms:
            return []
        self._next_tick_ms = now_ms + _TICK_MS
        if now_ms < self._hedge_ms:
            self._next_tick_ms = min(self._next_tick_ms, self._hedge_ms)
        sends = []
        is_due = now_ms >= self._hedge_ms
        for index, part in enumerate(self._parts):
            if not part.is_open or len(part.running) != 1:
                continue
            if now_ms < part.next_hedge_ms:
                continue
            if is_due or self._is_blocked(part):
                sends += self._hedge(index, part, now_ms)
        return sends

    def wakeup_ms(self, now_ms):
        """Return when `tick` or `conclude` has something to do next."""
        due = [self._times.deadline_ms]
        if self._decision.hedge:
            due.append(max(self._next_tick_ms, now_ms))
        if self._times.answer_ms > now_ms:
            due.append(self._times.answer_ms)
        return min(due)

    def conclude(self, now_ms):
        """Return the `Verdict`, or None while the request goes on."""
        answered = self._answered
        if answered == len(self._parts):
            return Verdict.COMPLETE
        if answered >= self._needed and (
            now_ms >= self._times.answer_ms or not self._part_of
        ):
            return Verdict.PARTIAL
        if now_ms >= self._times.deadline_ms:
            has_sent = any(part.sent for part in self._parts)
            return Verdict.TIMED_OUT if has_sent else Verdict.NOT_RUN
        hopeful = sum(1 for part in self._parts if part.answer or part.running)
        if hopeful >= self._needed:
            return None
        return self._fail()

    def _advance_hedges(self, factor, now_ms):
        elapsed_ms = now_ms - self._times.arrived_ms
        late_ms = factor * elapsed_ms + _LATE_SLACK_MS
        self._hedge_ms = min(self._hedge_ms, self._times.arrived_ms + late_ms)
        self._next_tick_ms = min(self._next_tick_ms, self._hedge_ms)

    def _fail(self):
        if len(self._parts) == 1 and self.failure is not None:
            return Verdict.PASSED_FAILURE
        if any(part.may_have_run or part.running for part in self._parts):
            return Verdict.UNKNOWN
        return Verdict.NOT_RUN

    def _choose(self, part, now_ms):
        servers = self._directory.available_servers(part.service, now_ms)
        candidates = [
            record for record in servers if record.server_id not in part.tried
        ]
        return self._placement.choose(candidates, self._decision, now_ms)

    def _send(self, index, record, now_ms):
        part = self._parts[index]
        attempt = next(self._attempts)
        part.running[attempt] = record.server_id
        part.tried.add(record.server_id)
        part.sent += 1
        self._part_of[attempt] = index
        self._placement.begin(
            record.server_id,
            self.attempt_key(attempt),
            self._decision,
            now_ms,
        )
        return Send(attempt, index, record)

    def _retry(self, index, part, kind, now_ms):
        """Send a part again after a failure, where that is allowed."""
        if kind.may_have_run and not self._decision.idempotent:
            part.is_given_up = True
            return []
        if not kind.may_have_run:
            part.rejected += 1
        if part.running:
            return []
        record = None
        if self._may_send_again(part) and now_ms < self._times.deadline_ms:
            record = self._choose(part, now_ms)
        if record is None or (
            self._has_arrived(part, kind) and not self._take(part, now_ms)
        ):
            part.is_given_up = True
            return []
        self._retries += 1
        return [self._send(index, record, now_ms)]

    def _hedge(self, index, part, now_ms):
        if not self._may_send_again(part):
            return []
        record = self._choose(part, now_ms)
        if record is None or not self._take(part, now_ms):
            part.next_hedge_ms = now_ms + _HEDGE_RETRY_MS
            return []
        self._hedges += 1
        return [self._send(index, record, now_ms)]

    def _may_send_again(self, part):
        executed = part.sent - part.rejected
        return (
            executed < self._decision.max_servers
            and part.rejected <= _MAX_REJECTED
        )

    def _has_arrived(self, part, kind):
        # Of several attempts, any may have reached its server.
        return kind.has_arrived or part.sent > 1

    def _take(self, part, now_ms):
        is_urgent = self._decision.urgency == 0
        is_allowed = part.window.take(now_ms, is_urgent)
        if not is_allowed:
            self._denied += 1
        return is_allowed

    def _is_blocked(self, part):
        return any(
            self._placement.health(server_id).is_blocked
            for server_id in part.running.values()
        )


class ExecutionTimes(typing.NamedTuple):
    """When a request is due, on the node's clock.

    Parameters
    ----------
    arrived_ms : float
        When it arrived.
    answer_ms : float
        When an answer has to leave to be of full use to the caller.
    deadline_ms : float
        When the request has to be given up.
    """

    arrived_ms: float
    answer_ms: float
    deadline_ms: float


def _count_needed(decision, count):
    """Return the fewest parts that an answer may have."""
    share = decision.coverage_percent
    # Rounded up; the slack covers the error of a binary fraction.
    return max(1, int(-(-(count * share - 1e-6) // 100)))


def create_execution(
    decision, services, times, directory, placement, windows, book
):
    """Create the machine of a request that has not been sent yet.

    Raises
    ------
    ValueError
        If `services` is empty.
    """
    if not services:
        raise ValueError('a request has at least one part')
    return Execution(
        decision, services, times, directory, placement, windows, book
    )
