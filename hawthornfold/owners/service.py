"""Dispatches sub-requests to the backend servers that this node owns.

For each server the owner keeps one queue and dispatches within the server's
slots and the owner's share of its connections. Unless it crashes, it replies
to every attempt that it receives: with the server's answer, with a refusal
that says whether the attempt ran, or with a failure.
"""

import collections

import eventlet
import logbook
from result import Err

from hawthornfold.backends import ExchangeFailure
from hawthornfold.backends import Ran
from hawthornfold.codes import ResultCode
from hawthornfold.owners.health import HealthMonitor
from hawthornfold.owners.notices import create_drain_notifier
from hawthornfold.owners.ownership import Ownership
from hawthornfold.owners.state import Job
from hawthornfold.owners.state import JobKey
from hawthornfold.owners.state import ServerState

TICK_MS = 100.0
# Number of ended non-idempotent attempts that are remembered, so that a
# duplicate message does not run one again. The network delivers duplicates
# within seconds; this number covers minutes of non-idempotent work.
MAX_FINISHED_ATTEMPTS = 20_000

_LOG = logbook.Logger('owners')


class OwnerService:
    """Implements the owner role of one node."""

    def __init__(self, context):
        self._node = context.settings.node.name
        self._clock = context.clock
        self._links = context.links
        self._policy = context.policy
        self._groups = context.groups
        self._drains = context.drains
        self._pause_guard = context.pause_guard
        self._metrics = context.metrics
        self._audit = context.audit
        self._membership = context.membership
        self._states = {}
        self._jobs = {}
        # Keys of non-idempotent attempts that ended, oldest first.
        self._finished = collections.OrderedDict()
        self._local_reply_handler = None
        self._is_ownership_stale = True
        self._health = HealthMonitor(self, context)
        self._notifier = create_drain_notifier(context)
        self._ownership = Ownership(self, self._notifier, context)

    @property
    def in_flight(self):
        """Number of attempts that are queued or run."""
        return len(self._jobs)

    @property
    def states(self):
        """The `ServerState` objects by server name."""
        return self._states

    def set_local_reply_handler(self, callback):
        """Register ``callback(reply)`` for attempts that this node sent."""
        self._local_reply_handler = callback

    def mark_ownership_stale(self):
        """Recompute ownership at the next tick.

        Called when members or service groups have changed.
        """
        self._is_ownership_stale = True

    # Messages

    def handle_work(self, sender, work):
        """Queue the attempts of a `Work` message."""
        now_ms = self._clock.now_ms()
        touched = []
        for part in work.parts:
            state = self._enqueue(sender, work, part, now_ms)
            if state is not None:
                touched.append(state)
        for state in touched:
            self.dispatch(state)

    def handle_cancel(self, sender, cancel):
        """Cancel the attempts of a `CancelWork` message."""
        for attempt in cancel.attempts:
            key = JobKey(sender.name, cancel.request_id, attempt)
            job = self._jobs.get(key)
            if job is None:
                continue
            job.is_cancelled = True
            if job.connection is not None:
                job.connection.abort()
                continue
            state = self._states.get(job.part.server)
            if state is not None and state.queue.cancel(job.sequence):
                self._refuse(job, ResultCode.CANCELLED, 'cancelled in queue')

    def handle_drain_notice(self, sender, notice):
        """Handle another owner's notice of a draining server."""
        self.handle_drain_refusal(
            notice.server, notice.incarnation, sender.name
        )

    # Draining

    def handle_drain_refusal(self, server, incarnation, cause):
        """Record that a server refuses work because it drains.

        Parameters
        ----------
        server : str
            Name of the server.
        incarnation : str
            Incarnation that refused; empty when it is not known.
        cause : str
            Node that received the refusal, for the audit trail.
        """
        was_draining = self._drains.is_draining(server)
        self._drains.record_refusal(server, incarnation, self._clock.now_ms())
        if not was_draining and self._drains.is_draining(server):
            self.handle_drain_start(server, f'refusal seen by {cause}')

    def handle_drain_start(self, server, cause):
        """Refuse a server's queued attempts and notify its other owners."""
        self._audit.record('drain', server, 'active', 'draining', cause)
        state = self._states.get(server)
        if state is None:
            return
        self._refuse_waiting(state)
        state.notified_owners.clear()
        self._notifier.notify_owners(state)

    def _refuse_waiting(self, state):
        for item in state.queue.clear():
            self._refuse(
                item.payload, ResultCode.BACKEND_DRAINING, 'server drains'
            )

    # Dispatch

    def _enqueue(self, sender, work, part, now_ms):
        job = Job(sender, work, part, now_ms)
        state = self._get_or_create_state(work.group, part.server, now_ms)
        if state is None:
            self._refuse(job, ResultCode.NOT_OWNER, 'server is not owned')
            return None
        if self._drains.is_draining(part.server):
            self._refuse(job, ResultCode.BACKEND_DRAINING, 'server drains')
            return None
        if state.diagnosis.is_open:
            self._refuse(job, ResultCode.BACKEND_BREAKER_OPEN, 'breaker open')
            return None
        if state.incarnation and work.snapshot not in state.held:
            self._refuse(job, ResultCode.BACKEND_SNAPSHOT, 'not held')
            return None
        if job.key in self._jobs or job.key in self._finished:
            # A duplicate message must not run the attempt again.
            self._metrics.count('owner_duplicate_work')
            return None
        job.sequence, evicted = state.queue.push(
            work.urgency, job.deadline_ms, work.order, now_ms, job
        )
        if job.sequence is None:
            self._refuse(job, ResultCode.QUEUE_FULL, 'queue is full')
            return None
        self._jobs[job.key] = job
        if evicted is not None:
            self._refuse(evicted.payload, ResultCode.QUEUE_FULL, 'evicted')
        return state

    def _get_or_create_state(self, group_name, server_name, now_ms):
        state = self._states.get(server_name)
        if state is not None:
            return state
        group = self._groups.find(group_name)
        server = None if group is None else group.servers.get(server_name)
        if server is None or not self._policy.is_owner(self._node, server):
            return None
        return self.add_server(group_name, server)

    def add_server(self, group_name, server):
        """Create the queue and connections of a server; return its state."""
        state = ServerState(group_name, server, self._policy, self._clock)
        self._states[server.name] = state
        return state

    def remove_server(self, name):
        """Close a server and refuse its queued attempts as not run."""
        state = self._states.pop(name)
        for job in state.close():
            self._refuse(job, ResultCode.NOT_OWNER, 'owner changed')

    def dispatch(self, state):
        """Start queued attempts up to the number of free slots."""
        while True:
            now_ms = self._clock.now_ms()
            item, expired = state.queue.pop(now_ms)
            for expired_item in expired:
                self._refuse(
                    expired_item.payload,
                    ResultCode.DEADLINE_EXCEEDED,
                    'deadline passed in the queue',
                )
            if item is None:
                return
            eventlet.spawn_n(self._run, state, item)

    def _run(self, state, item):
        """Run one attempt; called in a separate green thread."""
        job = item.payload
        started_ms = self._clock.now_ms()
        if state.pool.has_lost_connections:
            state.suspect_restart(started_ms)
        if state.is_over_slots and self._states.get(job.part.server) is state:
            # The slots were reduced after the item was taken. The last of
            # the items that were taken too early runs, then the others.
            self._put_back(state, item)
            return
        service_ms = None
        try:
            outcome = self._execute(state, job, started_ms)
            if outcome.is_ok():
                service_ms = self._clock.now_ms() - started_ms
        except Exception as error:  # noqa: BLE001
            # After any error, the slot must be freed and the entry node must
            # receive a reply.
            self._metrics.count('owner_internal_errors')
            _LOG.exception('attempt failed with an internal error')
            outcome = _failure(ResultCode.INTERNAL, Ran.UNKNOWN, repr(error))
        state.queue.finish(service_ms)
        self._complete_attempt(state, job, outcome, started_ms)
        self.dispatch(state)

    def _put_back(self, state, item):
        state.queue.put_back(item)
        if self._drains.is_draining(state.server.name):
            self._refuse_waiting(state)

    def _execute(self, state, job, now_ms):
        if job.is_cancelled:
            return _failure(ResultCode.CANCELLED, Ran.NO, 'cancelled')
        # After a pause, this node's queues, drain flags and ownership may be
        # outdated, so nothing is sent until they are refreshed.
        if self._pause_guard.is_stale(now_ms):
            return _failure(ResultCode.BELIEFS_STALE, Ran.NO, 'after pause')
        remaining_ms = job.deadline_ms - now_ms
        if remaining_ms <= 0:
            return _failure(
                ResultCode.DEADLINE_EXCEEDED,
                Ran.NO,
                'before sending',
            )
        connection = state.pool.acquire()
        if connection is None:
            return _failure(
                ResultCode.BACKEND_REFUSED,
                Ran.NO,
                'connection share in use',
            )
        job.connection = connection
        outcome = self._health.exchange(
            state, job, connection, job.create_sub_request(remaining_ms)
        )
        job.connection = None
        return outcome

    # Replies

    def _complete_attempt(self, state, job, outcome, started_ms):
        now_ms = self._clock.now_ms()
        wait_ms = started_ms - job.queued_ms
        if outcome.is_ok():
            reply = outcome.ok_value
            state.record_report(
                reply.incarnation, reply.held, False, started_ms, now_ms
            )
            # A reply carries the same state as a health report, so no health
            # check is due.
            state.last_health_ms = now_ms
            self._health.record_drain_flag(
                state, reply.incarnation, reply.is_draining
            )
            self._reply(
                state,
                job,
                ResultCode.OK,
                Ran.YES,
                wait_ms,
                now_ms - started_ms,
                reply.answers,
            )
            return
        failure = outcome.err_value
        if failure.incarnation and failure.held:
            state.record_report(
                failure.incarnation, failure.held, False, started_ms, now_ms
            )
        elif failure.code is ResultCode.BACKEND_SNAPSHOT:
            state.remove_snapshot(job.work.snapshot)
        if failure.code is ResultCode.BACKEND_DRAINING:
            # A refusal may not name the server's incarnation.
            refusing = failure.incarnation or state.incarnation
            self.handle_drain_refusal(state.server.name, refusing, self._node)
        self._reply(
            state,
            job,
            failure.code,
            failure.ran,
            wait_ms,
            0.0,
            b'',
            failure.detail,
        )

    def _refuse(self, job, code, detail):
        """Reply that an attempt did not run."""
        state = self._states.get(job.part.server)
        self._reply(
            state,
            job,
            code,
            Ran.NO,
            self._clock.now_ms() - job.queued_ms,
            0.0,
            b'',
            detail,
        )

    def _reply(
        self, state, job, code, ran, wait_ms, service_ms, body, detail=''
    ):
        if self._jobs.get(job.key) is job:
            del self._jobs[job.key]
            if not job.work.idempotent:
                self._record_finished(job.key)
        self._metrics.count('owner_attempts', code=code.name)
        reply = job.create_reply(
            state, code, ran, wait_ms, service_ms, body, detail
        )
        if job.sender.name == self._node:
            self._local_reply_handler(reply)
        else:
            self._links.send(job.sender.name, job.sender.address, reply)

    def _record_finished(self, key):
        self._finished[key] = None
        if len(self._finished) > MAX_FINISHED_ATTEMPTS:
            self._finished.popitem(last=False)

    # Maintenance

    def run(self):
        """Update ownership, health and connections periodically, forever."""
        while True:
            self._clock.sleep_ms(TICK_MS)
            try:
                self.tick()
            except Exception:  # noqa: BLE001
                # Maintenance must continue after any error; the counter and
                # the log record it.
                self._metrics.count('owner_internal_errors')
                _LOG.exception(
                    'owner maintenance failed with an internal error'
                )

    def tick(self):
        """Add and remove servers, then start due health checks."""
        now_ms = self._clock.now_ms()
        if self._is_ownership_stale:
            self._is_ownership_stale = False
            self._ownership.update(now_ms)
        self._ownership.remove_unowned(now_ms)
        self._health.start_due_checks(now_ms)
        self._metrics.set_gauge('owned_servers', len(self._states))


def _failure(code, ran, detail):
    return Err(ExchangeFailure(code, ran, detail))


def create_owner_service(context):
    """Create the owner role from the node's context."""
    return OwnerService(context)
