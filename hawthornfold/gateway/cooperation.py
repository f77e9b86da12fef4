"""Creates what a node needs to serve requests together with others."""

import typing

from hawthornfold.delegation import Capacity
from hawthornfold.delegation import create_delegation_policy
from hawthornfold.delegation import create_division_policy
from hawthornfold.delegation import create_failover_policy
from hawthornfold.gateway.delegations import Delegations
from hawthornfold.gateway.division import FleetDivision
from hawthornfold.gateway.failover import NodeFailover
from hawthornfold.gateway.group_calls import GroupCaller
from hawthornfold.gateway.helper import GroupHelper


class Cooperation(typing.NamedTuple):
    """The parts of a node that exchange requests with other nodes.

    Parameters
    ----------
    delegations : Delegations
        Queries that are run whole by another node, on both sides.
    division : FleetDivision
        Plans the groups of parts that other nodes gather.
    group_caller : GroupCaller
        Sends groups to other nodes.
    group_helper : GroupHelper
        Gathers groups for other nodes.
    """

    delegations: Delegations
    division: FleetDivision
    group_caller: GroupCaller
    group_helper: GroupHelper


def create_cooperation(
    state, handler, runner, cost_model, fleet, clock, metrics
):
    """Create the `Cooperation` of a node, and set it at its handler.

    Parameters
    ----------
    state : GatewayState
        Settings, servers and limits.
    handler : GatewayHandler
        Answers requests.
    runner : RequestRunner
        Runs the parts of groups.
    cost_model : QueryCostModel
        Estimates how long queries occupy nodes.
    fleet : Fleet
        Sends and receives the messages.
    clock, metrics : object
        The node's clock and metrics registry.
    """
    settings = state.settings
    node = (settings.node_name, settings.data_centre)
    capacity = Capacity(settings.link_mbps, settings.cores)
    delegations = Delegations(
        create_delegation_policy(
            *node, capacity, cost_model, regions=state.regions
        ),
        fleet,
        settings,
        clock,
        metrics,
        handler.handle_delegated,
        lambda: state.placement.is_isolated,
        state.handle_server_notice,
    )
    handler.set_delegations(delegations)
    division_policy = create_division_policy(
        *node, capacity, cost_model, regions=state.regions
    )
    division = FleetDivision(
        division_policy,
        delegations.policy,
        state.directory,
        state.rate_limiter,
        fleet,
        settings.node_name,
    )
    group_caller = GroupCaller(fleet, division_policy, clock, metrics)
    handler.set_division(division, group_caller)
    handler.set_failover(
        NodeFailover(
            create_failover_policy(settings.data_centre, state.regions),
            fleet,
            division,
            delegations,
            clock,
            metrics,
        )
    )
    return Cooperation(
        delegations,
        division,
        group_caller,
        GroupHelper(state, runner, fleet, cost_model, clock, metrics),
    )
