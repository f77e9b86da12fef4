"""Creates the execution of a request."""

from hawthornfold.gathering.execution import Execution
from hawthornfold.gathering.server_choice import ServerChoice


def create_execution(
    decision,
    services,
    times,
    directory,
    placement,
    repeat_budgets,
    latency_tracker,
    groups=(),
    is_helper=False,
    regions=None,
    suspect_services=None,
    unserved=None,
    sent_count=0,
):
    """Create the execution of a request, with a `ServerChoice`.

    Raises
    ------
    ValueError
        If `services` is empty.
    """
    if not services:
        raise ValueError('a request has at least one part')
    return Execution(
        decision,
        services,
        times,
        ServerChoice(decision, directory, placement, regions),
        repeat_budgets,
        latency_tracker,
        groups,
        is_helper,
        suspect_services,
        unserved,
        sent_count,
    )
