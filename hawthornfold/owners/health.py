"""Checks the health of owned servers and keeps connections to them open."""

import eventlet
from result import Err

from hawthornfold.backends import ExchangeFailure
from hawthornfold.backends import Ran
from hawthornfold.backends import Verdict
from hawthornfold.codes import ResultCode
from hawthornfold.limits import create_token_bucket

HEALTH_INTERVAL_MS = 1000.0
HEALTH_TIMEOUT_MS = 500.0
PROBE_TIMEOUT_MS = 250.0
# Connections that are kept open in addition to one per slot: one for a health
# report while all slots are busy.
SPARE_CONNECTIONS = 1
# Budget of exchanges that are repeated after a silent connection, as a share
# of the dispatched exchanges and as a maximum burst. It keeps a silent network
# from doubling the load.
REPEAT_PERCENT = 2.0
REPEAT_CAPACITY = 10.0
# Failures that a restart of the server can cause.
_RESTART_CODES = (
    ResultCode.BACKEND_UNREACHABLE,
    ResultCode.BACKEND_CONNECTION_LOST,
)


class HealthMonitor:
    """Runs exchanges and health checks with the servers of one owner."""

    def __init__(self, owner, context):
        self._owner = owner
        self._clock = context.clock
        self._drains = context.drains
        self._metrics = context.metrics
        self._audit = context.audit
        self._pause_guard = context.pause_guard
        self._membership = context.membership
        self._is_membership_confirmed = False
        self._repeated_exchange_budget = create_token_bucket(
            REPEAT_CAPACITY, REPEAT_CAPACITY
        )

    # Exchanges

    def exchange(self, state, job, connection, request):
        """Run an exchange; replace a connection that is silent.

        After a silence that is long for this server, a probe on a new
        connection decides whether the connection or the server is silent. When
        the server answers the probe, an idempotent sub-request is repeated on
        a new connection before its deadline.
        """
        self._repeated_exchange_budget.add(REPEAT_PERCENT / 100.0)
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        silence_ms = state.diagnosis.silence_limit_ms(state.queue.service_ms)
        may_repeat = job.work.idempotent and silence_ms < remaining_ms
        outcome = connection.search(
            request, silence_ms if may_repeat else remaining_ms
        )
        state.pool.release(connection)
        if outcome.is_ok():
            self._record_answer(state)
            return outcome
        failure = outcome.err_value
        if failure.code is ResultCode.BACKEND_SILENT:
            return self._diagnose(state, job, request, outcome, may_repeat)
        if failure.code in _RESTART_CODES:
            state.suspect_restart(self._clock.now_ms())
        if failure.code is ResultCode.BACKEND_UNREACHABLE:
            self._record_failure(state)
        elif failure.ran is not Ran.UNKNOWN:
            self._record_answer(state)
        return outcome

    def _diagnose(self, state, job, request, outcome, may_repeat):
        verdict = self._probe(state)
        if verdict is not Verdict.CONNECTION_SILENT:
            return outcome
        state.pool.discard_opened_before(self._clock.now_ms())
        self._metrics.count('silent_connections')
        remaining_ms = job.deadline_ms - self._clock.now_ms()
        if not may_repeat or job.is_cancelled or remaining_ms <= 0:
            return outcome
        if not self._repeated_exchange_budget.try_take():
            return outcome
        connection = state.pool.acquire_new()
        if connection is None:
            return outcome
        job.connection = connection
        self._metrics.count('repeated_exchanges')
        repeated = connection.search(
            request._replace(deadline_ms=int(remaining_ms)), remaining_ms
        )
        state.pool.release(connection)
        if repeated.is_err() and repeated.err_value.ran is Ran.NO:
            # The first exchange may have run.
            failure = repeated.err_value
            return Err(failure._replace(ran=Ran.UNKNOWN))
        return repeated

    def _probe(self, state):
        """Request a health report on a new connection; return the verdict."""
        started_ms = self._clock.now_ms()
        connection = state.pool.acquire_new()
        if connection is None:
            return None
        report = connection.read_health(PROBE_TIMEOUT_MS)
        state.pool.release(connection)
        has_answered = report.is_ok()
        if has_answered:
            self._record_report(state, report.ok_value, started_ms)
        was_open = state.diagnosis.is_open
        verdict = state.diagnosis.record_probe(
            has_answered, self._clock.now_ms()
        )
        self._audit_breaker_change(state, was_open)
        return verdict

    # Reports

    def record_drain_flag(self, state, incarnation, is_draining):
        """Apply the drain flag of a reply or health report."""
        name = state.server.name
        was_draining = self._drains.is_draining(name)
        self._drains.record_health_report(
            name, incarnation, is_draining, self._clock.now_ms()
        )
        is_now = self._drains.is_draining(name)
        if is_now and not was_draining:
            self._owner.handle_drain_start(name, 'drain flag of the server')
        elif was_draining and not is_now:
            self._audit.record(
                'drain',
                name,
                'draining',
                'active',
                'server reports anew',
            )

    def _record_report(self, state, report, asked_ms):
        now_ms = self._clock.now_ms()
        state.last_health_ms = asked_ms
        state.reported_load = report['load']
        if state.record_report(
            report['incarnation'],
            report['held'],
            report['cold'],
            asked_ms,
            now_ms,
        ):
            self._audit.record(
                'snapshot',
                state.server.name,
                '',
                ','.join(state.held),
                'server restarted',
            )
        self.record_drain_flag(
            state, report['incarnation'], report['draining']
        )

    def _record_answer(self, state):
        was_open = state.diagnosis.is_open
        state.diagnosis.record_success()
        self._audit_breaker_change(state, was_open)

    def _record_failure(self, state):
        was_open = state.diagnosis.is_open
        state.diagnosis.record_failure(self._clock.now_ms())
        self._audit_breaker_change(state, was_open)

    def _audit_breaker_change(self, state, was_open):
        is_open = state.diagnosis.is_open
        if is_open == was_open:
            return
        before, after = ('closed', 'open') if is_open else ('open', 'closed')
        self._audit.record(
            'breaker', state.server.name, before, after, 'exchange results'
        )

    # Health checks

    def start_due_checks(self, now_ms):
        """Start the health checks that are due.

        No check starts before the membership was confirmed once. Until then a
        starting node computes ownership as the only member, and nine nodes
        that start together and open three connections each exceed the limit of
        25 of a small server.
        """
        if not self._is_membership_confirmed:
            self._is_membership_confirmed = self._membership.is_confirmed(
                now_ms
            )
            if not self._is_membership_confirmed:
                return
        for state in list(self._owner.states.values()):
            if state.is_probing or not self._is_check_due(state, now_ms):
                continue
            state.is_probing = True
            eventlet.spawn_n(self._check_server, state)

    def _is_check_due(self, state, now_ms):
        if state.unowned_since_ms is not None:
            # Its new owners check it; this node opens no connections to it.
            return False
        if state.diagnosis.is_open:
            return state.diagnosis.needs_probe(now_ms)
        if state.last_health_ms is None:
            return True
        return now_ms - state.last_health_ms >= HEALTH_INTERVAL_MS

    def _check_server(self, state):
        try:
            if state.diagnosis.is_open:
                self._probe(state)
                return
            self._request_health(state)
            self._open_warm_connections(state)
        finally:
            state.is_probing = False

    def _request_health(self, state):
        """Request a health report on a pooled connection."""
        asked_ms = self._clock.now_ms()
        # Set before the exchange, so that a server that does not answer is not
        # checked again at every tick.
        state.last_health_ms = asked_ms
        connection = state.pool.acquire()
        if connection is None:
            return
        report = connection.read_health(HEALTH_TIMEOUT_MS)
        state.pool.release(connection)
        if report.is_ok():
            self._record_report(state, report.ok_value, asked_ms)
            return
        if isinstance(report.err_value, ExchangeFailure):
            self._record_failure(state)
            if report.err_value.code is ResultCode.BACKEND_SILENT:
                self._probe(state)

    def _open_warm_connections(self, state):
        """Open connections in advance: one per slot and the spare ones."""
        wanted = min(state.queue.slots + SPARE_CONNECTIONS, state.pool.limit)
        while state.pool.count < wanted and not state.diagnosis.is_open:
            connection = state.pool.acquire_new()
            if connection is None:
                return
            report = connection.read_health(HEALTH_TIMEOUT_MS)
            state.pool.release(connection)
            if report.is_err():
                return
