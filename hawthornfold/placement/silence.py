"""Finds servers that leave requests of a node without any answer."""

from hawthornfold.placement.health import MIN_SILENCE_MS

# Up to this many servers are blocked for silence although fewer others have
# answered meanwhile. A node with little traffic may have no others to compare.
MAX_UNCONFIRMED_SILENT = 2


def block_silent_servers(health_by_id, now_ms):
    """Block the servers that have been silent for too long.

    Blocks none if more servers are silent than have answered: the node or its
    link is then the likely cause, and `IsolationDetector` decides.

    Parameters
    ----------
    health_by_id : dict of str to ServerHealth
        What the node has observed of each server.
    now_ms : float
        Current time on the node's clock.

    Returns
    -------
    list of str
        Ids of the servers that were not blocked before.
    """
    silent = [
        server_id
        for server_id, health in health_by_id.items()
        if not health.is_blocked and health.is_silent(now_ms)
    ]
    if len(silent) > MAX_UNCONFIRMED_SILENT:
        since_ms = now_ms - MIN_SILENCE_MS
        answered_count = sum(
            health.has_answered_since(since_ms)
            for health in health_by_id.values()
        )
        if answered_count < len(silent):
            return []
    for server_id in silent:
        health_by_id[server_id].block_for_silence(now_ms)
    return silent


def find_silent_ids(health_by_id, since_ms, now_ms):
    """Return the servers that have owed an answer for suspiciously long.

    Parameters
    ----------
    health_by_id : dict of str to ServerHealth
        What the node has observed of each server.
    since_ms : float
        When a server was last in contact.
    now_ms : float
        Current time on the node's clock.

    Returns
    -------
    list of str
    """
    return [
        server_id
        for server_id, health in health_by_id.items()
        if health.in_flight and health.owes_answer(since_ms, now_ms)
    ]
