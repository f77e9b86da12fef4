"""Has other nodes send what this node has no link for."""

import logbook

from hawthornfold.delegation.policy import HOP_MS
from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.delegations import CALLER_LEFT
from hawthornfold.gateway.delegations import describe_outcome
from hawthornfold.gateway.offers import OfferEnd
from hawthornfold.gateway.offers import create_delegate
from hawthornfold.gateway.offers import create_silent_end
from hawthornfold.gathering import Verdict
from hawthornfold.gathering.failover import MAX_FAILOVERS
from hawthornfold.gathering.failover import MAX_UNSERVED

_LOG = logbook.Logger('request')


class NodeFailover:
    """Chooses other nodes, and hands single requests over to them.

    Parameters
    ----------
    policy : FailoverPolicy
        Chooses the nodes.
    fleet : Fleet
        Lists the nodes.
    division : FleetDivision
        Lists the nodes of the own kind, which gather parts of queries.
    delegations : Delegations
        Sends the requests.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, policy, fleet, division, delegations, clock, metrics):
        self._policy = policy
        self._fleet = fleet
        self._division = division
        self._delegations = delegations
        self._clock = clock
        self._metrics = metrics

    @property
    def policy(self):
        """The node's `FailoverPolicy`."""
        return self._policy

    def choose_gathering_node(self, allowed_regions, asked_nodes):
        """Return the next node to ask for parts of a query, or None.

        Nodes of the own kind have the capacity and the connections for it, and
        are asked first.

        Parameters
        ----------
        allowed_regions, asked_nodes : object
            As for `choose_node`.
        """
        now_ms = self._clock.now_ms()
        return self._policy.choose_node(
            self._division.list_peers(now_ms),
            allowed_regions,
            asked_nodes,
            now_ms,
        ) or self.choose_node(allowed_regions, asked_nodes)

    def choose_node(self, allowed_regions, asked_nodes):
        """Return the next node to ask, or None.

        Parameters
        ----------
        allowed_regions : tuple of str
            As in the decision of the request.
        asked_nodes : sequence of Member
            The nodes that were asked for the same request.
        """
        return self._policy.choose_node(
            self._fleet.list_others(),
            allowed_regions,
            asked_nodes,
            self._clock.now_ms(),
        )

    def hand_over(self, plan, run, incoming, watch_caller):
        """Hand a single request over after it failed for lack of a link.

        Parameters
        ----------
        plan : RequestPlan
            The request.
        run : RequestRun
            How it has ended on this node.
        incoming : IncomingRequest
            What the caller sent.
        watch_caller : callable
            As for `GatewayHandler.handle`.

        Returns
        -------
        OfferEnd or None
            None if no other node answers it.
        """
        if not self._may_hand_over(plan, run):
            return None
        asked_nodes = []
        unserved_count = 0
        while (
            len(asked_nodes) < MAX_FAILOVERS and unserved_count < MAX_UNSERVED
        ):
            node = self.choose_node(plan.decision.allowed_regions, asked_nodes)
            if node is None:
                break
            asked_nodes.append(node)
            reply = self._send(node, plan, incoming, watch_caller)
            if reply == CALLER_LEFT:
                return OfferEnd(None)
            if reply is None:
                self._policy.record_silence(node.name, self._clock.now_ms())
                return create_silent_end(self._metrics)
            if reply.status:
                self._policy.record_success(node.name)
                self._metrics.count('requests', outcome='failed-over')
                self._metrics.observe_ms(
                    'request',
                    self._clock.now_ms() - incoming.arrived_ms,
                    rule=plan.decision.rule,
                )
                return OfferEnd(
                    GatewayAnswer(reply.status, reply.headers, reply.body)
                )
            if reply.is_isolated:
                self._policy.record_isolated(node.name, self._clock.now_ms())
            else:
                unserved_count += 1
        return None

    def _may_hand_over(self, plan, run):
        """Return whether another node may send the request."""
        now_ms = self._clock.now_ms()
        verdict = run.result.verdict
        if (
            plan.decision.gather is not None
            or now_ms >= plan.times.deadline_ms
            or not run.execution.lacks_link(now_ms)
        ):
            return False
        if verdict is Verdict.NOT_RUN:
            return True
        return verdict is Verdict.UNKNOWN and run.execution.try_repeat(now_ms)

    def _send(self, node, plan, incoming, watch_caller):
        now_ms = self._clock.now_ms()
        deadline_left_ms = plan.times.deadline_ms - now_ms
        delegate = create_delegate(
            plan,
            incoming,
            plan.times.answer_ms - now_ms - HOP_MS,
            deadline_left_ms,
            deadline_left_ms,
        )
        reply = self._delegations.delegate_request(
            node, delegate, watch_caller, deadline_left_ms
        )
        _LOG.info(
            'event=request_failed_over request={} rule={} node={} ms={:.1f} '
            'outcome={}',
            plan.request_id,
            plan.decision.rule,
            node.name,
            self._clock.now_ms() - incoming.arrived_ms,
            describe_outcome(reply),
        )
        return reply
