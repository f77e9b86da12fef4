"""The state machine of one query at its entry node.

It takes the time and events (replies, lost owners, timers) and returns the
sub-requests to send and to cancel. It owns no socket and no green thread.

Invariants, each checked by tests:

* answers of one snapshot only are ever merged;
* a shard is answered at most once;
* a non-idempotent query sends a shard again only after every earlier attempt
  for it was reported as not run;
* a query that has ended sends nothing.
"""

import typing

from hawthornfold.backends import Ran
from hawthornfold.codes import ResultCode
from hawthornfold.queries.attempts import AttemptBook
from hawthornfold.queries.attempts import AttemptKind
from hawthornfold.queries.progress import SnapshotRun
from hawthornfold.queries.progress import conclude
from hawthornfold.routing import plan_fanout

# A query is restarted on another snapshot at most this often; each restart
# repeats all of its sub-requests.
MAX_RESTARTS = 1
# Re-routes after "did not run" are free of charge, but a shard whose
# replicas all keep refusing must end.
MAX_TRIES_PER_SHARD = 4
# After this part of the deadline a query that has reached the coverage of
# its rule stops waiting for stragglers.
EARLY_STOP_SHARE = 0.8
# Refusals that say the server is busy; sending the work elsewhere at once
# would amplify an overload, so it costs a token of the extra-load budget.
_BUSY_CODES = frozenset(
    {
        ResultCode.BACKEND_REFUSED,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_EXCEEDED,
    }
)


class Send(typing.NamedTuple):
    """Send shards to a target as a numbered attempt."""

    attempt: int
    server: str
    owner: str
    shards: tuple[str, ...]
    snapshot: str
    kind: AttemptKind


