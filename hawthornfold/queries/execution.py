"""State machine of one query at its entry node.

Its methods handle events (replies, lost owners, timers) at a given time and
return the sub-requests to send and to cancel. It uses no socket and no green
thread.

Invariants, each checked by tests:

* answers of different snapshots are never merged;
* each shard contributes at most one answer;
* a non-idempotent query sends a shard again only after every earlier attempt
  for it was reported as not run;
* a query that has ended sends nothing.
"""

import typing

from hawthornfold.backends import Ran
from hawthornfold.codes import ResultCode
from hawthornfold.queries.attempts import AttemptKind
from hawthornfold.queries.attempts import AttemptTable
from hawthornfold.queries.progress import SnapshotRun
from hawthornfold.queries.progress import create_outcome
from hawthornfold.routing import plan_fanout

# Maximum number of restarts of a query on another snapshot. Each restart
# repeats all of its sub-requests.
MAX_RESTARTS = 1
# Maximum number of attempts for a shard. Sending a shard elsewhere after
# "did not run" costs no budget, so a limit is needed for a shard that all of
# its replicas keep refusing.
MAX_ATTEMPTS_PER_SHARD = 4
# Share of the deadline after which a query that has reached the coverage
# its rule requires stops waiting for stragglers.
EARLY_STOP_SHARE = 0.8
# Refusals which mean that the server is busy. Sending the work elsewhere at
# once would amplify an overload, so it costs a token of the extra-load
# budget.
_BUSY_CODES = frozenset(
    {
        ResultCode.BACKEND_REFUSED,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_EXCEEDED,
    }
)


class Send(typing.NamedTuple):
    """Action: send shards to a target as a numbered attempt."""

    attempt: int
    server: str
    owner: str
    shards: tuple[str, ...]
    snapshot: str
    kind: AttemptKind


class Cancel(typing.NamedTuple):
    """Action: notify an owner that an attempt is no longer needed."""

    attempt: int
    owner: str


