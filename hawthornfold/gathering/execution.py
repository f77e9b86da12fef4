"""Decides which attempts a request needs and when it has ended.

A forwarded request has one part; a gathered request has one part per shard.
`Execution` is a state machine: it receives outcomes and times, and returns
what to send and what to cancel. It uses no sockets or green threads.
"""

import enum
import itertools
import math
import typing

from hawthornfold.directory import ServerRecord
from hawthornfold.gathering.merging import RecordMerger
from hawthornfold.gathering.outcomes import OutcomeKind

# Maximum number of additional servers, beyond the rule's `max_servers`, that a
# part is sent to after servers reported that they did not execute it. The
# rule still holds, because it limits the attempts that may have run.
_MAX_NOT_EXECUTED = 2
# Delay before another try to hedge a part for which there was no repeat budget
# or no server.
_HEDGE_RETRY_MS = 25.0
# Pairs of a share of answered parts and a factor. When that share is answered,
# the other parts are stragglers: they are hedged once the elapsed time exceeds
# the factor times the time until then, plus a slack for the node's own work.
# The smaller share is for requests with many slow servers.
_STRAGGLER_FACTORS = ((0.6, 2.0), (0.85, 1.25))
_STRAGGLER_SLACK_MS = 3.0
# Minimum number of parts for the detection of stragglers; the times of fewer
# parts say too little about what is slow.
_MIN_SAMPLE_PARTS = 8
# Minimum share of answered parts for hedges that are due by the typical
# latency. When fewer parts are answered by then, the node or its link is late,
# not the servers, and hedges would only add to the load.
_MIN_ANSWERED_SHARE = 0.4
# Interval between two checks for due hedges. It bounds their cost, because a
# check takes time in proportion to the number of shards.
_HEDGE_CHECK_INTERVAL_MS = 20.0


class Send(typing.NamedTuple):
    """An instruction to send a part to a server.

    Parameters
    ----------
    attempt : int
        Number of the attempt, unique within the request.
    part : int
        Index of the part.
    record : ServerRecord
        The server.
    """

    attempt: int
    part: int
    record: ServerRecord


class Cancel(typing.NamedTuple):
    """An instruction to cancel an attempt that is no longer needed."""

    attempt: int


