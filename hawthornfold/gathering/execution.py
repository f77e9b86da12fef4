"""Decides which attempts a request needs and when it has ended.

A forwarded request has one part; a gathered request has one part per shard.
Other nodes may gather groups of the parts. `Execution` is a state machine
without sockets: it receives outcomes and times, and returns what to send.
"""

import itertools
import math

from hawthornfold.gathering.actions import Cancel
from hawthornfold.gathering.actions import Send
from hawthornfold.gathering.actions import Verdict
from hawthornfold.gathering.collected_answer import CollectedAnswer
from hawthornfold.gathering.divided_execution import DividedExecution
from hawthornfold.gathering.hedge_schedule import HedgeSchedule
from hawthornfold.gathering.outcomes import OutcomeKind
from hawthornfold.gathering.parts import Part
from hawthornfold.gathering.server_ends import EndReaction
from hawthornfold.gathering.server_ends import ServerEnds

# Delay before another try to hedge a part for which there was no repeat budget
# or no server.
_HEDGE_RETRY_MS = 25.0


class Execution(DividedExecution):
    """Tracks one request from its first attempt to its verdict.

    Parameters
    ----------
    decision : Decision
        What the rules decided for the request.
    services : sequence of str
        The service of each part.
    times : ExecutionTimes
        When the request arrived and when its answer is due.
    server_choice : ServerChoice
        Chooses the servers.
    repeat_budgets : sequence of RepeatBudget
        The repeat budget of the service of each part.
    latency_tracker : LatencyTracker
        Typical latencies of exchanges.
    groups : sequence of tuple of int
        Indexes of the parts that other nodes gather, by node.
    is_helper : bool
        As for `CollectedAnswer`.
    suspect_services : sequence of str or None
        If servers have ended under the same request before: their services.
        It is then sent to one server, of these if possible, and to the others
        once that has answered. None if none has ended.
    unserved : UnservedServices, optional
        If other nodes may be asked for what this node has no link for: the
        services for which that is in vain.
    sent_count : int
        Number of attempts at each part that other nodes have made.
    """

    def __init__(
        self,
        decision,
        services,
        times,
        server_choice,
        repeat_budgets,
        latency_tracker,
        groups=(),
        is_helper=False,
        suspect_services=None,
        unserved=None,
        sent_count=0,
    ):
        self._times = times
        parts = [
            Part(service, repeat_budget, sent_count)
            for service, repeat_budget in zip(
                services, repeat_budgets, strict=True
            )
        ]
        self._groups = groups
        self._suspect_services = suspect_services or ()
        self._ends = ServerEnds(len(services), suspect_services is not None)
        # The parts that wait for an answer to another one: for their first
        # attempt, and for another one.
        self._held_starts = []
        self._held_retries = []
        self._part_indexes = {}
        typical_max_ms = latency_tracker.typical_max_ms(decision)
        self._hedge_schedule = HedgeSchedule(
            len(services) - sum(map(len, groups)),
            times.arrived_ms,
            times.answer_ms,
            latency_tracker.typical_ms(decision),
            typical_max_ms,
        )
        super().__init__(
            decision,
            parts,
            CollectedAnswer(decision, parts, times, is_helper),
            server_choice,
            typical_max_ms,
            # A suspect request is sent to one server at a time.
            unserved if suspect_services is None else None,
        )
        self._has_given_up = False
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
    def is_testing(self):
        """Whether the request is sent to one server only, as a suspect."""
        return self._ends.is_testing

    @property
    def collected(self):
        """The `CollectedAnswer` to the parts so far."""
        return self._collected

    def attempt_key(self, attempt):
        """Return a key of an attempt that is unique among all requests."""
        return (id(self), attempt)

    def start(self, now_ms):
        """Start the first attempt of each part that has a server.

        If fewer parts have a server than the rule requires, the request
        cannot be answered and nothing is sent.

        Returns
        -------
        list of Send and SendGroup
        """
        grouped = set(itertools.chain.from_iterable(self._groups))
        own = [i for i in range(len(self._parts)) if i not in grouped]
        chosen = [
            (index, self._server_choice.choose(self._parts[index], now_ms))
            for index in own
        ]
        self.record_sent(now_ms)
        found = 0
        for index, record in chosen:
            part = self._parts[index]
            if record is None and self._may_fail_over(part, now_ms):
                self._failover.add(index, part, now_ms)
            elif not part.sent_count:
                part.repeat_budget.record_request(now_ms)
            found += record is not None or part.is_held
        found += sum(
            1
            for index in grouped
            if not self._server_choice.is_unservable(
                self._parts[index], now_ms
            )
        )
        is_possible = self._collected.is_sufficient(found)
        for index, record in chosen:
            if record is None and not self._parts[index].is_held:
                self._collected.abandon(self._parts[index])
        if not is_possible:
            self._failover.take()
            for part in self._parts:
                part.is_held = False
                self._collected.abandon(part)
            return []
        if self._ends.is_testing:
            return self._start_test(chosen, now_ms)
        actions = [
            self._start_group(group, parts)
            for group, parts in enumerate(self._groups)
        ]
        for index, record in chosen:
            if record is not None:
                actions.append(self._start_attempt(index, record, now_ms))
        if self._failover.is_any_waiting:
            actions += self._start_due_failover(self._failover.due_ms)
        return actions

    def record_sent(self, now_ms):
        """Record when the first attempts of all parts were sent."""
        self._hedge_schedule.record_sent(now_ms)

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
            self._collected.add_records(outcome.response.body)
            self._hedge_schedule.record_answer(now_ms)
            self._collected.record_answer(index, outcome.response, now_ms)
            cancels = [Cancel(other) for other in part.running]
            return cancels + self._release_held(now_ms)
        if outcome.kind is OutcomeKind.FAILED:
            self._collected.record_failure(index, outcome.response)
        sends = self._retry_part(index, part, outcome.kind, now_ms)
        if not sends and self._ends.is_testing:
            sends = self._start_next_test(now_ms)
        return sends

    def handle_server_end(self, attempt, now_ms):
        """Record that the server of an attempt has ended while it ran.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `Send`.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        list of Send
        """
        index = self._part_indexes.pop(attempt)
        part = self._parts[index]
        self._ends.record_end(part.running.pop(attempt))
        part.may_have_run = True
        reaction = self._ends.choose_reaction()
        if reaction is EndReaction.GIVE_UP:
            self._has_given_up = True
        elif part.answer is None and not part.running:
            if reaction is EndReaction.RETRY:
                return self._retry_part(index, part, OutcomeKind.LOST, now_ms)
            part.is_held = True
            self._held_retries.append(index)
        return []

    def start_due_hedges(self, now_ms):
        """Start the hedges that are due and return them as `Send`."""
        schedule = self._hedge_schedule
        sends = self._start_due_failover(now_ms)
        if (
            not self._decision.hedge
            or now_ms < schedule.next_check_ms
            or self._ends.is_testing
            or self._ends.is_unexplained
        ):
            return sends
        schedule.begin_check(now_ms)
        is_due = schedule.is_due(now_ms)
        for index, part in enumerate(self._parts):
            if part.can_be_hedged(now_ms) and (
                is_due or self._server_choice.has_blocked_server(part)
            ):
                sends += self._hedge_part(index, part, now_ms)
        return sends

    def next_wakeup_ms(self, now_ms):
        """Return when hedges or the verdict must be checked next."""
        due = [self._times.deadline_ms, self._failover.due_ms]
        if self._decision.hedge and not self._ends.is_testing:
            due.append(max(self._hedge_schedule.next_check_ms, now_ms))
        if self._times.answer_ms > now_ms:
            due.append(self._times.answer_ms)
        return min(due)

    def free_ms(self, now_ms):
        """Return when enough parts are expected to have a server.

        Returns
        -------
        float or None
            A time on the node's clock; None if it is unknown.
        """
        return self._find_sufficient(self._server_choice.free_ms, now_ms)

    def rate_wait_ms(self, now_ms):
        """Return how long it takes until rate limits have room for it.

        Returns
        -------
        float or None
            Milliseconds; None if the limits are not what it lacks.
        """
        return (
            self._find_sufficient(self._server_choice.rate_wait_ms, now_ms)
            or None
        )

    def try_repeat(self, now_ms):
        """Return whether a failed single request may be sent once more.

        The repeat budget is charged if so.
        """
        part = self._parts[0]
        return (
            self._decision.idempotent
            and part.failure is None
            and part.may_send_again(self._decision.max_servers)
            and self._try_record_repeat(part, now_ms)
        )

    def determine_verdict(self, now_ms):
        """Return the `Verdict`, or None while the request is in progress."""
        if self._has_given_up:
            return Verdict.UNKNOWN
        is_running = (
            bool(self._part_indexes)
            or self._group_attempts.is_any_running
            or self._failover.is_any_waiting
        )
        return self._collected.determine_verdict(is_running, now_ms)

    def _find_sufficient(self, get_time_ms, now_ms):
        """Return the time at which enough of the missing parts are possible.

        Parameters
        ----------
        get_time_ms : callable
            Takes a part and the current time; returns the time for this part.

        Returns
        -------
        float or None
            None if it is unknown.
        """
        missing = [part for part in self._parts if not part.is_achievable]
        achievable_count = len(self._parts) - len(missing)
        times = sorted(get_time_ms(part, now_ms) for part in missing)
        for count, time_ms in enumerate(times, achievable_count + 1):
            if self._collected.is_sufficient(count):
                return time_ms if math.isfinite(time_ms) else None
        return None

    def _start_test(self, chosen, now_ms):
        """Start one part only; the others wait for its answer.

        Parameters
        ----------
        chosen : list of (int, ServerRecord or None)
            The parts and the servers that would be used.
        now_ms : float
            Current time on the node's clock.
        """
        available = [entry for entry in chosen if entry[1] is not None]
        if not available:
            return []
        index, record = min(
            available,
            key=lambda entry: (
                self._parts[entry[0]].service not in self._suspect_services
            ),
        )
        for other, _ in available:
            if other != index:
                self._parts[other].is_held = True
                self._held_starts.append(other)
        return [self._start_attempt(index, record, now_ms)]

    def _start_next_test(self, now_ms):
        """Start another part alone, since the one before has no server."""
        sends = []
        while self._held_starts and not sends and not self._part_indexes:
            index = self._held_starts.pop(0)
            part = self._parts[index]
            part.is_held = False
            sends = self._start_part(index, part, now_ms)
        return sends

    def _release_held(self, now_ms):
        """Start what has waited for an answer to another part."""
        self._ends.record_answer()
        starts, self._held_starts = self._held_starts, []
        retries, self._held_retries = self._held_retries, []
        sends = []
        for index in starts:
            part = self._parts[index]
            part.is_held = False
            sends += self._start_part(index, part, now_ms)
        for index in retries:
            part = self._parts[index]
            part.is_held = False
            sends += self._retry_part(index, part, OutcomeKind.LOST, now_ms)
        if starts:
            self._hedge_schedule.record_sent(now_ms)
        return sends

    def _start_part(self, index, part, now_ms):
        """Start the first attempt of a part that no node has started."""
        record = self._server_choice.choose(part, now_ms)
        if record is None:
            self._abandon_or_fail_over(index, part, now_ms)
            return []
        if not part.sent_count:
            part.repeat_budget.record_request(now_ms)
        return [self._start_attempt(index, record, now_ms)]

    def _start_attempt(self, index, record, now_ms):
        part = self._parts[index]
        attempt = next(self._attempts)
        part.running[attempt] = record.server_id
        part.tried_server_ids.add(record.server_id)
        is_repeat = part.sent_count > 0
        part.sent_count += 1
        self._part_indexes[attempt] = index
        self._server_choice.record_start(
            record, self.attempt_key(attempt), now_ms
        )
        return Send(attempt, index, record, is_repeat)

    def _retry_part(self, index, part, kind, now_ms):
        """Start another attempt after a failure if rule and budget allow."""
        if kind.may_have_run and not self._decision.idempotent:
            self._collected.abandon(part)
            return []
        if kind is OutcomeKind.WITHHELD:
            part.sent_count -= 1
        elif not kind.may_have_run:
            part.not_executed_count += 1
        if kind is OutcomeKind.UNREACHABLE:
            part.is_unreached = True
        if part.running:
            return []
        record, is_moved = None, False
        if now_ms < self._times.deadline_ms:
            if part.may_send_again(self._decision.max_servers):
                record = self._server_choice.choose(part, now_ms)
            is_moved = (
                record is None
                and part.executed_count < self._decision.max_servers
                and self._may_fail_over(part, now_ms)
            )
        # With several attempts, an earlier one may have reached its server.
        may_have_arrived = kind.may_have_arrived or part.sent_count > 1
        if (record is None and not is_moved) or (
            may_have_arrived and not self._try_record_repeat(part, now_ms)
        ):
            self._collected.abandon(part)
            return []
        self._retry_count += 1
        if is_moved:
            self._failover.add(index, part, now_ms)
            return []
        return [self._start_attempt(index, record, now_ms)]

    def _hedge_part(self, index, part, now_ms):
        if not part.may_send_again(self._decision.max_servers):
            return []
        record = self._server_choice.choose(part, now_ms)
        if record is None or not self._try_record_repeat(part, now_ms):
            part.next_hedge_ms = now_ms + _HEDGE_RETRY_MS
            return []
        self._hedge_count += 1
        return [self._start_attempt(index, record, now_ms)]

    def _try_record_repeat(self, part, now_ms):
        is_urgent = self._decision.urgency == 0
        if part.repeat_budget.try_record_repeat(now_ms, is_urgent):
            return True
        self._denied_count += 1
        return False
