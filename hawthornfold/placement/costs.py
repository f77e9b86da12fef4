"""Estimates the cost in time of a request at a server."""

# Cost of a failed exchange: about the time of a second one after a time-out.
FAILURE_COST_MS = 250.0
# Share of its time by which a running request delays the next one although
# slots are free.
IN_FLIGHT_COST_SHARE = 0.25
# Factor by which a server that is warming up takes longer. It is not used for
# servers whose share of the load is restricted.
COLD_FACTOR = 1.6
# A server is considered stalled when its running exchanges have had no answer
# for this multiple of the typical latency plus the slack. The slack allows for
# queueing for a slot, which is not a stall.
STALL_FACTOR = 2.0
STALL_SLACK_MS = 6.0


def estimate_cost_ms(record, health, typical_ms, now_ms, is_slow):
    """Return the cost of a request at a server, without the network.

    Parameters
    ----------
    record : ServerRecord
        The server.
    health : ServerHealth
        What the node has observed of it.
    typical_ms : float
        Typical latency of the request.
    now_ms : float
        Current time on the node's clock.
    is_slow : bool
        Whether the server is warming up without a restricted share.

    Returns
    -------
    float
        Milliseconds.
    """
    slowness, failure_share = health.estimate(now_ms)
    cost = typical_ms * slowness
    in_flight, waiting = health.in_flight, health.reported_waiting
    if in_flight or waiting:
        slots = max(record.slots, 1)
        # Requests that exceed the slots wait. This node does not see the slots
        # that requests of other nodes use, but the server reports its queue.
        queued = max(0, in_flight + 1 - slots, waiting)
        ahead = (queued + IN_FLIGHT_COST_SHARE * in_flight) / slots
        cost *= 1.0 + ahead
    if is_slow:
        cost *= COLD_FACTOR
    cost += FAILURE_COST_MS * failure_share
    if in_flight:
        stall_ms = health.stall_ms(now_ms)
        if stall_ms > STALL_FACTOR * typical_ms + STALL_SLACK_MS:
            cost += stall_ms
    return cost
