"""Offers a whole query to nodes with more spare capacity."""

import itertools
import typing

import logbook

from hawthornfold.codes import ResultCode
from hawthornfold.delegation import Delegate
from hawthornfold.delegation import Delegated
from hawthornfold.delegation.capacity import estimate_answer_transfer_ms
from hawthornfold.delegation.policy import HOP_MS
from hawthornfold.gateway.answers import GatewayAnswer
from hawthornfold.gateway.answers import create_refusal
from hawthornfold.gateway.delegations import CALLER_LEFT
from hawthornfold.gateway.delegations import describe_outcome

_LOG = logbook.Logger('request')


class OfferEnd(typing.NamedTuple):
    """The end of a query that another node took over.

    Parameters
    ----------
    answer : GatewayAnswer or None
        None if the caller has disconnected.
    """

    answer: GatewayAnswer | None


def create_silent_end(metrics):
    """Count and return the end of a request whose node did not reply."""
    metrics.count('requests', outcome='unknown')
    return OfferEnd(
        create_refusal(ResultCode.PEER_UNREACHABLE, 502, 'it may have run')
    )


def create_delegate(
    plan, incoming, objective_left_ms, deadline_left_ms, limit_ms
):
    """Create the message that hands a whole request over to a node.

    Parameters
    ----------
    plan : RequestPlan
        The request.
    incoming : IncomingRequest
        What the caller sent.
    objective_left_ms, deadline_left_ms, limit_ms : float
        As in `Delegate`.
    """
    return Delegate(
        0,
        plan.version,
        incoming.method,
        incoming.target,
        incoming.host,
        incoming.headers,
        incoming.body,
        objective_left_ms,
        deadline_left_ms,
        limit_ms,
    )


class QueryOffers:
    """Offers queries that are too large for the node to other nodes.

    Parameters
    ----------
    delegations : Delegations
        Chooses the nodes and sends them the offers.
    names : HeaderNames
        The deployment's header names.
    capacity : Capacity
        Link and processor of this node.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, delegations, names, capacity, clock, metrics):
        self._delegations = delegations
        self._names = names
        self._capacity = capacity
        self._clock = clock
        self._metrics = metrics

    def offer(self, plan, incoming, watch_caller):
        """Offer a query until a node takes it over.

        Parameters
        ----------
        plan : RequestPlan
            The query.
        incoming : IncomingRequest
            What the caller sent.
        watch_caller : callable
            As for `GatewayHandler.handle`.

        Returns
        -------
        OfferEnd or None
            None if this node has to run the query.
        """
        for declined_count in itertools.count():
            offer = self._delegations.choose_offer(
                plan.decision, declined_count
            )
            if offer is None:
                return None
            reply = self._send(offer, plan, incoming, watch_caller)
            if not isinstance(reply, Delegated) or reply.status:
                break
        if reply == CALLER_LEFT:
            return OfferEnd(None)
        if reply is None:
            return create_silent_end(self._metrics)
        due_ms = None
        if (self._names.missing_parts, '0') not in reply.headers:
            due_ms = plan.times.answer_ms + reply.overdue_ms
        self._metrics.count('requests', outcome='delegated')
        self._metrics.observe_ms(
            'request',
            self._clock.now_ms() - incoming.arrived_ms,
            rule=plan.decision.rule,
        )
        return OfferEnd(
            GatewayAnswer(
                reply.status, reply.headers, reply.body, due_ms=due_ms
            )
        )

    def _send(self, offer, plan, incoming, watch_caller):
        """Send a delegation offer to a node and wait for its reply.

        Returns
        -------
        Delegated, `CALLER_LEFT` or None
            As `Delegations.delegate_request` returns it.
        """
        now_ms = self._clock.now_ms()
        # The delegate's answer passes this node's link twice: in from the
        # delegate and out to the caller. `answer_ms` covers only the second.
        objective_left_ms = plan.times.answer_ms - now_ms - HOP_MS
        objective_left_ms -= estimate_answer_transfer_ms(
            self._capacity, plan.decision
        )
        delegate = create_delegate(
            plan,
            incoming,
            objective_left_ms,
            plan.times.deadline_ms - now_ms,
            offer.limit_ms,
        )
        reply = self._delegations.delegate_request(
            offer.node, delegate, watch_caller
        )
        _LOG.info(
            'event=request_delegated request={} rule={} node={} '
            'room_age_ms={:.0f} objective_left_ms={:.0f} ms={:.1f} '
            'outcome={}',
            plan.request_id,
            plan.decision.rule,
            offer.node.name,
            offer.node.age_ms,
            objective_left_ms,
            self._clock.now_ms() - incoming.arrived_ms,
            describe_outcome(reply),
        )
        return reply