class Verdict(enum.Enum):
    """How a request ends."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'
    # The caller gets the failure response of the server.
    PASSED_FAILURE = 'passed-failure'
    # No server executed the request or will execute it.
    NOT_RUN = 'not-run'
    # A server may have executed the request, but no answer can be given.
    UNKNOWN = 'unknown'
    # The deadline passed after at least one part was sent.
    TIMED_OUT = 'timed-out'


class _Part:
    """The attempts and the answer of one part of a request."""

    __slots__ = (
        'answer',
        'failure',
        'is_abandoned',
        'may_have_run',
        'next_hedge_ms',
        'not_executed_count',
        'running',
        'sent_count',
        'service',
        'tried_server_ids',
        'repeat_budget',
    )

    def __init__(self, service, repeat_budget):
        self.service = service
        self.repeat_budget = repeat_budget
        # Server ids of the running attempts, by attempt number.
        self.running = {}
        self.tried_server_ids = set()
        self.sent_count = 0
        self.not_executed_count = 0
        self.answer = None
        self.failure = None
        self.may_have_run = False
        self.is_abandoned = False
        self.next_hedge_ms = 0.0

    @property
    def is_open(self):
        return self.answer is None and not self.is_abandoned


class Execution:
    """Tracks one request from its first attempt to its verdict.

    Parameters
    ----------
    decision : Decision
        What the rules decided for the request.
    services : sequence of str
        The service of each part.
    times : ExecutionTimes
        When the request arrived and when its answer is due.
    directory : ServerDirectory
        Lists the servers of each service.
    placement : Placement
        Chooses one of these servers.
    repeat_budgets : sequence of RepeatBudget
        The repeat budget of the service of each part.
    latency_tracker : LatencyTracker
        Typical latencies of exchanges.
    """

    def __init__(
        self,
        decision,
        services,
        times,
        directory,
        placement,
        repeat_budgets,
        latency_tracker,
    ):
        self._decision = decision
        self._times = times
        self._directory = directory
        self._placement = placement
        self._parts = [
            _Part(service, repeat_budget)
            for service, repeat_budget in zip(
                services, repeat_budgets, strict=True
            )
        ]
        self._part_indexes = {}
        self._attempts = itertools.count()
        self._typical_max_ms = latency_tracker.typical_max_ms(decision)
        # When the first attempts were sent. Hedges depend on the time that
        # the servers have had, not on that of the node before it.
        self._sent_ms = times.arrived_ms
        self._hedge_due_ms = math.inf
        self._next_hedge_check_ms = times.arrived_ms
        self._needed_parts = _count_needed_parts(decision, len(services))
        self._straggler_factors = {}
        self._min_answered_parts = 0
        if len(services) >= _MIN_SAMPLE_PARTS:
            self._min_answered_parts = _MIN_ANSWERED_SHARE * len(services)
            self._straggler_factors = {
                math.ceil(share * len(services)): factor
                for share, factor in _STRAGGLER_FACTORS
            }
        self._merger = None
        if decision.gather is not None:
            self._merger = RecordMerger(decision.gather.limit)
        self._answered_parts = 0
        self._has_abandoned_parts = False
        self._sufficient_ms = times.arrived_ms
        self._hedge_count = 0
        self._retry_count = 0
        self._denied_count = 0

    @property
    def hedge_count(self):
        """Number of attempts sent while another of the part was running."""
        return self._hedge_count

    @property
    def retry_count(self):
        """Number of attempts sent after a failure."""
        return self._retry_count

    @property
    def denied_count(self):
        """Number of hedges and retries that the budget did not allow."""
        return self._denied_count

    @property
    def partial_due_ms(self):
        """When a partial answer was due, on the node's clock.

        This is the time that meets the objective, or the time at which the
        minimum share of the parts was answered, whichever is later.
        """
        return max(self._times.answer_ms, self._sufficient_ms)

    @property
    def answers(self):
        """The `ServerResponse` of each answered part, in order of parts."""
        return [part.answer for part in self._parts if part.answer is not None]

    @property
    def merged_records(self):
        """The greatest records of all answered parts of a gathered query."""
        return self._merger.merged

    @property
    def sufficient_ms(self):
        """When the minimum share of the parts was answered.

        On the node's clock; None if it was not.
        """
        if self._answered_parts < self._needed_parts:
            return None
        return self._sufficient_ms

    @property
    def missing_count(self):
        """Number of parts without an answer."""
        return len(self._parts) - self._answered_parts

    @property
    def failure(self):
        """The server's failure response to pass on, or None."""
        return self._parts[0].failure

    @property
    def missing_services(self):
        """The services of the parts without an answer."""
        return [p.service for p in self._parts if p.answer is None]

    def attempt_key(self, attempt):
        """Return a key of an attempt that is unique among all requests."""
        return (id(self), attempt)

    def start(self, now_ms):
        """Start the first attempt of each part that has a server.

        If fewer parts have a server than the rule requires, the request
        cannot be answered and nothing is sent.

        Returns
        -------
        list of Send
        """
        chosen = [self._choose_server(part, now_ms) for part in self._parts]
        self.record_sent(now_ms)
        found = sum(1 for record in chosen if record is not None)
        for part, record in zip(self._parts, chosen, strict=True):
            if record is None or found < self._needed_parts:
                self._abandon(part)
        return [
            self._start_attempt(index, record, now_ms)
            for index, record in enumerate(chosen)
            if not self._parts[index].is_abandoned
        ]

    def record_sent(self, now_ms):
        """Record when the first attempts of all parts were sent."""
        self._sent_ms = now_ms
        self._hedge_due_ms = now_ms + self._typical_max_ms

    def handle_outcome(self, attempt, outcome, now_ms):
        """Record the end of an exchange and return what to do next.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `Send`.
        outcome : ExchangeOutcome
            How the exchange ended.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        list of Send and Cancel
        """
        index = self._part_indexes.pop(attempt)
        part = self._parts[index]
        part.running.pop(attempt, None)
        if outcome.kind.may_have_run:
            part.may_have_run = True
        if part.answer is not None:
            return []
        if outcome.kind is OutcomeKind.ANSWERED:
            part.answer = outcome.response
            if self._merger is not None:
                self._merger.add(outcome.response.body)
            self._answered_parts += 1
            if self._answered_parts == self._needed_parts:
                self._sufficient_ms = now_ms
            factor = self._straggler_factors.get(self._answered_parts)
            if factor is not None:
                self._advance_hedge_time(factor, now_ms)
            return [Cancel(other) for other in part.running]
        if outcome.kind is OutcomeKind.FAILED:
            part.failure = outcome.response
        return self._retry_part(index, part, outcome.kind, now_ms)

    def start_due_hedges(self, now_ms):
        """Start the hedges that are due and return them as `Send`."""
        if not self._decision.hedge or now_ms < self._next_hedge_check_ms:
            return []
        self._next_hedge_check_ms = now_ms + _HEDGE_CHECK_INTERVAL_MS
        if now_ms < self._hedge_due_ms:
            self._next_hedge_check_ms = min(
                self._next_hedge_check_ms, self._hedge_due_ms
            )
        sends = []
        is_hedge_due = (
            now_ms >= self._hedge_due_ms
            and self._answered_parts >= self._min_answered_parts
        )
        for index, part in enumerate(self._parts):
            if not part.is_open or len(part.running) != 1:
                continue
            if now_ms < part.next_hedge_ms:
                continue
            if is_hedge_due or self._has_blocked_server(part):
                sends += self._hedge_part(index, part, now_ms)
        return sends

    def next_wakeup_ms(self, now_ms):
        """Return when hedges or the verdict must be checked next."""
        due = [self._times.deadline_ms]
        if self._decision.hedge:
            due.append(max(self._next_hedge_check_ms, now_ms))
        if self._times.answer_ms > now_ms:
            due.append(self._times.answer_ms)
        return min(due)

    def determine_verdict(self, now_ms):
        """Return the `Verdict`, or None while the request is in progress."""
        answered = self._answered_parts
        if answered == len(self._parts):
            return Verdict.COMPLETE
        if answered >= self._needed_parts and (
            now_ms >= self._times.answer_ms or not self._part_indexes
        ):
            return Verdict.PARTIAL
        if now_ms >= self._times.deadline_ms:
            has_sent = any(part.sent_count for part in self._parts)
            return Verdict.TIMED_OUT if has_sent else Verdict.NOT_RUN
        if not self._has_abandoned_parts:
            return None
        achievable = sum(
            1 for part in self._parts if part.answer or part.running
        )
        if achievable >= self._needed_parts:
            return None
        return self._failure_verdict()

    def _abandon(self, part):
        part.is_abandoned = True
        self._has_abandoned_parts = True

    def _advance_hedge_time(self, factor, now_ms):
        elapsed_ms = now_ms - self._sent_ms
        hedge_delay_ms = factor * elapsed_ms + _STRAGGLER_SLACK_MS
        self._hedge_due_ms = min(
            self._hedge_due_ms, self._sent_ms + hedge_delay_ms
        )
        self._next_hedge_check_ms = min(
            self._next_hedge_check_ms, self._hedge_due_ms
        )

    def _failure_verdict(self):
        if len(self._parts) == 1 and self.failure is not None:
            return Verdict.PASSED_FAILURE
        if any(part.may_have_run or part.running for part in self._parts):
            return Verdict.UNKNOWN
        return Verdict.NOT_RUN

    def _choose_server(self, part, now_ms):
        servers = self._directory.available_servers(part.service, now_ms)
        if not part.tried_server_ids:
            return self._placement.choose_first_server(
                part.service, servers, self._decision, now_ms
            )
        candidates = [
            record
            for record in servers
            if record.server_id not in part.tried_server_ids
        ]
        return self._placement.choose_server(
            candidates, self._decision, now_ms
        )

    def _start_attempt(self, index, record, now_ms):
        part = self._parts[index]
        attempt = next(self._attempts)
        part.running[attempt] = record.server_id
        part.tried_server_ids.add(record.server_id)
        part.sent_count += 1
        self._part_indexes[attempt] = index
        self._placement.record_start(
            record.server_id,
            self.attempt_key(attempt),
            self._decision,
            now_ms,
        )
        return Send(attempt, index, record)

    def _retry_part(self, index, part, kind, now_ms):
        """Start another attempt after a failure if rule and budget allow."""
        if kind.may_have_run and not self._decision.idempotent:
            self._abandon(part)
            return []
        if not kind.may_have_run:
            part.not_executed_count += 1
        if part.running:
            return []
        record = None
        if self._may_send_again(part) and now_ms < self._times.deadline_ms:
            record = self._choose_server(part, now_ms)
        if record is None or (
            self._may_have_arrived(part, kind)
            and not self._try_record_repeat(part, now_ms)
        ):
            self._abandon(part)
            return []
        self._retry_count += 1
        return [self._start_attempt(index, record, now_ms)]

    def _hedge_part(self, index, part, now_ms):
        if not self._may_send_again(part):
            return []
        record = self._choose_server(part, now_ms)
        if record is None or not self._try_record_repeat(part, now_ms):
            part.next_hedge_ms = now_ms + _HEDGE_RETRY_MS
            return []
        self._hedge_count += 1
        return [self._start_attempt(index, record, now_ms)]

    def _may_send_again(self, part):
        executed = part.sent_count - part.not_executed_count
        return (
            executed < self._decision.max_servers
            and part.not_executed_count <= _MAX_NOT_EXECUTED
        )

    def _may_have_arrived(self, part, kind):
        # With several attempts, an earlier one may have reached its server.
        return kind.may_have_arrived or part.sent_count > 1

    def _try_record_repeat(self, part, now_ms):
        is_urgent = self._decision.urgency == 0
        is_allowed = part.repeat_budget.try_record_repeat(now_ms, is_urgent)
        if not is_allowed:
            self._denied_count += 1
        return is_allowed

    def _has_blocked_server(self, part):
        return any(
            self._placement.health(server_id).is_blocked
            for server_id in part.running.values()
        )


class ExecutionTimes(typing.NamedTuple):
    """When a request arrived and when its answer is due, on the node's clock.

    Parameters
    ----------
    arrived_ms : float
        When the request arrived.
    answer_ms : float
        When the answer must be sent to meet the objective. From then on, a
        partial answer is sent if it has enough parts.
    deadline_ms : float
        When the request times out.
    """

    arrived_ms: float
    answer_ms: float
    deadline_ms: float


def _count_needed_parts(decision, count):
    """Return the minimum number of parts that an answer must have."""
    share = decision.coverage_percent
    # Rounds up. The small constant compensates for binary rounding errors.
    return max(1, int(-(-(count * share - 1e-6) // 100)))


def create_execution(
    decision,
    services,
    times,
    directory,
    placement,
    repeat_budgets,
    latency_tracker,
):
    """Create the execution of a request that has not been sent yet.

    Raises
    ------
    ValueError
        If `services` is empty.
    """
    if not services:
        raise ValueError('a request has at least one part')
    return Execution(
        decision,
        services,
        times,
        directory,
        placement,
        repeat_budgets,
        latency_tracker,
    )
