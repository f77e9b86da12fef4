"""Creates the services of one node and runs them until a planned stop."""

import contextlib
import os

import eventlet
import eventlet.event
import logbook
import xxhash

from hawthornfold.audit import create_audit_trail
from hawthornfold.audit import create_request_journal
from hawthornfold.audit.lookup import create_journal_lookup
from hawthornfold.callers.application import create_caller_application
from hawthornfold.callers.application import create_operator_application
from hawthornfold.callers.handling import RequestHandler
from hawthornfold.callers.server import serve_application
from hawthornfold.clock import create_system_clock
from hawthornfold.configuration import create_configuration_service
from hawthornfold.draining import create_drain_tracker
from hawthornfold.logs import setup_logs
from hawthornfold.membership import create_membership_service
from hawthornfold.metrics import create_metrics
from hawthornfold.nodes import lifecycle as lifecycles
from hawthornfold.nodes import status
from hawthornfold.nodes.context import NodeContext
from hawthornfold.nodes.handover import create_handover
from hawthornfold.nodes.pause import create_pause_guard
from hawthornfold.nodes.wiring import connect_services
from hawthornfold.owners import create_owner_service
from hawthornfold.peers import open_peer_links
from hawthornfold.queries.groups import create_group_registry
from hawthornfold.queries.runner import create_query_runner
from hawthornfold.routing import create_owner_policy
from hawthornfold.rules import compile_rules
from hawthornfold.snapshots import parse_service_group
from hawthornfold.sources import create_platform_reader
from hawthornfold.tickets.service import create_ticket_service

_LOG = logbook.Logger('node')
_POLL_MS = 20.0
# Interval at which a running node polls for a stop signal, and so the longest
# delay of a stop. Each poll costs processor time.
_IDLE_POLL_MS = 100.0
# Time for the peer links to send the leave message before they close.
_LEAVE_WAIT_MS = 100.0


def create_incarnation(clock):
    """Return the incarnation of this process, a number that grows over time.

    The wall clock orders incarnations. The process id distinguishes processes
    that start within the same millisecond. The result fits into 63 bits.
    """
    return clock.wall_ms() << 22 | os.getpid() & (1 << 22) - 1


def derive_ticket_key(settings):
    """Return the key that signs tickets, the same on all nodes of a cluster.

    Without encryption there is no secret to protect. The key is then derived
    from the cluster's name, and the signature only detects damaged tickets.
    """
    if settings.peers.encryption and settings.peers.keys:
        return settings.peers.keys[0].secret.encode()
    return xxhash.xxh3_128_digest(settings.cluster.encode())


def _create_base_context(settings):
    clock = create_system_clock()
    metrics = create_metrics()
    audit = create_audit_trail(clock)
    return NodeContext(
        settings=settings,
        incarnation=create_incarnation(clock),
        clock=clock,
        metrics=metrics,
        audit=audit,
        journal=create_request_journal(clock),
        policy=create_owner_policy(settings),
        groups=create_group_registry(audit),
        drains=create_drain_tracker(),
        pause_guard=create_pause_guard(clock, metrics, audit),
    )


def create_context(base, links):
    """Return the context with all services of a node.

    Parameters
    ----------
    base : NodeContext
        The services that do not need peer links.
    links : PeerLinks
        The open links to other nodes.
    """
    settings = base.settings
    membership = create_membership_service(
        settings,
        base.incarnation,
        base.clock,
        links,
        base.audit,
        base.metrics,
    )
    reader = create_platform_reader(settings, base.clock, base.metrics)
    configuration = create_configuration_service(
        settings,
        base.clock,
        links,
        membership,
        reader,
        [
            ('rules', lambda name, data: compile_rules(data)),
            (
                'services/',
                lambda name, data: parse_service_group(
                    name.removeprefix('services/'), data
                ),
            ),
        ],
        base.audit,
        base.metrics,
    )
    lifecycle = lifecycles.create_lifecycle(
        base.audit, lambda: configuration.is_ready
    )
    context = base._replace(
        links=links,
        membership=membership,
        configuration=configuration,
        lifecycle=lifecycle,
    )
    context = context._replace(owner_service=create_owner_service(context))
    context = context._replace(query_runner=create_query_runner(context))
    context = context._replace(handover=create_handover(context))
    return context._replace(
        ticket_service=create_ticket_service(
            context, derive_ticket_key(settings)
        ),
        journal_lookup=create_journal_lookup(context),
    )


