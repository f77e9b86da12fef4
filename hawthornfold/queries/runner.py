"""Runs queries at the node that received them, their entry node.

The runner carries out the actions of each `QueryExecution` and passes it the
owners' replies, the timers and the loss of owners.
"""

import eventlet
from eventlet import hubs
import eventlet.event
import logbook
import xxhash

from hawthornfold.backends import Ran
from hawthornfold.backends import decode_answers
from hawthornfold.codes import ResultCode
from hawthornfold.hedging import create_extra_load_budget
from hawthornfold.owners import messages
from hawthornfold.queries import outcomes
from hawthornfold.queries.attempts import AttemptKind
from hawthornfold.queries.execution import Cancel
from hawthornfold.queries.execution import create_query_execution
from hawthornfold.queries.targets import create_target_chooser
from hawthornfold.routing import create_replica_ranker
from hawthornfold.shedding import compute_priority

# Added to each timer: one that fires slightly early finds nothing due and has
# to be set again.
TIMER_SLACK_MS = 0.2
# Refusals that affect the whole server. Other replicas are preferred for a
# while.
_SERVER_REFUSALS = frozenset(
    {
        ResultCode.BACKEND_DRAINING,
        ResultCode.BACKEND_BREAKER_OPEN,
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.BACKEND_SILENT,
    }
)
# Results of attempts whose queue wait indicates the load of the servers.
_QUEUE_WAIT_CODES = frozenset(
    {
        ResultCode.OK,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_EXCEEDED,
    }
)

_LOG = logbook.Logger('queries')


def compute_order(request_id):
    """Return the hash that orders queries of equal urgency.

    Admission and the owners' queues use the same order, so that under
    overload all of them favour the same queries.

    Examples
    --------
    >>> 0 <= compute_order('r1') < 2 ** 32
    True
    """
    return xxhash.xxh32_intdigest(request_id.encode())


class _RunningQuery:
    """A query in progress, with its timer and the event of its end."""

    __slots__ = ('execution', 'group_state', 'timer', 'ended')

    def __init__(self, execution, group_state):
        self.execution = execution
        self.group_state = group_state
        self.timer = None
        self.ended = eventlet.event.Event()


