"""Runs a planned request on this node and reports how it ended."""

import typing

import logbook

from hawthornfold.gateway.relay import Relay
from hawthornfold.gathering import Execution
from hawthornfold.gathering import ExecutionTimes
from hawthornfold.gathering import Verdict
from hawthornfold.gathering import create_execution

_LOG = logbook.Logger('request')

# Number of answered parts per request whose body sizes are recorded.
_SIZE_SAMPLES = 4


class RequestPlan(typing.NamedTuple):
    """A request's rule, services and times, set before it is sent.

    Parameters
    ----------
    request_id : str
        The caller's id of the request.
    decision : Decision
        What the rules decided for the request.
    services : tuple of str
        The service of each part that the node answers for.
    times : ExecutionTimes
        When the request arrived and when its answer is due.
    version : int
        Version of the configuration in force.
    """

    request_id: str
    decision: typing.Any
    services: tuple[str, ...]
    times: ExecutionTimes
    version: int


class RequestRun(typing.NamedTuple):
    """A request that has ended on this node.

    Parameters
    ----------
    execution : Execution
        Its answers and failures.
    result : RelayResult
        How it ended.
    """

    execution: Execution
    result: typing.Any


class RequestRunner:
    """Runs requests on servers and reports their ends.

    Parameters
    ----------
    state : GatewayState
        Configuration, servers and limits.
    watcher : StoreWatcher
        Knows the age of the node's data.
    cost_model : QueryCostModel
        Receives measurements of the node.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, state, watcher, cost_model, clock, metrics):
        self._state = state
        self._watcher = watcher
        self._cost_model = cost_model
        self._clock = clock
        self._metrics = metrics
        # Execution and deadline of each running request, by relay.
        self._running = {}

    def end_early(self):
        """End all requests as at their deadlines, because the node exits."""
        for relay, run in tuple(self._running.items()):
            execution, deadline_ms = run
            relay.end(execution.determine_verdict(deadline_ms))

    def end_attempts(self, detail):
        """End the attempts in progress at all servers.

        Parameters
        ----------
        detail : str
            The reason, for the log.
        """
        for relay in tuple(self._running):
            relay.end_attempts(detail)

    def run(
        self,
        plan,
        outgoing,
        watch_caller,
        group_calls=None,
        observer=None,
        suspicion=None,
        sent_count=0,
    ):
        """Run a request until it has a verdict.

        Parameters
        ----------
        plan : RequestPlan
            The request.
        outgoing : OutgoingRequest
            What servers receive.
        watch_caller : callable
            As for `GatewayHandler.handle`.
        group_calls : GroupCalls, optional
            The groups of parts that other nodes gather.
        observer : RelayObserver, optional
            Reports the answers to another node, for which this one gathers
            the parts.
        suspicion : Suspicion, optional
            If servers have ended under the same request before.
        sent_count : int
            Number of attempts at each part that other nodes have made.

        Returns
        -------
        RequestRun
        """
        state = self._state
        execution = create_execution(
            plan.decision,
            plan.services,
            plan.times,
            state.directory,
            state.placement,
            [state.get_repeat_budget(service) for service in plan.services],
            state.latency_tracker,
            group_calls.parts if group_calls else (),
            observer is not None,
            state.regions,
            suspicion and suspicion.services,
            state.unserved
            if group_calls and group_calls.allows_failover
            else None,
            sent_count,
        )
        relay = Relay(
            state,
            self._clock,
            self._metrics,
            execution,
            plan.decision,
            outgoing,
            group_calls,
            observer,
        )
        deadline_ms = plan.times.deadline_ms
        self._running[relay] = (execution, deadline_ms)
        try:
            with watch_caller(relay.end):
                result = relay.run(deadline_ms)
        finally:
            del self._running[relay]
        if suspicion is not None:
            state.suspects.record_answers(
                suspicion, execution.collected.answered_services
            )
        if plan.decision.gather is not None:
            self._record_costs(plan, execution, result)
        return RequestRun(execution, result)

    def find_due_ms(self, run):
        """Return when an answer was due, or None if it was not sent then.

        An answer is partial before it is due only if no further part can
        arrive. It then says nothing about the delay of the node.
        """
        due_ms = run.execution.collected.partial_due_ms
        if (
            run.result.verdict is not Verdict.PARTIAL
            or self._clock.now_ms() < due_ms
        ):
            return None
        return due_ms

    def report_end(self, plan, run, status, helped_node=''):
        """Log and count the end of a request.

        Parameters
        ----------
        status : int or None
            Status of the answer; None if there is none.
        helped_node : str
            Name of the node for which the parts were gathered, or ''.
        """
        now_ms = self._clock.now_ms()
        execution, result = run
        times = plan.times
        elapsed_ms = now_ms - times.arrived_ms
        verdict = (
            'caller-left' if result.verdict is None else result.verdict.value
        )
        rule = plan.decision.rule
        self._metrics.count('hedges', execution.hedge_count)
        self._metrics.count('retries', execution.retry_count)
        if helped_node:
            self._metrics.count('helped_requests', outcome=verdict)
        else:
            self._metrics.count('requests', outcome=verdict)
        if status is not None:
            self._metrics.observe_ms('request', elapsed_ms, rule=rule)
        missing = execution.collected.missing_services
        _LOG.info(
            'event=request_ended request={} rule={} version={} verdict={} '
            'status={} for={} ms={:.1f} objective_ms={} answer_ms={:.0f} '
            'sufficient_ms={} deadline_ms={:.0f} parts={} remote={} '
            'missing={} hedges={} retries={} denied={} store_age_ms={:.0f} '
            'helpers="{}" pending="{}" faults="{}"',
            plan.request_id,
            rule,
            plan.version,
            verdict,
            '-' if status is None else status,
            helped_node or '-',
            elapsed_ms,
            plan.decision.objective_ms or '-',
            times.answer_ms - times.arrived_ms,
            _describe_ms(execution.collected.sufficient_ms, times.arrived_ms),
            times.deadline_ms - times.arrived_ms,
            len(plan.services),
            result.remote,
            ','.join(missing[:8]) or '-',
            execution.hedge_count if plan.decision.hedge else '-',
            execution.retry_count,
            execution.denied_count,
            self._watcher.age_ms(now_ms) or -1.0,
            ' '.join(result.helpers),
            ' '.join(result.pending if missing else ()),
            ' '.join(result.faults),
        )

    def _record_costs(self, plan, execution, result):
        samples = [x for x in execution.collected.answers if x.body]
        for response in samples[:_SIZE_SAMPLES]:
            self._cost_model.record_body_size(
                plan.decision, len(response.body)
            )
        if result.sent_parts:
            self._cost_model.record_send_time(
                result.sent_parts, result.send_ms
            )


def _describe_ms(time_ms, since_ms):
    return '-' if time_ms is None else f'{time_ms - since_ms:.0f}'
