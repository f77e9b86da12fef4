"""Gathers groups of parts for other nodes."""

import eventlet
import logbook

from hawthornfold.delegation import Capacity
from hawthornfold.delegation import GatherCancel
from hawthornfold.delegation import GatherParts
from hawthornfold.delegation import PartsReply
from hawthornfold.delegation import ServerNotice
from hawthornfold.gateway.cancellation import Cancellation
from hawthornfold.gateway.exchange import OutgoingRequest
from hawthornfold.gateway.observers import RelayObserver
from hawthornfold.gateway.runner import RequestPlan
from hawthornfold.gathering import ExecutionTimes

_LOG = logbook.Logger('delegation')

# Maximum number of groups in progress; the node declines more.
MAX_GROUPS = 64
# A group that another node has no link for may occupy this node for this share
# of the time to the caller's deadline, or until the objective: a late answer
# is better than none.
FAILOVER_DEADLINE_SHARE = 0.25
# Network time of the two messages of a group, between data centres.
TRAVEL_MS = 3.0


class GroupReporter(RelayObserver):
    """Reports the answers of a group to the node that asked for them.

    Parameters
    ----------
    send_reply : callable
        Takes the fields of a `PartsReply` from its status on.
    send_notice : callable
        Takes a `ServerNotice`.
    parts : tuple of int
        Indexes of the parts at the other node.
    due_ms : float
        From when on every answer is reported at once.
    """

    def __init__(self, send_reply, send_notice, parts, due_ms):
        self._send_reply = send_reply
        self._send_notice = send_notice
        self._parts = parts
        self._due_ms = due_ms
        self._reported_statuses = set()

    def handle_progress(self, execution, now_ms):
        """Report new answers if they are due, and parts that will not run."""
        self._report_not_run(execution)
        if now_ms >= self._due_ms:
            self._report(execution, 'answers')

    def handle_repeats(self, execution):
        """Report before a part is repeated.

        If this node fails later, the other one still has these answers and
        knows that it must not send the other parts again.
        """
        self._report(execution, 'repeating')

    def handle_leaving(self, record):
        """Tell the other node before it passes the part on.

        Rate limits are not told: the other node would not learn their end
        while this one sends the requests.
        """
        self._send_notice(ServerNotice(record.server_id, record.born_ms, True))

    def next_report_ms(self, now_ms):
        """Return when the answers are due, or None if that has passed."""
        return self._due_ms if self._due_ms > now_ms else None

    def finish(self, execution, is_isolated):
        """Report the remaining answers and that no other follows.

        If the node has lost its servers and has sent each part once, the other
        node may send the parts again.
        """
        self._report_not_run(execution)
        is_lost = is_isolated and 'repeating' not in self._reported_statuses
        self._report(execution, 'lost' if is_lost else 'finished')

    def _report_not_run(self, execution):
        """Report the parts that will not run here.

        The other node may have a server for them that this one may not use
        now. If it has none, it can tell the caller that they were not run.
        """
        unsent, not_executed = execution.collected.take_not_run()
        if unsent or not_executed:
            self._send_reply(
                'not-run',
                (),
                (),
                b'',
                tuple(self._parts[index] for index in unsent),
                tuple(self._parts[index] for index in not_executed),
            )

    def _report(self, execution, status):
        answers, records = execution.collected.take_new_answers()
        # The first report of a status tells the other node something also if
        # it has no answers.
        if answers or status not in self._reported_statuses:
            self._reported_statuses.add(status)
            self._send_reply(
                status,
                tuple(self._parts[index] for index, _ in answers),
                tuple(seal for _, seal in answers),
                records,
            )


