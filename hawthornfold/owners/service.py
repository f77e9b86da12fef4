"""Dispatches sub-requests to the backend servers this node owns.

For each server the owner keeps one queue and dispatches within the server's
slots and the owner's share of its connections. It answers every attempt that
it was sent, unless it dies: with the server's answer, a refusal that says
whether the attempt ran, or a failure.
"""

import collections

import eventlet
import logbook
from result import Err

from hawthornfold.backends import ExchangeFailure
from hawthornfold.backends import Ran
from hawthornfold.codes import ResultCode
from hawthornfold.owners.health import HealthMonitor
from hawthornfold.owners.notices import create_drain_reporter
from hawthornfold.owners.state import Job
from hawthornfold.owners.state import JobKey
from hawthornfold.owners.state import ServerState

# How long a server stays in place after this node stopped being its owner.
# Entries learn of the change within this time; work they still send here is
# dispatched rather than refused.
UNOWNED_GRACE_MS = 3000.0
TICK_MS = 100.0
# Longest time that working out ownership keeps the loop.
SLICE_MS = 10.0
# A message that the network repeats arrives within seconds; this many
# attempts cover minutes of non-idempotent work.
MAX_FINISHED = 20_000

_LOG = logbook.Logger('owners')


class OwnerService:
    """The owner role of one node."""

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
        self._local_reply = None
        self._is_ownership_stale = True
        self._health = HealthMonitor(self, context)
        self._reporter = create_drain_reporter(context)

    @property
    def in_flight(self):
        """Attempts that wait or run."""
        return len(self._jobs)

    @property
    def states(self):
        """The `ServerState` objects by server name."""
        return self._states

    def set_local_reply(self, callback):
        """Register the entry role of this node: callback(reply)."""
        self._local_reply = callback

    def note_change(self):
        """Work out ownership anew: members or service groups changed."""
        self._is_ownership_stale = True

    # Messages

    def handle_work(self, sender, work):
        """Queue the parts of a `Work` message."""
        now_ms = self._clock.now_ms()
        touched = []
        for part in work.parts:
            state = self._accept(sender, work, part, now_ms)
            if state is not None:
                touched.append(state)
        for state in touched:
            self.dispatch(state)

    def handle_cancel(self, sender, cancel):
        """Drop attempts of a `CancelWork` message."""
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
        """Take over another owner's report about a draining server."""
        self.report_refusal(notice.server, notice.incarnation, sender.name)

    # Draining

    def report_refusal(self, server, incarnation, cause):
        """Record that a server refuses work because it drains."""
        was_draining = self._drains.is_draining(server)
        self._drains.report_refusal(server, incarnation, self._clock.now_ms())
        if not was_draining and self._drains.is_draining(server):
            self.on_drain(server, f'refusal seen by {cause}')

    def on_drain(self, server, cause):
        """Stop a server's queue and tell its other owners."""
        self._audit.record('drain', server, 'active', 'draining', cause)
        state = self._states.get(server)
        if state is None:
            return
        for item in state.queue.clear():
            self._refuse(
                item.payload, ResultCode.BACKEND_DRAINING, 'server drains'
            )
        state.told.clear()
        self._reporter.tell_owners(state)

    # Dispatch

    def _accept(self, sender, work, part, now_ms):
        job = Job(sender, work, part, now_ms)
        state = self._obtain_state(work.group, part.server, now_ms)
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
            # A repeated message never runs a second time.
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

    def _obtain_state(self, group_name, server_name, now_ms):
        state = self._states.get(server_name)
        if state is not None:
            return state
        group = self._groups.find(group_name)
        server = None if group is None else group.servers.get(server_name)
        if server is None or not self._policy.is_owner(self._node, server):
            return None
        return self.own(group_name, server)

    def own(self, group_name, server):
        """Start to own a server."""
        state = ServerState(group_name, server, self._policy, self._clock)
        self._states[server.name] = state
        return state

    def disown(self, name):
        """Stop owning a server; what still waits is refused as not run."""
        state = self._states.pop(name)
        for job in state.close():
            self._refuse(job, ResultCode.NOT_OWNER, 'owner changed')

    def dispatch(self, state):
        """Start as many waiting attempts as the slots allow."""
        while True:
            now_ms = self._clock.now_ms()
            item, expired = state.queue.pop(now_ms)
            for late in expired:
                self._refuse(
                    late.payload,
                    ResultCode.DEADLINE_EXCEEDED,
                    'deadline passed in the queue',
                )
            if item is None:
                return
            eventlet.spawn_n(self._run, state, item.payload)

    def _run(self, state, job):
        """Run one attempt in a green thread of its own."""
        started_ms = self._clock.now_ms()
        service_ms = None
        try:
            outcome = self._execute(state, job, started_ms)
            if outcome.is_ok():
                service_ms = self._clock.now_ms() - started_ms
        except Exception as error:  # noqa: BLE001
            # The slot must be freed and the entry told whatever happens.
            self._metrics.count('owner_internal_errors')
            _LOG.exception('attempt failed with an internal error')
            outcome = _failure(ResultCode.INTERNAL, Ran.UNKNOWN, repr(error))
        state.queue.finish(service_ms)
        self._conclude(state, job, outcome, started_ms)
        self.dispatch(state)

    def _execute(self, state, job, now_ms):
        if job.is_cancelled:
            return _failure(ResultCode.CANCELLED, Ran.NO, 'cancelled')
        # A node that was paused may hold work, drain flags and ownership
        # from before the pause; nothing is sent on such beliefs.
        if self._pause_guard.is_stale(now_ms):
            return _failure(ResultCode.BELIEFS_STALE, Ran.NO, 'after pause')
        remaining_ms = job.deadline_ms - now_ms
        if remaining_ms <= 0:
            return _failure(
                ResultCode.DEADLINE_EXCEEDED, Ran.NO, 'before sending'
            )
        connection = state.pool.acquire()
        if connection is None:
            return _failure(
                ResultCode.BACKEND_REFUSED, Ran.NO, 'connection share in use'
            )
        if state.pool.has_lost_connections:
            state.suspect_restart(now_ms)
        job.connection = connection
        outcome = self._health.exchange(
            state, job, connection, job.create_sub_request(remaining_ms)
        )
        job.connection = None
        return outcome

    # Replies

    def _conclude(self, state, job, outcome, started_ms):
        now_ms = self._clock.now_ms()
        wait_ms = started_ms - job.queued_ms
        if outcome.is_ok():
            reply = outcome.ok_value
            state.learn(reply.incarnation, reply.held, False, now_ms)
            # A reply tells what a health report would.
            state.last_health_ms = now_ms
            self._health.take_drain_flag(
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
            state.learn(failure.incarnation, failure.held, False, now_ms)
        elif failure.code is ResultCode.BACKEND_SNAPSHOT:
            state.forget_snapshot(job.work.snapshot)
        if failure.code is ResultCode.BACKEND_DRAINING:
            # A refusal need not name its incarnation.
            refusing = failure.incarnation or state.incarnation
            self.report_refusal(state.server.name, refusing, self._node)
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
        """Report that an attempt did not run."""
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
                self._remember_finished(job.key)
        self._metrics.count('owner_attempts', code=code.name)
        reply = job.create_reply(
            state, code, ran, wait_ms, service_ms, body, detail
        )
        if job.sender.name == self._node:
            self._local_reply(reply)
        else:
            self._links.send(job.sender.name, job.sender.address, reply)

    def _remember_finished(self, key):
        self._finished[key] = None
        if len(self._finished) > MAX_FINISHED:
            self._finished.popitem(last=False)

    # Upkeep

    def run(self):
        """Keep ownership, health and connections up to date; never ends."""
        while True:
            self._clock.sleep_ms(TICK_MS)
            try:
                self.tick()
            except Exception:  # noqa: BLE001
                # Upkeep must go on; the counter and the log tell of it.
                self._metrics.count('owner_internal_errors')
                _LOG.exception('owner upkeep failed')

    def tick(self):
        """Adopt and drop servers, then check health where it is due."""
        now_ms = self._clock.now_ms()
        if self._is_ownership_stale:
            self._is_ownership_stale = False
            self._update_ownership(now_ms)
        self._drop_unowned(now_ms)
        self._health.tick(now_ms)
        self._metrics.set_gauge('owned_servers', len(self._states))

    def _update_ownership(self, now_ms):
        """Adopt servers that this node owns now; refresh those it holds."""
        for name, state in list(self._states.items()):
            group = self._groups.find(state.group)
            server = None if group is None else group.servers.get(name)
            if server != state.server:
                self.disown(name)
                continue
            is_owner = self._policy.is_owner(self._node, server)
            self._refresh(state, is_owner, now_ms)
        centres = self._groups.servers_by_data_centre()
        for data_centre, servers in centres.items():
            if self._policy.may_own(self._node, data_centre):
                self._adopt(servers)

    def _adopt(self, servers):
        slice_start_ms = self._clock.now_ms()
        for group_name, server in servers:
            # The first pass over 5,273 servers and 655 members takes 3.5 s;
            # in one piece that would pass for a pause.
            if self._clock.now_ms() - slice_start_ms > SLICE_MS:
                self._clock.sleep_ms(0)
                slice_start_ms = self._clock.now_ms()
            if server.name not in self._states and self._policy.is_owner(
                self._node, server
            ):
                self.own(group_name, server)

    def _refresh(self, state, is_owner, now_ms):
        state.pool.set_limit(self._policy.connection_share(state.server))
        state.ramp.set_slots(self._policy.slot_share(state.server))
        self._reporter.tell_owners(state)
        if is_owner:
            state.unowned_since_ms = None
        elif state.unowned_since_ms is None:
            state.unowned_since_ms = now_ms

    def _drop_unowned(self, now_ms):
        """End the grace time of servers that this node no longer owns."""
        for name, state in list(self._states.items()):
            state.queue.set_slots(state.ramp.allowed(now_ms))
            since_ms = state.unowned_since_ms
            if since_ms is None or state.queue.running:
                # Closing the connections would cut what still runs.
                continue
            if now_ms - since_ms > UNOWNED_GRACE_MS:
                self.disown(name)


def _failure(code, ran, detail):
    return Err(ExchangeFailure(code, ran, detail))


def create_owner_service(context):
    """Create the owner role from the node's context."""
    return OwnerService(context)
