"""Creates the execution of a request."""

from hawthornfold.gathering.execution import Execution


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
):
    """Create the execution of a request that has not been sent yet.

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
        directory,
        placement,
        repeat_budgets,
        latency_tracker,
        groups,
        is_helper,
    )