@contextlib.contextmanager
def open_node(settings):
    """Run a node's services while the context is active.

    Yields
    ------
    tuple of (NodeContext, function)
        The services, and a function that stops accepting callers.
    """
    base = _create_base_context(settings)
    with contextlib.ExitStack() as stack:
        links = stack.enter_context(
            open_peer_links(
                settings, base.incarnation, base.clock, base.metrics
            )
        )
        context = create_context(base, links)
        handler = RequestHandler(context)
        connect_services(context, handler)
        loops = [
            eventlet.spawn(loop)
            for loop in (
                context.pause_guard.run,
                context.membership.run,
                context.configuration.run,
                context.owner_service.run,
            )
        ]
        stack.callback(lambda: [loop.kill() for loop in loops])
        host = settings.node.host
        stack.enter_context(
            serve_application(
                host,
                settings.operators.port,
                create_operator_application(
                    context, lambda: status.describe_status(context)
                ),
                settings.callers,
            )
        )
        stop_accepting = stack.enter_context(
            serve_application(
                host,
                settings.callers.port,
                create_caller_application(context, handler),
                settings.callers,
            )
        )
        yield context, stop_accepting


def _count_in_flight(context):
    return (
        context.lifecycle.requests_in_progress
        + context.owner_service.in_flight
        + context.query_runner.in_flight
    )


def stop_gracefully(context, stop_accepting, signals):
    """Stop a node and return the number of requests that were cut off.

    Waits for requests in flight up to the drain limit.

    Parameters
    ----------
    signals : ReceivedSignals
        The second request to stop ends the wait.
    """
    settings = context.settings.shutdown
    clock = context.clock
    started_ms = clock.now_ms()
    context.lifecycle.begin_stop()
    context.handover.release_ownership()
    # The load balancer notices late that the node is not ready. Until the
    # linger time is over, the node accepts new requests and serves them.
    while (
        clock.now_ms() - started_ms < settings.linger_ms
        and signals.stop_count < 2
    ):
        clock.sleep_ms(_POLL_MS)
    stop_accepting()
    drain_started_ms = clock.now_ms()
    idle_polls = 0
    while signals.stop_count < 2:
        if clock.now_ms() - drain_started_ms > settings.drain_limit_ms:
            break
        # Peers need a moment to receive the stop notice. A single reading of
        # zero may fall between two of their work items.
        idle_polls = idle_polls + 1 if _count_in_flight(context) == 0 else 0
        if idle_polls * _POLL_MS >= settings.linger_ms:
            break
        clock.sleep_ms(_POLL_MS)
    cut = _count_in_flight(context)
    # Leave last, because peers abandon what they sent to a node that left.
    context.membership.leave()
    if not cut:
        clock.sleep_ms(_LEAVE_WAIT_MS)
    return cut


def run_node(settings, signals):
    """Run a node until a stop is requested.

    Parameters
    ----------
    signals : ReceivedSignals
        The signals that the process has received and will receive.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 if requests were cut off.
    """
    with setup_logs(settings.node.name, settings.logs.level):
        if signals.is_stop_requested:
            # No port is open and no other node knows of this one.
            _LOG.info('event=stopped cut_requests=0 phase=start')
            return 0
        with open_node(settings) as (context, stop_accepting):
            while not signals.is_stop_requested:
                context.clock.sleep_ms(_IDLE_POLL_MS)
                context.lifecycle.record_state_change()
            cut = stop_gracefully(context, stop_accepting, signals)
        _LOG.info('event=stopped cut_requests={}', cut)
    return 1 if cut else 0
