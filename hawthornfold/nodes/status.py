"""Describes the current state of one node for operators."""


def describe_status(context):
    """Return the status document of a node.

    Parameters
    ----------
    context : NodeContext
        All services of the node.
    """
    now_ms = context.clock.now_ms()
    return {
        'node': context.settings.node.name,
        'incarnation': context.incarnation,
        'data_centre': context.settings.node.data_centre,
        'state': context.lifecycle.state,
        'is_stale': context.pause_guard.is_stale(now_ms),
        'members': [
            {
                'name': member.name,
                'address': member.address,
                'data_centre': member.data_centre,
                'incarnation': member.incarnation,
                'state': str(member.state),
            }
            for member in context.membership.members
        ],
        'configuration': _describe_configuration(context, now_ms),
        'groups': {
            group.name: _describe_group(context, group, now_ms)
            for group in context.groups.list_groups()
        },
        'servers': {
            name: _describe_server(context, state)
            for name, state in sorted(context.owner_service.states.items())
        },
        'queries': {
            'in_flight': context.query_runner.in_flight,
            'primary_sub_requests': context.query_runner.budget.primary_count,
            'extra_sub_requests': context.query_runner.budget.extra_count,
            'extra_refused': context.query_runner.budget.denied_count,
            'tickets_held': context.ticket_service.ledger.size,
        },
        'counters': context.metrics.snapshot(),
    }


def _describe_configuration(context, now_ms):
    configuration = context.configuration
    return {
        'is_ready': configuration.is_ready,
        'is_watcher': configuration.is_watcher,
        'age_ms': round(configuration.age_ms(now_ms)),
        'revisions': {
            key: configuration.revision(key)
            for key in context.configuration.keys()  # noqa: SIM118
        },
        'refused': {
            key: {
                'revision': revision,
                'code': int(failure.code),
                'detail': failure.detail,
            }
            for key, (revision, failure) in configuration.refusals.items()
        },
    }


def _describe_group(context, group, now_ms):
    state = context.groups.find_state(group.name)
    selector = state.selector
    return {
        'snapshot': selector.current_snapshot,
        'snapshots': {
            layout.snapshot: {
                'reachable_weight': selector.compute_reachable_weight(
                    layout, now_ms
                ),
                'total_weight': layout.total_weight,
            }
            for layout in group.layouts
        },
        'hedge_delays_ms': [
            round(delay.quantile_ms, 2) for delay in state.hedge_delays
        ],
        'admission_limit': state.admission.limit,
    }


def _describe_server(context, state):
    return {
        'group': state.group,
        'slots': state.queue.slots,
        'running': state.queue.running,
        'depth': state.queue.depth,
        'service_ms': round(state.queue.service_ms, 2),
        'connections': state.pool.count,
        'connection_limit': state.pool.limit,
        'breaker_open': state.diagnosis.is_open,
        'draining': list(context.drains.active_signals(state.server.name)),
        'incarnation': state.incarnation,
        'held': list(state.held),
        'reported_load': state.reported_load,
    }