class Cancel(typing.NamedTuple):
    """Tell an owner that an attempt is no longer wanted."""

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
        self._book = AttemptBook()
        self._run = None
        self._ended_runs = []
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
        """When the answer is due, on the node's clock."""
        return self._deadline_ms

    @property
    def outcome(self):
        """The `QueryOutcome`, None while the query runs."""
        return self._outcome

    @property
    def attempts(self):
        """All attempts so far, oldest first."""
        return self._book.all

    def next_timer_ms(self, now_ms):
        """Return when `on_timer` is due next."""
        due_ms = self._deadline_ms
        if now_ms < self._early_stop_ms:
            due_ms = min(due_ms, self._early_stop_ms)
        if self._may_hedge:
            for attempt in self._book.open_attempts:
                if _is_hedgeable(attempt):
                    hedge_ms = attempt.sent_ms + self._hedge_delay_ms
                    due_ms = min(due_ms, hedge_ms)
        return due_ms

    def start(self, now_ms):
        """Pin a snapshot and send the primary sub-requests."""
        layout = self._group.find_layout(self._selector.current)
        if layout is None:
            self._finish()
            return []
        return self._pin(layout, now_ms)

    def on_reply(self, attempt_number, snapshot, answers, now_ms):
        """Take an answer; return the actions it leads to.

        Replies to attempts that have ended, and answers that name another
        snapshot than the attempt's, change nothing.
        """
        attempt = self._book.close(attempt_number, Ran.YES)
        if attempt is None or self._outcome is not None:
            return []
        if snapshot != self._run.layout.snapshot:
            self._run.last_code = ResultCode.BACKEND_BAD_REPLY
            return self._settle(attempt.shards, True, now_ms)
        for answer in answers:
            if answer.shard in attempt.shards:
                self._run.answers.setdefault(answer.shard, answer)
        actions = self._cancel_superseded(attempt.shards)
        return actions + self._settle(attempt.shards, True, now_ms)

    def on_failure(self, attempt_number, code, ran, now_ms):
        """Take a refusal or failure; return the actions it leads to."""
        attempt = self._book.close(attempt_number, ran)
        if attempt is None or self._outcome is not None:
            return []
        self._run.last_code = code
        is_costly = ran != Ran.NO or code in _BUSY_CODES
        return self._settle(attempt.shards, is_costly, now_ms)

    def on_owner_lost(self, owner, now_ms):
        """Fail the open attempts of an owner that is no longer a member."""
        lost = [
            attempt.number
            for attempt in self._book.open_attempts
            if attempt.target.owner == owner
        ]
        actions = []
        for number in lost:
            actions += self.on_failure(
                number, ResultCode.PEER_UNREACHABLE, Ran.UNKNOWN, now_ms
            )
        return actions

    def on_timer(self, now_ms):
        """Send hedges that are due; end the query at its deadline."""
        if self._outcome is not None:
            return []
        if now_ms >= self._deadline_ms:
            return self._end(ResultCode.DEADLINE_EXCEEDED)
        if now_ms >= self._early_stop_ms and self._has_enough():
            return self._end(ResultCode.PARTIAL)
        if not self._may_hedge:
            return []
        due = [
            attempt
            for attempt in self._book.open_attempts
            if _is_hedgeable(attempt)
            and now_ms >= attempt.sent_ms + self._hedge_delay_ms
        ]
        actions = []
        for attempt in due:
            attempt.is_hedged = True
            actions += self._hedge(attempt, now_ms)
        return actions

    # Sending

    def _pin(self, layout, now_ms):
        self._run = SnapshotRun(layout)
        actions = self._send(layout.shards, AttemptKind.PRIMARY, now_ms)
        if not self._book.has_open:
            return actions + self._settle((), False, now_ms)
        return actions

    def _send(self, shards, kind, now_ms, silent_owner=None):
        """Send each shard to its best target that was not tried yet.

        Targets of `silent_owner` come last.
        """

        def choose(shard):
            return self._next_target(shard, now_ms, silent_owner)

        actions = []
        for part in plan_fanout(shards, choose):
            if kind in (AttemptKind.HEDGE, AttemptKind.RETRY):
                if not self._budget.try_take_token(self._decision.urgency):
                    continue
            elif kind is AttemptKind.PRIMARY:
                self._budget.record_primary(
                    1, self._decision.extra_load_percent
                )
            actions.append(self._open(part, kind, now_ms))
        return actions

    def _open(self, part, kind, now_ms):
        target = part.target
        attempt = self._book.open(target, part.shards, kind, now_ms)
        for name in part.shards:
            self._run.tries[name] += 1
            self._run.tried[name].add(target)
        return Send(
            attempt.number,
            target.server,
            target.owner,
            part.shards,
            self._run.layout.snapshot,
            kind,
        )

    def _next_target(self, shard, now_ms, silent_owner):
        if self._run.tries[shard.name] >= MAX_TRIES_PER_SHARD:
            return None
        tried = self._run.tried[shard.name]
        last_resort = None
        for target in self._chooser.candidates(
            shard, self._run.layout.snapshot, now_ms
        ):
            if target in tried:
                continue
            if target.owner != silent_owner:
                return target
            last_resort = last_resort or target
        return last_resort

    def _hedge(self, attempt, now_ms):
        shards = [
            self._run.shards[name]
            for name in attempt.shards
            if name not in self._run.answers
        ]
        owner = attempt.target.owner
        silent_owner = None
        if self._chooser.is_silent(owner, attempt.sent_ms):
            silent_owner = owner
        return self._send(shards, AttemptKind.HEDGE, now_ms, silent_owner)

    # Settling

    def _settle(self, names, is_costly, now_ms):
        """Send unanswered shards again where allowed; end when all is done.

        Parameters
        ----------
        names : iterable of str
            Shards of the attempt that has just ended.
        is_costly : bool
            Whether sending again is extra load.
        """
        if len(self._run.answers) == len(self._run.shards):
            return self._end(ResultCode.OK)
        if now_ms >= self._early_stop_ms and self._has_enough():
            return self._end(ResultCode.PARTIAL)
        actions = []
        unanswered = [n for n in names if n not in self._run.answers]
        if unanswered:
            pending = self._book.pending_shards()
            orphaned = [
                self._run.shards[name]
                for name in unanswered
                if name not in pending
            ]
            actions += self._resend(orphaned, is_costly, now_ms)
        if not self._book.has_open:
            restarted = self._restart(now_ms)
            if restarted is not None:
                return actions + restarted
            return actions + self._end(self._run.last_code)
        return actions

    def _resend(self, shards, is_costly, now_ms):
        allowed = [shard for shard in shards if self._may_resend(shard)]
        if not is_costly:
            return self._send(allowed, AttemptKind.REROUTE, now_ms)
        if self._retries >= self._decision.max_retries * len(self._run.shards):
            return []
        self._retries += len(allowed)
        return self._send(allowed, AttemptKind.RETRY, now_ms)

    def _may_resend(self, shard):
        if self._decision.idempotent:
            return True
        return self._book.ran_of(shard.name) is Ran.NO

    def _cancel_superseded(self, names):
        """Cancel attempts all of whose shards were answered elsewhere.

        Parameters
        ----------
        names : iterable of str
            Shards that were just answered. Only shards that were sent more
            than once can make another attempt superfluous.
        """
        if all(self._run.tries[name] == 1 for name in names):
            return []
        answers = self._run.answers
        done = [
            attempt
            for attempt in self._book.open_attempts
            if all(name in answers for name in attempt.shards)
        ]
        return self._cancel(done)

    def _cancel(self, attempts):
        actions = []
        for attempt in attempts:
            self._book.close(attempt.number, Ran.UNKNOWN)
            actions.append(Cancel(attempt.number, attempt.target.owner))
        return actions

    # Restarting and ending

    def _restart(self, now_ms):
        """Start over on another snapshot; None when that is not allowed."""
        if self._decision.snapshot_policy != 'restart':
            return None
        if len(self._ended_runs) >= MAX_RESTARTS:
            return None
        if not self._decision.idempotent and self._book.ran is not Ran.NO:
            return None
        tried = {run.layout.snapshot for run in self._ended_runs}
        tried.add(self._run.layout.snapshot)
        alternatives = self._selector.list_alternatives(tried, now_ms)
        if not alternatives:
            return None
        layout = self._group.find_layout(alternatives[0])
        share = self._selector.share(layout, now_ms)
        if share <= self._run.covered_share:
            return None
        self._ended_runs.append(self._run)
        return self._pin(layout, now_ms)

    def _has_enough(self):
        if self._run is None or not self._run.answers:
            return False
        return self._run.coverage().reaches(self._decision.coverage_percent)

    def _end(self, code):
        actions = self._cancel(self._book.open_attempts)
        self._finish(code)
        return actions

    def _finish(self, code=ResultCode.SNAPSHOT_UNAVAILABLE):
        runs = list(self._ended_runs)
        if self._run is not None:
            runs.append(self._run)
        self._outcome = conclude(runs, self._decision, code, self._book.ran)


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
        How the matched rule treats it.
    group : ServiceGroup
        The group that serves it.
    selector : SnapshotSelector
        Names the snapshot to pin.
    chooser : TargetChooser
        Orders the targets of a shard.
    budget : ExtraLoadBudget
        Pays for hedges and retries.
    hedge : HedgeDelayEstimator
        When to hedge.
    now_ms : float
        Arrival of the query.
    """
    return QueryExecution(
        request, decision, group, selector, chooser, budget, hedge, now_ms
    )