class QueryExecution:
    """One query from its fan-out to its outcome."""

    def __init__(
        self, request, decision, group, selector, chooser, budget, hedge, now
    ):
        self._request = request
        self._decision = decision
        self._group = group
        self._selector = selector
        self._chooser = chooser
        self._budget = budget
        self._deadline_ms = now + decision.deadline_ms
        self._early_stop_ms = now + EARLY_STOP_SHARE * decision.deadline_ms
        self._may_hedge = decision.hedge and decision.idempotent
        self._hedge_delay_ms = hedge.compute_delay_ms(decision.deadline_ms)
        self._attempts = AttemptTable()
        self._run = None
        self._earlier_runs = []
        self._retries = 0
        self._outcome = None

    @property
    def request(self):
        """The `QueryRequest`."""
        return self._request

    @property
    def decision(self):
        """The `Decision` of the matched rule."""
        return self._decision

    @property
    def deadline_ms(self):
        """Latest time at which the query ends, on the node's clock."""
        return self._deadline_ms

    @property
    def outcome(self):
        """The `QueryOutcome`, None while the query runs."""
        return self._outcome

    @property
    def attempts(self):
        """All attempts so far, oldest first."""
        return self._attempts.all_attempts

    def next_timer_ms(self, now_ms):
        """Return the time of the next call of `on_timer`, in milliseconds."""
        due_ms = self._deadline_ms
        if now_ms < self._early_stop_ms:
            due_ms = min(due_ms, self._early_stop_ms)
        if self._may_hedge:
            for attempt in self._attempts.open_attempts:
                if _is_hedgeable(attempt):
                    hedge_ms = attempt.sent_ms + self._hedge_delay_ms
                    due_ms = min(due_ms, hedge_ms)
        return due_ms

    def start(self, now_ms):
        """Pin a snapshot and send the primary sub-requests."""
        layout = self._group.find_layout(self._selector.current_snapshot)
        if layout is None:
            self._set_outcome()
            return []
        return self._pin_snapshot(layout, now_ms)

    def on_reply(self, attempt_number, snapshot, answers, now_ms):
        """Handle a reply with answers; return the resulting actions.

        A reply to an attempt that has ended is ignored. If the reply names
        another snapshot than the pinned one, its answers are dropped and
        the attempt counts as failed.
        """
        attempt = self._attempts.close_attempt(attempt_number, Ran.YES)
        if attempt is None or self._outcome is not None:
            return []
        if snapshot != self._run.layout.snapshot:
            self._run.last_failure_code = ResultCode.BACKEND_BAD_REPLY
            return self._resend_or_end(attempt.shards, True, now_ms)
        for answer in answers:
            if answer.shard in attempt.shards:
                self._run.answers.setdefault(answer.shard, answer)
        actions = self._cancel_superseded(attempt.shards)
        return actions + self._resend_or_end(attempt.shards, True, now_ms)

    def on_failure(self, attempt_number, code, ran, now_ms):
        """Handle a refusal or failure; return the resulting actions."""
        attempt = self._attempts.close_attempt(attempt_number, ran)
        if attempt is None or self._outcome is not None:
            return []
        self._run.last_failure_code = code
        is_extra_load = ran != Ran.NO or code in _BUSY_CODES
        return self._resend_or_end(attempt.shards, is_extra_load, now_ms)

    def on_owner_lost(self, owner, now_ms):
        """Fail the open attempts of an owner that is lost; return actions."""
        lost = [
            attempt.number
            for attempt in self._attempts.open_attempts
            if attempt.target.owner == owner
        ]
        actions = []
        for number in lost:
            actions += self.on_failure(
                number, ResultCode.PEER_UNREACHABLE, Ran.UNKNOWN, now_ms
            )
        return actions

    def on_timer(self, now_ms):
        """Send hedges that are due; end the query if its time is over.

        The query ends at its deadline, or at the early stop if its coverage
        is sufficient by then.
        """
        if self._outcome is not None:
            return []
        if now_ms >= self._deadline_ms:
            return self._end_query(ResultCode.DEADLINE_EXCEEDED)
        if now_ms >= self._early_stop_ms and self._has_required_coverage():
            return self._end_query(ResultCode.PARTIAL)
        if not self._may_hedge:
            return []
        due = [
            attempt
            for attempt in self._attempts.open_attempts
            if _is_hedgeable(attempt)
            and now_ms >= attempt.sent_ms + self._hedge_delay_ms
        ]
        actions = []
        for attempt in due:
            attempt.is_hedged = True
            actions += self._hedge_attempt(attempt, now_ms)
        return actions

    # Sending

    def _pin_snapshot(self, layout, now_ms):
        self._run = SnapshotRun(layout)
        actions = self._send_shards(layout.shards, AttemptKind.PRIMARY, now_ms)
        if not self._attempts.has_open_attempts:
            return actions + self._resend_or_end((), False, now_ms)
        return actions

    def _send_shards(self, shards, kind, now_ms, unresponsive_owner=None):
        """Send each shard to its best target not tried yet.

        Targets of `unresponsive_owner` are used only if no other is left.
        """

        def choose(shard):
            return self._choose_target(shard, now_ms, unresponsive_owner)

        actions = []
        for part in plan_fanout(shards, choose):
            if kind in (AttemptKind.HEDGE, AttemptKind.RETRY):
                if not self._budget.try_take_token(self._decision.urgency):
                    continue
            elif kind is AttemptKind.PRIMARY:
                self._budget.record_primary(
                    1, self._decision.extra_load_percent
                )
            actions.append(self._open_attempt(part, kind, now_ms))
        return actions

    def _open_attempt(self, part, kind, now_ms):
        target = part.target
        attempt = self._attempts.add_attempt(target, part.shards, kind, now_ms)
        for name in part.shards:
            self._run.send_counts[name] += 1
            self._run.tried_targets[name].add(target)
        return Send(
            attempt.number,
            target.server,
            target.owner,
            part.shards,
            self._run.layout.snapshot,
            kind,
        )

    def _choose_target(self, shard, now_ms, unresponsive_owner):
        if self._run.send_counts[shard.name] >= MAX_ATTEMPTS_PER_SHARD:
            return None
        tried = self._run.tried_targets[shard.name]
        last_resort = None
        for target in self._chooser.list_candidates(
            shard, self._run.layout.snapshot, now_ms
        ):
            if target in tried:
                continue
            if target.owner != unresponsive_owner:
                return target
            last_resort = last_resort or target
        return last_resort

    def _hedge_attempt(self, attempt, now_ms):
        shards = [
            self._run.shards[name]
            for name in attempt.shards
            if name not in self._run.answers
        ]
        owner = attempt.target.owner
        unresponsive_owner = None
        if self._chooser.is_unresponsive(owner, attempt.sent_ms):
            unresponsive_owner = owner
        return self._send_shards(
            shards, AttemptKind.HEDGE, now_ms, unresponsive_owner
        )

    # After an attempt

    def _resend_or_end(self, names, is_extra_load, now_ms):
        """Send unanswered shards again if allowed, else end or restart.

        The query ends when all shards are answered, when its coverage is
        sufficient after the early stop, or when no attempt is open and it
        cannot be restarted.

        Parameters
        ----------
        names : iterable of str
            Shards of the attempt that has just ended.
        is_extra_load : bool
            Whether sending again costs a token of the extra-load budget.
        """
        if len(self._run.answers) == len(self._run.shards):
            return self._end_query(ResultCode.OK)
        if now_ms >= self._early_stop_ms and self._has_required_coverage():
            return self._end_query(ResultCode.PARTIAL)
        actions = []
        unanswered = [n for n in names if n not in self._run.answers]
        if unanswered:
            pending = self._attempts.pending_shards()
            to_resend = [
                self._run.shards[name]
                for name in unanswered
                if name not in pending
            ]
            actions += self._resend_shards(to_resend, is_extra_load, now_ms)
        if not self._attempts.has_open_attempts:
            restarted = self._restart_query(now_ms)
            if restarted is not None:
                return actions + restarted
            return actions + self._end_query(self._run.last_failure_code)
        return actions

    def _resend_shards(self, shards, is_extra_load, now_ms):
        allowed = [shard for shard in shards if self._may_resend(shard)]
        if not is_extra_load:
            return self._send_shards(allowed, AttemptKind.REROUTE, now_ms)
        if self._retries >= self._decision.max_retries * len(self._run.shards):
            return []
        self._retries += len(allowed)
        return self._send_shards(allowed, AttemptKind.RETRY, now_ms)

    def _may_resend(self, shard):
        if self._decision.idempotent:
            return True
        return self._attempts.ran_for_shard(shard.name) is Ran.NO

    def _cancel_superseded(self, names):
        """Cancel open attempts whose shards were all answered by others.

        Parameters
        ----------
        names : iterable of str
            Shards that were just answered. If each of them was sent only
            once, no other attempt covers them and there is nothing to
            cancel.
        """
        if all(self._run.send_counts[name] == 1 for name in names):
            return []
        answers = self._run.answers
        done = [
            attempt
            for attempt in self._attempts.open_attempts
            if all(name in answers for name in attempt.shards)
        ]
        return self._cancel_attempts(done)

    def _cancel_attempts(self, attempts):
        actions = []
        for attempt in attempts:
            self._attempts.close_attempt(attempt.number, Ran.UNKNOWN)
            actions.append(Cancel(attempt.number, attempt.target.owner))
        return actions

    # Restarting and ending

    def _restart_query(self, now_ms):
        """Start over on another snapshot; return None if not possible."""
        if self._decision.snapshot_policy != 'restart':
            return None
        if len(self._earlier_runs) >= MAX_RESTARTS:
            return None
        if not self._decision.idempotent and self._attempts.ran is not Ran.NO:
            return None
        tried = {run.layout.snapshot for run in self._earlier_runs}
        tried.add(self._run.layout.snapshot)
        alternatives = self._selector.list_alternatives(tried, now_ms)
        if not alternatives:
            return None
        layout = self._group.find_layout(alternatives[0])
        share = self._selector.compute_reachable_share(layout, now_ms)
        if share <= self._run.covered_share:
            return None
        self._earlier_runs.append(self._run)
        return self._pin_snapshot(layout, now_ms)

    def _has_required_coverage(self):
        if self._run is None or not self._run.answers:
            return False
        return self._run.coverage().reaches(self._decision.coverage_percent)

    def _end_query(self, code):
        actions = self._cancel_attempts(self._attempts.open_attempts)
        self._set_outcome(code)
        return actions

    def _set_outcome(self, code=ResultCode.SNAPSHOT_UNAVAILABLE):
        runs = list(self._earlier_runs)
        if self._run is not None:
            runs.append(self._run)
        self._outcome = create_outcome(
            runs, self._decision, code, self._attempts.ran
        )


def _is_hedgeable(attempt):
    return attempt.kind is not AttemptKind.HEDGE and not attempt.is_hedged


def create_query_execution(
    request, decision, group, selector, chooser, budget, hedge, now_ms
):
    """Create the execution of one query.

    Parameters
    ----------
    request : QueryRequest
        The query.
    decision : Decision
        How the matched rule says to treat the query.
    group : ServiceGroup
        The group that serves the query.
    selector : SnapshotSelector
        Selects the snapshot to pin.
    chooser : TargetChooser
        Lists the targets of a shard, best first.
    budget : ExtraLoadBudget
        Limits hedges and retries.
    hedge : HedgeDelayEstimator
        Time after which an attempt is hedged.
    now_ms : float
        Arrival time of the query, on the node's clock.
    """
    return QueryExecution(
        request, decision, group, selector, chooser, budget, hedge, now_ms
    )
