"""Handles one request: rule, execution, answer."""

import itertools
import typing

import logbook

from hawthornfold.codes import ResultCode
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import Delegate
from hawthornfold.delegation import Delegated
from hawthornfold.delegation.policy import HOP_MS
from hawthornfold.delegation.policy import estimate_answer_transfer_ms
from hawthornfold.gateway.answers import RETRY_AFTER_MS
from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.answers import create_answer
from hawthornfold.gateway.answers import create_refusal
from hawthornfold.gateway.delegations import CALLER_LEFT
from hawthornfold.gateway.delegations import name_reply
from hawthornfold.gateway.exchange import create_outgoing
from hawthornfold.gateway.relay import Relay
from hawthornfold.gathering import ExecutionTimes
from hawthornfold.gathering import Verdict
from hawthornfold.gathering import create_execution
from hawthornfold.rules import RequestFacts

_LOG = logbook.Logger('request')

# Answers leave this long before the caller's deadline, so that they arrive.
DEADLINE_MARGIN_MS = 8.0
# A configuration older than this may lack a route that was just added, so
# the node does not say that there is no such path.
STALE_MS = 5_000.0
# Own answers to requests of which no server has run anything.
_NOTHING_RAN = frozenset((400, 404, 503))


class IncomingRequest(typing.NamedTuple):
    """A caller's request.

    Parameters
    ----------
    method, target : str
        As in the request line.
    host : str
        Host without port, lowercase.
    headers : tuple of tuple of str
        All headers as sent.
    body : bytes
        The whole body.
    arrived_ms : float
        When its first byte was seen, on the node's clock.
    travel_ms : float
        How long the request and its answer travel.
    objective_left_ms : float or None
        For a request of another node: time within which the answer is of
        full use to it.
    deadline_left_ms : float or None
        For such a request: time after which its caller has given up.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: float
    travel_ms: float
    objective_left_ms: float | None = None
    deadline_left_ms: float | None = None


class _Route(typing.NamedTuple):
    """What is known of a request before it is sent."""

    request_id: str
    decision: object
    services: tuple[str, ...]
    times: ExecutionTimes


class GatewayHandler:
    """Answers requests by the rules in force."""

    def __init__(self, state, names, watcher, clock, metrics):
        self._state = state
        self._names = names
        self._watcher = watcher
        self._clock = clock
        self._metrics = metrics
        self._delegations = None
        settings = state.settings
        self._capacity = Capacity(settings.link_mbps, settings.cores)

    def handle(self, incoming, watch_caller):
        """Answer a request.

        Parameters
        ----------
        incoming : IncomingRequest
            The request, complete.
        watch_caller : callable
            Takes a function to call when the caller leaves, and returns a
            context manager that watches meanwhile.

        Returns
        -------
        GatewayAnswer or None
            None when the caller has left.
        """
        headers = {name.lower(): value for name, value in incoming.headers}
        request_id = headers.get(self._names.request_id.lower(), '')
        configuration = self._state.configuration
        if configuration is None:
            return self._refuse(
                request_id, ResultCode.NOT_READY, 'no configuration yet'
            )
        decision = configuration.rules.match(self._describe(incoming))
        if decision is None:
            return self._refuse_unmatched(request_id, configuration)
        if not request_id:
            return self._refuse(
                request_id,
                ResultCode.REQUEST_MALFORMED,
                f'the header {self._names.request_id} is missing',
            )
        route = _Route(
            request_id,
            decision,
            self._choose_services(decision),
            self._time(decision, headers, incoming),
        )
        if incoming.objective_left_ms is None and self._delegations:
            answer, is_settled = self._delegate(
                route, incoming, watch_caller, configuration.version
            )
            if is_settled:
                return answer
        return self._run(route, incoming, watch_caller, configuration.version)

    def set_delegations(self, delegations):
        """Use `delegations` for queries that are too much for the node."""
        self._delegations = delegations

    def handle_delegated(self, delegate, watch_caller):
        """Answer a `Delegate` of another node, or return None to decline."""
        configuration = self._state.configuration
        if (
            self._state.is_stopping
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
        decision = configuration.rules.match(self._describe(incoming))
        if decision is None or not self._accepts(decision, delegate):
            return None
        answer = self.handle(incoming, watch_caller)
        # The sender runs the query itself if nothing has run here. Anything
        # else is final: another run would exceed the servers that the rule
        # allows.
        if answer is None or answer.status in _NOTHING_RAN:
            return None
        return answer

    def _accepts(self, decision, delegate):
        delegations = self._delegations
        # The query in question is one of the accepted.
        return delegations.policy.accepts(
            decision, delegations.accepted - 1, delegate.limit_ms
        )

    def _delegate(self, route, incoming, watch_caller, version):
        """Hand a query to a node with more room.

        Returns
        -------
        tuple of (GatewayAnswer or None, bool)
            The answer, and whether the request is settled with it.
        """
        for offers in itertools.count():
            offer = self._delegations.choose(route.decision, offers)
            if offer is None:
                return None, False
            reply = self._offer(offer, route, incoming, watch_caller, version)
            if not isinstance(reply, Delegated) or reply.status:
                break
        done_ms = self._clock.now_ms()
        elapsed_ms = done_ms - incoming.arrived_ms
        if reply is None:
            self._metrics.count('requests', outcome='unknown')
            answer = create_refusal(
                ResultCode.PEER_UNREACHABLE, 502, 'it may have run'
            )
            return answer, True
        if reply == CALLER_LEFT:
            return None, True
        if (self._names.missing_parts, '0') not in reply.headers:
            due_ms = route.times.answer_ms + reply.overdue_ms
            self._state.margin.record(done_ms - due_ms)
        self._metrics.count('requests', outcome='delegated')
        self._metrics.observe_ms(
            'request', elapsed_ms, rule=route.decision.rule
        )
        return GatewayAnswer(reply.status, reply.headers, reply.body), True

    def _offer(self, offer, route, incoming, watch_caller, version):
        """Offer a query to a node; return what `Delegations.run` gives."""
        now_ms = self._clock.now_ms()
        # The answer comes over the same link as it leaves by.
        objective_left_ms = route.times.answer_ms - now_ms - HOP_MS
        objective_left_ms -= estimate_answer_transfer_ms(
            self._capacity, route.decision
        )
        delegate = Delegate(
            0,
            version,
            incoming.method,
            incoming.target,
            incoming.host,
            incoming.headers,
            incoming.body,
            objective_left_ms,
            route.times.deadline_ms - now_ms,
            offer.limit_ms,
        )
        reply = self._delegations.run(offer.node, delegate, watch_caller)
        _LOG.info(
            'event=request_delegated request={} rule={} node={} '
            'room_age_ms={:.0f} objective_left_ms={:.0f} ms={:.1f} '
            'outcome={}',
            route.request_id,
            route.decision.rule,
            offer.node.name,
            offer.node.age_ms,
            objective_left_ms,
            self._clock.now_ms() - incoming.arrived_ms,
            name_reply(reply),
        )
        return reply

    def _describe(self, incoming):
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
        return (self._state.turns.choose(decision),)

    def _time(self, decision, headers, incoming):
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
            margin_ms = self._state.margin.margin_ms(incoming.travel_ms)
            objective_ms = decision.objective_ms
            if incoming.objective_left_ms is not None:
                objective_ms = incoming.objective_left_ms
            answer_ms = arrived_ms + objective_ms - margin_ms
            # The answer takes a while on a slow link.
            answer_ms -= estimate_answer_transfer_ms(self._capacity, decision)
        return ExecutionTimes(
            arrived_ms, min(answer_ms, deadline_ms), deadline_ms
        )

    def _run(self, route, incoming, watch_caller, version):
        decision = route.decision
        windows = [self._state.window_of(s) for s in route.services]
        for window in windows:
            window.record_request(route.times.arrived_ms)
        execution = create_execution(
            decision,
            route.services,
            route.times,
            self._state.directory,
            self._state.placement,
            windows,
            self._state.latency_book,
        )
        outgoing = create_outgoing(
            incoming.method,
            incoming.target,
            incoming.headers,
            incoming.body,
            route.request_id,
            self._names,
        )
        relay = Relay(
            self._state,
            self._clock,
            self._metrics,
            execution,
            decision,
            outgoing,
        )
        with watch_caller(relay.notify_caller_left):
            result = relay.run(route.times.deadline_ms)
        answer = create_answer(
            decision, execution, result.verdict, self._names
        )
        if decision.gather is not None and self._delegations:
            for part in execution.answers[:4]:
                self._delegations.policy.record_body_size(
                    decision, len(part.body)
                )
        if result.verdict is Verdict.PARTIAL:
            due_ms = execution.due_ms
            late_ms = self._clock.now_ms() - due_ms
            # Before that moment, no more parts could come.
            if late_ms >= 0.0:
                self._state.margin.record(late_ms)
            overdue_ms = due_ms - route.times.answer_ms
            answer = answer._replace(overdue_ms=overdue_ms)
        self._log(route, execution, result, answer, version)
        return answer

    def _refuse_unmatched(self, request_id, configuration):
        age_ms = self._watcher.age_ms(self._clock.now_ms())
        if age_ms is None or age_ms > STALE_MS:
            return self._refuse(
                request_id,
                ResultCode.BELIEFS_STALE,
                f'no rule matches, but version {configuration.version} is '
                f'{age_ms:.0f} ms old',
            )
        return self._refuse(
            request_id, ResultCode.RULE_NOT_MATCHED, 'no rule matches', 404
        )

    def _refuse(self, request_id, code, detail, status=None):
        """Refuse a request of which nothing was sent."""
        if status is None:
            status = 503 if code in RETRY_AFTER_MS else 400
        self._metrics.count('requests', outcome='refused', code=str(int(code)))
        _LOG.info(
            'event=request_refused request={} code={} status={} detail="{}"',
            request_id,
            int(code),
            status,
            detail,
        )
        return create_refusal(code, status, detail)

    def _log(self, route, execution, result, answer, version):
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - route.times.arrived_ms
        verdict = (
            'caller-left' if result.verdict is None else (result.verdict.value)
        )
        rule = route.decision.rule
        self._metrics.count('requests', outcome=verdict)
        self._metrics.count('hedges', execution.hedges)
        self._metrics.count('retries', execution.retries)
        if answer is not None:
            self._metrics.observe_ms('request', elapsed_ms, rule=rule)
        missing = execution.missing_services
        _LOG.info(
            'event=request_ended request={} rule={} version={} verdict={} '
            'status={} ms={:.1f} answer_ms={:.0f} deadline_ms={:.0f} '
            'parts={} remote={} missing={} hedges={} retries={} denied={} '
            'store_age_ms={:.0f} faults="{}"',
            route.request_id,
            rule,
            version,
            verdict,
            answer.status if answer is not None else '-',
            elapsed_ms,
            route.times.answer_ms - route.times.arrived_ms,
            route.times.deadline_ms - route.times.arrived_ms,
            len(route.services),
            result.remote,
            ','.join(missing[:8]) or '-',
            execution.hedges,
            execution.retries,
            execution.denied,
            self._watcher.age_ms(now_ms) or -1.0,
            ' '.join(result.faults),
        )