class GroupHelper:
    """Serves the groups that other nodes ask this one to gather.

    Parameters
    ----------
    state : GatewayState
        Configuration, servers and limits.
    runner : RequestRunner
        Runs the parts.
    fleet : Fleet
        Sends and receives the messages.
    cost_model : QueryCostModel
        Estimates how long groups occupy the node.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, state, runner, fleet, cost_model, clock, metrics):
        self._state = state
        self._runner = runner
        self._cost_model = cost_model
        self._capacity = Capacity(
            state.settings.link_mbps, state.settings.cores
        )
        self._fleet = fleet
        self._clock = clock
        self._metrics = metrics
        self._running = {}
        fleet.register(GatherParts, self._handle_parts)
        fleet.register(GatherCancel, self._handle_cancel)

    @property
    def running_count(self):
        """Number of groups in progress."""
        return len(self._running)

    def _handle_parts(self, sender, message):
        key = (sender.name, sender.incarnation, message.call)
        if key in self._running:
            self._metrics.count('duplicate_calls', type='parts')
            return
        decision, detail = self._find_decision(message)
        if decision is None:
            self._metrics.count('groups_declined')
            _LOG.info(
                'event=group_declined request={} for={} detail="{}"',
                message.request_id,
                sender.name,
                detail,
            )
            self._fleet.reply(
                sender,
                PartsReply(
                    message.call,
                    'declined',
                    is_isolated=self._state.placement.is_isolated,
                ),
            )
            return
        self._reply(sender, message.call, 'accepted')
        outgoing = OutgoingRequest(
            message.method,
            message.head,
            message.body,
            message.request_id,
            decision.idempotent,
        )
        suspicion = self._state.suspects.examine(outgoing)
        if suspicion is not None and suspicion.is_quarantined:
            # Without the parts, which the other node must not send either.
            self._reply(sender, message.call, 'finished')
            return
        self._running[key] = Cancellation()
        plan, reporter = self._plan(sender, message, decision)
        eventlet.spawn_n(
            self._serve,
            sender,
            outgoing,
            plan,
            reporter,
            key,
            suspicion,
            message.sent_count,
        )

    def _find_decision(self, message):
        """Return the decision of a group, or None and why it is declined."""
        if self._state.is_stopping:
            return None, 'the node is stopping'
        if self._state.placement.is_isolated:
            return None, 'the node has lost its servers'
        if len(self._running) >= MAX_GROUPS:
            return None, 'too many groups'
        decision = self._state.find_gathering(message.rule, message.digest)
        if decision is None:
            return None, 'the rule differs'
        if not message.parts or not all(
            0 <= part < len(decision.gather.shards) for part in message.parts
        ):
            return None, 'the parts do not exist'
        if message.is_failover and self._is_occupied(decision, message):
            return None, 'the node is busy'
        return decision, ''

    def _is_occupied(self, decision, message):
        """Return whether the groups of others occupy the node for too long.

        A node that helps others must still be able to serve its own callers.
        """
        group_ms = self._cost_model.estimate_ms(
            self._capacity, decision, len(message.parts)
        )
        limit_ms = max(
            message.objective_left_ms,
            FAILOVER_DEADLINE_SHARE * message.deadline_left_ms,
        )
        return group_ms * (1.0 + len(self._running)) > limit_ms

    def _handle_cancel(self, sender, message):
        group = self._running.get(
            (sender.name, sender.incarnation, message.call)
        )
        if group is not None:
            group.cancel()

    def _serve(
        self, sender, outgoing, plan, reporter, key, suspicion, sent_count
    ):
        try:
            run = self._runner.run(
                plan,
                outgoing,
                self._running[key].watch,
                observer=reporter,
                suspicion=suspicion,
                sent_count=sent_count,
            )
        finally:
            del self._running[key]
        if run.result.verdict is not None:
            reporter.finish(run.execution, self._state.placement.is_isolated)
        self._runner.report_end(plan, run, None, sender.name)

    def _plan(self, sender, message, decision):
        arrived_ms = self._clock.now_ms()
        margin_ms = self._state.answer_margin.margin_ms(TRAVEL_MS)
        # As the first argument the rule's limit also replaces NaN.
        limit_ms = float(decision.deadline_ms)
        objective_left_ms = min(limit_ms, message.objective_left_ms)
        due_ms = arrived_ms + objective_left_ms - margin_ms
        deadline_ms = arrived_ms + min(limit_ms, message.deadline_left_ms)
        plan = RequestPlan(
            message.request_id,
            decision,
            tuple(decision.gather.shards[part] for part in message.parts),
            ExecutionTimes(arrived_ms, due_ms, deadline_ms),
            self._state.configuration.version,
        )
        reporter = GroupReporter(
            lambda *fields: self._reply(sender, message.call, *fields),
            lambda notice: self._fleet.reply(sender, notice),
            message.parts,
            due_ms,
        )
        return plan, reporter

    def _reply(self, sender, call, *fields):
        self._fleet.reply(sender, PartsReply(call, *fields))
