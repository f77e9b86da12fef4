"""Answers one request: matches a rule, executes it, builds the answer."""

import logbook

from hawthornfold.codes import ResultCode
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import GatherParts
from hawthornfold.delegation.capacity import estimate_answer_transfer_ms
from hawthornfold.gateway.answers import RETRY_AFTER_MS
from hawthornfold.gateway.answers import create_answer
from hawthornfold.gateway.answers import create_refusal
from hawthornfold.gateway.exchange import create_outgoing_request
from hawthornfold.gateway.group_calls import GroupCalls
from hawthornfold.gateway.incoming import IncomingRequest
from hawthornfold.gateway.offers import QueryOffers
from hawthornfold.gateway.runner import RequestPlan
from hawthornfold.gathering import ExecutionTimes
from hawthornfold.gathering import Verdict
from hawthornfold.rules import RequestFacts

_LOG = logbook.Logger('request')

# Answers are sent this long before the caller's deadline, so that they arrive
# in time.
DEADLINE_MARGIN_MS = 8.0
# The node answers 404 to a request without a matching rule only if its
# configuration is at most this old. An older one may lack a route that was
# just added.
MAX_CONFIGURATION_AGE_MS = 5_000.0
# Maximum length of host and path in a log line.
MAX_LOGGED_TEXT = 120
# Statuses of the node's own answers to requests that no server has executed.
_OWN_NOT_RUN_STATUSES = frozenset((400, 404, 503))