class QueryRunner:
    """Runs and tracks the queries in progress at this node."""

    def __init__(self, context):
        self._node = context.settings.node.name
        self._max_in_flight = context.settings.callers.max_in_flight
        self._clock = context.clock
        self._links = context.links
        self._policy = context.policy
        self._groups = context.groups
        self._membership = context.membership
        self._metrics = context.metrics
        self._journal = context.journal
        self._owner_service = context.owner_service
        self._ranker = create_replica_ranker()
        self._budget = create_extra_load_budget()
        self._running = {}
        self._last_reply_ms = {}
        self._members = {}
        self.refresh_members()

    @property
    def in_flight(self):
        """Number of queries in progress."""
        return len(self._running)

    @property
    def budget(self):
        """The `ExtraLoadBudget` of this node."""
        return self._budget

    def refresh_members(self):
        """Update the live members; fail the open attempts of lost owners."""
        members = {m.name: m for m in self._membership.members}
        lost = [
            name
            for name, member in self._members.items()
            if self._is_lost(name, member, members)
        ]
        self._members = members
        now_ms = self._clock.now_ms()
        for name in lost:
            self._last_reply_ms.pop(name, None)
            for query in list(self._running.values()):
                actions = query.execution.on_owner_lost(name, now_ms)
                self._perform_actions(query, actions, now_ms)

    def _is_lost(self, name, member, members):
        if name in members:
            return members[name].incarnation != member.incarnation
        # An owner that leaves as planned still answers the work it accepted.
        # Failing its attempts would break off non-idempotent requests.
        return not self._membership.has_left(name)

    def run(self, request, decision):
        """Run a query until it ends; return its `QueryOutcome`."""
        now_ms = self._clock.now_ms()
        group_state = self._groups.find_state(request.service)
        if group_state is None:
            return outcomes.create_refused_outcome(
                ResultCode.SERVICE_UNKNOWN, f'no group {request.service}'
            )
        refusal = self._check_admission(request, decision, group_state, now_ms)
        if refusal is not None:
            return refusal
        self._groups.select_snapshot(group_state, now_ms)
        chooser = create_target_chooser(
            group_state.group,
            group_state.selector,
            self._ranker,
            self._policy,
            self._last_reply_ms,
        )
        execution = create_query_execution(
            request,
            decision,
            group_state.group,
            group_state.selector,
            chooser,
            self._budget,
            group_state.hedge_delays[decision.urgency],
            now_ms,
        )
        query = _RunningQuery(execution, group_state)
        self._running[request.request_id] = query
        try:
            self._perform_actions(query, execution.start(now_ms), now_ms)
            if execution.outcome is None:
                query.ended.wait()
        finally:
            del self._running[request.request_id]
            if query.timer is not None:
                query.timer.cancel()
        return execution.outcome

    # Events

    def handle_reply(self, owner, reply):
        """Handle a `WorkReply` from the node `owner`."""
        now_ms = self._clock.now_ms()
        self._last_reply_ms[owner] = now_ms
        self._record_server_reply(reply, now_ms)
        query = self._running.get(reply.request_id)
        if query is None:
            self._metrics.count('late_replies')
            return
        execution = query.execution
        self._record_wait_and_latency(query, reply, now_ms)
        self._journal.add(
            reply.request_id,
            'answer' if reply.code == 0 else 'failure',
            reply.server,
            f'attempt {reply.attempt} code {reply.code} ran {reply.ran} '
            f'wait {reply.wait_ms:.1f} ms service {reply.service_ms:.1f} ms '
            f'{reply.detail}',
        )
        answers = decode_answers(reply.body) if reply.code == 0 else None
        if answers is not None:
            actions = execution.on_reply(
                reply.attempt, reply.snapshot, answers, now_ms
            )
        else:
            code = ResultCode(reply.code or ResultCode.BACKEND_BAD_REPLY)
            ran = Ran.YES if reply.code == 0 else Ran(reply.ran)
            actions = execution.on_failure(reply.attempt, code, ran, now_ms)
        self._perform_actions(query, actions, now_ms)

    def _on_timer(self, query):
        query.timer = None
        now_ms = self._clock.now_ms()
        try:
            actions = query.execution.on_timer(now_ms)
            self._perform_actions(query, actions, now_ms)
        except Exception as error:  # noqa: BLE001
            # Timers run in the event loop, where the error would be lost.
            # Pass it to the green thread that waits for the query.
            self._metrics.count('query_internal_errors')
            _LOG.exception('query failed with an internal error')
            if not query.ended.ready():
                query.ended.send_exception(error)

    # Admission

    def _check_admission(self, request, decision, group_state, now_ms):
        """Return the refusal if the query has to be shed, else None."""
        priority = compute_priority(decision.urgency, request.order)
        admission = group_state.admission
        admission.record_arrival(priority, now_ms)
        if not admission.admits(priority):
            self._metrics.count('queries_shed', reason='queue-delay')
            return outcomes.create_refused_outcome(
                ResultCode.OVERLOADED, 'the servers of the group are busy'
            )
        if len(self._running) >= self._max_in_flight:
            self._metrics.count('queries_shed', reason='in-flight')
            return outcomes.create_refused_outcome(
                ResultCode.OVERLOADED, 'the node has too many queries'
            )
        return None

    # Estimates

    def _record_server_reply(self, reply, now_ms):
        """Update the estimates for the server that a reply is about."""
        code = reply.code
        if code == 0:
            self._ranker.record_reply(
                reply.server, reply.service_ms, reply.depth, now_ms
            )
        elif code in _SERVER_REFUSALS:
            self._ranker.record_refusal(reply.server, now_ms)
        else:
            self._ranker.record_failure(reply.server)
        query = self._running.get(reply.request_id)
        if query is None:
            return
        if reply.incarnation:
            query.group_state.selector.record_held_snapshots(
                reply.server, reply.held, now_ms
            )
        if code in _SERVER_REFUSALS:
            query.group_state.selector.mark_unusable(reply.server, now_ms)

    def _record_wait_and_latency(self, query, reply, now_ms):
        execution = query.execution
        if reply.code in _QUEUE_WAIT_CODES:
            # This includes work that waited in an owner's queue and was then
            # refused: that is the clearest sign of overload.
            query.group_state.admission.record_wait(
                execution.decision.urgency,
                reply.wait_ms,
                execution.decision.deadline_ms,
                now_ms,
            )
        if reply.code != 0 or reply.attempt > len(execution.attempts):
            return
        attempt = execution.attempts[reply.attempt - 1]
        if attempt.kind is AttemptKind.PRIMARY:
            delay = query.group_state.hedge_delays[execution.decision.urgency]
            delay.record_latency(now_ms - attempt.sent_ms)

    # Actions

    def _perform_actions(self, query, actions, now_ms):
        """Carry out actions; then end the query or set its next timer."""
        execution = query.execution
        if actions:
            self._send_actions(query, actions, now_ms)
        if execution.outcome is not None:
            if not query.ended.ready():
                query.ended.send(None)
            return
        if query.timer is not None and not actions:
            # The current timer cannot be too late, only unnecessary: without
            # new attempts, replies only remove reasons for a timer.
            return
        due_ms = execution.next_timer_ms(now_ms)
        if query.timer is not None:
            if query.timer.due_ms <= due_ms + TIMER_SLACK_MS:
                return
            query.timer.cancel()
        query.timer = _Timer(
            due_ms,
            hubs.get_hub().schedule_call_global(
                max(0.0, due_ms - now_ms + TIMER_SLACK_MS) / 1000.0,
                self._on_timer,
                query,
            ),
        )

    def _send_actions(self, query, actions, now_ms):
        parts = {}
        cancels = {}
        for action in actions:
            if isinstance(action, Cancel):
                cancels.setdefault(action.owner, []).append(action.attempt)
                continue
            parts.setdefault((action.owner, action.snapshot), []).append(
                messages.WorkPart(action.attempt, action.server, action.shards)
            )
            self._ranker.record_sent(action.server)
            self._metrics.count('sub_requests', kind=action.kind.value)
            self._journal.add(
                query.execution.request.request_id,
                action.kind.value,
                action.server,
                f'attempt {action.attempt} by owner {action.owner} shards '
                f'{",".join(action.shards)} snapshot {action.snapshot}',
            )
        for (owner, snapshot), owner_parts in parts.items():
            self._send_work(query, owner, snapshot, owner_parts, now_ms)
        request_id = query.execution.request.request_id
        for owner, attempts in cancels.items():
            self._send_message(
                owner, messages.CancelWork(request_id, tuple(attempts))
            )

    def _send_work(self, query, owner, snapshot, parts, now_ms):
        execution = query.execution
        request = execution.request
        work = messages.Work(
            request.request_id,
            request.service,
            snapshot,
            request.kind,
            request.text,
            request.limit,
            execution.decision.urgency,
            request.order,
            execution.deadline_ms - now_ms,
            execution.decision.idempotent,
            tuple(parts),
        )
        if self._send_message(owner, work):
            return
        # The message could not be sent, so no part of it left this node.
        for part in parts:
            eventlet.spawn_n(
                self._fail_unsent_attempt, query, part.attempt, part.server
            )

    def _fail_unsent_attempt(self, query, attempt, server):
        now_ms = self._clock.now_ms()
        self._ranker.record_failure(server)
        actions = query.execution.on_failure(
            attempt, ResultCode.PEER_UNREACHABLE, Ran.NO, now_ms
        )
        self._perform_actions(query, actions, now_ms)

    def _send_message(self, owner, body):
        """Send a message to an owner; return False if it was not sent."""
        if owner == self._node:
            sender = self._local_sender()
            if isinstance(body, messages.Work):
                # In a separate green thread: a refusal replies at once, which
                # would be before this call has set the query's timer.
                eventlet.spawn_n(self._owner_service.handle_work, sender, body)
            else:
                self._owner_service.handle_cancel(sender, body)
            return True
        member = self._members.get(owner)
        if member is None:
            return False
        return self._links.send(owner, member.address, body)

    def _local_sender(self):
        return self._members.get(self._node, _LocalSender(self._node))


class _LocalSender:
    """Represents this node as the sender of work to itself."""

    __slots__ = ('name', 'address')

    def __init__(self, name):
        self.name = name
        self.address = ''


class _Timer:
    """A hub timer together with the time at which it is due."""

    __slots__ = ('due_ms', '_timer')

    def __init__(self, due_ms, timer):
        self.due_ms = due_ms
        self._timer = timer

    def cancel(self):
        """Cancel the timer; has no effect after it has fired."""
        self._timer.cancel()


def create_query_runner(context):
    """Create the query runner from the node's context."""
    return QueryRunner(context)
