"""Registers message handlers, subscriptions and callbacks of a node."""

import functools

from hawthornfold.configuration import VMS_KEY
from hawthornfold.nodes.handover import StopNotice
from hawthornfold.owners import CancelWork
from hawthornfold.owners import DrainNotice
from hawthornfold.owners import Work
from hawthornfold.owners import WorkReply
from hawthornfold.queries.groups import GROUP_KEY_PREFIX
from hawthornfold.tickets import messages as ticket_messages


def connect_services(context, handler):
    """Connect the services of `context` with each other.

    Parameters
    ----------
    context : NodeContext
        All services of the node.
    handler : RequestHandler
        Handles the requests of callers.
    """
    _register_messages(context)
    context.owner_service.set_local_reply_handler(
        functools.partial(
            context.query_runner.handle_reply, context.settings.node.name
        )
    )
    context.ticket_service.set_handler(handler.handle)
    context.pause_guard.set_confirmation(context.membership.is_confirmed)
    context.membership.subscribe(lambda: _handle_member_change(context))
    context.configuration.subscribe(
        lambda key: _handle_key_change(context, key)
    )
    _handle_member_change(context)


def _register_messages(context):
    owner = context.owner_service
    tickets = context.ticket_service
    handlers = (
        (Work, context.handover.handle_work),
        (StopNotice, context.handover.handle_stop_notice),
        (CancelWork, owner.handle_cancel),
        (DrainNotice, owner.handle_drain_notice),
        (
            WorkReply,
            lambda sender, body: context.query_runner.handle_reply(
                sender.name, body
            ),
        ),
        (ticket_messages.Forward, tickets.handle_forward),
        (ticket_messages.ForwardReply, tickets.handle_forward_reply),
    )
    for body_type, handle in handlers:
        context.links.register(body_type, handle)


def _handle_member_change(context):
    context.handover.update_owners()
    context.query_runner.refresh_members()
    context.metrics.set_gauge('members', len(context.membership.members))


def _handle_key_change(context, key):
    value = context.configuration.value(key)
    if key.startswith(GROUP_KEY_PREFIX):
        context.groups.update(key, value)
        context.owner_service.mark_ownership_stale()
    elif key == VMS_KEY and value is not None:
        _report_leaving_vms(context, value)


def _report_leaving_vms(context, vms):
    """Update the drain state of backend servers from the VM list."""
    revision = context.configuration.revision(VMS_KEY)
    for vm in vms:
        was_draining = context.drains.is_draining(vm.name)
        is_leaving = vm.state == 'leaving'
        context.drains.record_platform_listing(vm.name, is_leaving, revision)
        if not was_draining and context.drains.is_draining(vm.name):
            context.owner_service.handle_drain_start(vm.name, 'platform list')