class GatewayHandler:
    """Answers requests according to the rules in force."""

    def __init__(self, state, names, watcher, runner, clock, metrics):
        self._state = state
        self._names = names
        self._watcher = watcher
        self._clock = clock
        self._metrics = metrics
        self._runner = runner
        self._delegations = None
        self._offers = None
        self._division = None
        self._group_caller = None
        self._failover = None
        settings = state.settings
        self._capacity = Capacity(settings.link_mbps, settings.cores)

    def handle(self, incoming, watch_caller):
        """Answer a request.

        Parameters
        ----------
        incoming : IncomingRequest
            The complete request.
        watch_caller : callable
            Takes a function to call when the caller disconnects. Returns a
            context manager that watches the caller while it is active.

        Returns
        -------
        GatewayAnswer or None
            None if the caller has disconnected.
        """
        headers = {name.lower(): value for name, value in incoming.headers}
        request_id = headers.get(self._names.request_id.lower(), '')
        configuration = self._state.configuration
        if configuration is None:
            return self._refuse(
                incoming,
                request_id,
                ResultCode.NOT_READY,
                'no configuration yet',
            )
        decision = configuration.rules.match(self._create_facts(incoming))
        if decision is None:
            return self._refuse_unmatched(incoming, request_id, configuration)
        if not request_id:
            return self._refuse(
                incoming,
                request_id,
                ResultCode.REQUEST_MALFORMED,
                f'the header {self._names.request_id} is missing',
            )
        # Without an objective nothing tells how long the request takes.
        if not self._state.can_finish(decision.objective_ms or 0.0):
            return self._refuse(
                incoming,
                request_id,
                ResultCode.STOPPING,
                'the node is about to exit',
            )
        plan = RequestPlan(
            request_id,
            decision,
            self._choose_services(decision),
            self._compute_times(decision, headers, incoming),
            configuration.version,
        )
        if incoming.objective_left_ms is None and self._delegations:
            ended = self._offers.offer(plan, incoming, watch_caller)
            if ended is not None:
                return ended.answer
        return self._execute(plan, incoming, watch_caller)

    def set_delegations(self, delegations):
        """Set the `Delegations` for queries that are too large for the node.

        Without it, the node runs every query itself.
        """
        self._delegations = delegations
        self._offers = QueryOffers(
            delegations,
            self._names,
            self._capacity,
            self._clock,
            self._metrics,
        )

    def set_division(self, division, group_caller):
        """Set the `FleetDivision` and `GroupCaller` that divide queries.

        Without them, the node gathers all parts of a query itself.
        """
        self._division = division
        self._group_caller = group_caller

    def set_failover(self, failover):
        """Set the `NodeFailover` for what this node has no link for.

        Without it, such requests are refused.
        """
        self._failover = failover

    def handle_delegated(self, delegate, watch_caller):
        """Answer a query that another node delegates.

        Parameters
        ----------
        delegate : Delegate
            The query.
        watch_caller : callable
            As for `handle`.

        Returns
        -------
        GatewayAnswer or None
            None to decline; no server has then executed the query.
        """
        configuration = self._state.configuration
        if (
            self._state.is_stopping
            or self._state.placement.is_isolated
            or configuration is None
            or configuration.version < delegate.version
        ):
            return None
        incoming = IncomingRequest(
            delegate.method,
            delegate.target,
            delegate.host,
            delegate.headers,
            delegate.body,
            self._clock.now_ms(),
            0.0,
            delegate.objective_left_ms,
            delegate.deadline_left_ms,
        )
        decision = configuration.rules.match(self._create_facts(incoming))
        if decision is None or not self._accepts_delegated(decision, delegate):
            return None
        answer = self.handle(incoming, watch_caller)
        # The sender runs the query itself only if no server has executed it
        # here. Any other answer is final: a second run would use more
        # servers than the rule allows.
        if answer is None or (
            answer.status in _OWN_NOT_RUN_STATUSES and not answer.is_final
        ):
            return None
        self.record_sent(answer)
        return answer

    def record_sent(self, answer):
        """Record that an answer has been sent."""
        if answer.due_ms is not None:
            self._state.answer_margin.record_delay(
                self._clock.now_ms() - answer.due_ms
            )

    def _accepts_delegated(self, decision, delegate):
        delegations = self._delegations
        # `accepted_count` already includes this query.
        return delegations.policy.accepts(
            decision, delegations.accepted_count - 1, delegate.limit_ms
        )

    def _create_facts(self, incoming):
        return RequestFacts(
            '',
            '',
            '',
            incoming.method,
            incoming.target.partition('?')[0],
            {'host': incoming.host},
            self._state.settings.data_centre,
        )

    def _choose_services(self, decision):
        if decision.gather is not None:
            return decision.gather.shards
        return (self._state.service_rotation.choose_service(decision),)

    def _compute_times(self, decision, headers, incoming):
        arrived_ms = incoming.arrived_ms
        left_ms = float(decision.deadline_ms)
        text = headers.get(self._names.deadline.lower(), '')
        if text.isdecimal():
            left_ms = min(left_ms, float(text))
        if incoming.deadline_left_ms is not None:
            left_ms = min(left_ms, incoming.deadline_left_ms)
        deadline_ms = arrived_ms + left_ms - DEADLINE_MARGIN_MS
        answer_ms = deadline_ms
        if decision.objective_ms is not None:
            margin_ms = self._state.answer_margin.margin_ms(incoming.travel_ms)
            objective_ms = decision.objective_ms
            if incoming.objective_left_ms is not None:
                objective_ms = incoming.objective_left_ms
            answer_ms = arrived_ms + objective_ms - margin_ms
            # Sending the answer takes time on a slow link.
            answer_ms -= estimate_answer_transfer_ms(self._capacity, decision)
        return ExecutionTimes(
            arrived_ms, min(answer_ms, deadline_ms), deadline_ms
        )

    def _execute(self, plan, incoming, watch_caller):
        outgoing = create_outgoing_request(
            incoming.method,
            incoming.target,
            incoming.headers,
            incoming.body,
            plan.request_id,
            self._names,
        )._replace(is_idempotent=plan.decision.idempotent)
        suspicion = self._state.suspects.examine(outgoing)
        group_calls = None
        if suspicion is None:
            group_calls = self._plan_groups(plan, outgoing)
        elif suspicion.is_quarantined:
            return self._refuse(
                incoming,
                plan.request_id,
                ResultCode.REQUEST_QUARANTINED,
                f'fingerprint {suspicion.fingerprint}',
                400,
            )._replace(is_final=True)
        run = self._runner.run(
            plan, outgoing, watch_caller, group_calls, suspicion=suspicion
        )
        # What another node has handed over is not handed on.
        if self._failover is not None and incoming.objective_left_ms is None:
            ended = self._failover.hand_over(plan, run, incoming, watch_caller)
            if ended is not None:
                return ended.answer
        answer = self._create_answer(plan.decision, outgoing, run)
        due_ms = self._runner.find_due_ms(run)
        if answer is not None and due_ms is not None:
            answer = answer._replace(
                overdue_ms=due_ms - plan.times.answer_ms, due_ms=due_ms
            )
        self._runner.report_end(plan, run, answer and answer.status)
        return answer and answer._replace(signals=run.result.signals)

    def _create_answer(self, decision, outgoing, run):
        """Return the `GatewayAnswer` to a request that has ended."""
        verdict = run.result.verdict
        if verdict is Verdict.UNKNOWN and self._state.suspects.is_quarantined(
            outgoing
        ):
            return create_refusal(
                ResultCode.REQUEST_QUARANTINED, 400, 'servers have ended'
            )._replace(is_final=True)
        retry_after_ms = None
        if verdict is Verdict.NOT_RUN:
            now_ms = self._clock.now_ms()
            wait_ms = run.execution.rate_wait_ms(now_ms)
            if wait_ms is not None:
                return create_refusal(
                    ResultCode.RATE_LIMITED,
                    503,
                    'the servers have no room',
                    self._state.return_schedule.assign_wait_ms(
                        decision.urgency, wait_ms, now_ms
                    ),
                )._replace(is_final=True)
            free_ms = run.execution.free_ms(now_ms)
            # Servers that may receive requests now were tried in vain, so that
            # the usual time applies.
            if free_ms is not None and free_ms > now_ms:
                retry_after_ms = free_ms - now_ms
        return create_answer(
            decision, run.execution, verdict, self._names, retry_after_ms
        )

    def _plan_groups(self, plan, outgoing):
        """Return the `GroupCalls` of a query, or None to gather all parts."""
        if self._division is None:
            return None
        groups = self._division.plan(plan.decision, self._clock.now_ms())
        if not groups and (
            self._failover is None or plan.decision.gather is None
        ):
            return None
        transfer_ms = estimate_answer_transfer_ms(
            self._capacity, plan.decision
        )

        digest = self._state.get_digest(plan.decision)

        def create_message(action):
            now_ms = self._clock.now_ms()
            return GatherParts(
                0,
                plan.decision.rule,
                digest,
                action.parts,
                plan.request_id,
                outgoing.method,
                outgoing.head,
                outgoing.body,
                plan.times.answer_ms - now_ms - transfer_ms,
                plan.times.deadline_ms - now_ms,
                action.group is None,
                action.sent_count,
            )

        return GroupCalls(
            self._group_caller,
            groups,
            create_message,
            self._failover,
            plan.decision.allowed_regions,
        )

    def _refuse_unmatched(self, incoming, request_id, configuration):
        age_ms = self._watcher.age_ms(self._clock.now_ms())
        if age_ms is None or age_ms > MAX_CONFIGURATION_AGE_MS:
            age = 'unknown' if age_ms is None else f'{age_ms:.0f} ms'
            return self._refuse(
                incoming,
                request_id,
                ResultCode.BELIEFS_STALE,
                f'no rule matches, but the age of version '
                f'{configuration.version} is {age}',
            )
        return self._refuse(
            incoming,
            request_id,
            ResultCode.RULE_NOT_MATCHED,
            'no rule matches',
            404,
        )

    def _refuse(self, incoming, request_id, code, detail, status=None):
        """Refuse a request before any part is sent to a server."""
        if status is None:
            status = 503 if code in RETRY_AFTER_MS else 400
        self._metrics.count('requests', outcome='refused', code=str(int(code)))
        _LOG.info(
            'event=request_refused request={} code={} status={} host="{}" '
            'path="{}" detail="{}"',
            request_id,
            int(code),
            status,
            _quote(incoming.host),
            _quote(incoming.target.partition('?')[0]),
            detail,
        )
        return create_refusal(code, status, detail)


def _quote(text):
    """Return text of a caller for a log line, without quotes, shortened."""
    return text[:MAX_LOGGED_TEXT].replace('"', '%22').replace('\\', '%5C')
