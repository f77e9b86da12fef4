"""Peer messages with the demand for servers that have a rate limit."""

import typing


class ServerDemand(typing.NamedTuple):
    """The demand for one server, and the limit that it has named.

    Parameters
    ----------
    server_id : str
        The server.
    born_ms : int
        Start of its process, milliseconds since the Unix epoch; 0 if unknown.
    limit_milli : int
        Its limit, in thousandths of a request per second.
    age_ms : int
        Time since a response named this limit, in milliseconds.
    demand_milli : tuple of int
        Demand of each class, in thousandths of a request per second.
    """

    server_id: str
    born_ms: int
    limit_milli: int
    age_ms: int
    demand_milli: tuple[int, ...]


class DemandReport(typing.NamedTuple):
    """Reports the sender's own demand to the node that adds it up.

    Parameters
    ----------
    period_ms : int
        The sender reports on these servers again after this time.
    servers : tuple of ServerDemand
        The servers.
    """

    period_ms: int
    servers: tuple[ServerDemand, ...]


class DemandTotals(typing.NamedTuple):
    """Answer to a `DemandReport`: the demand of all nodes.

    Parameters
    ----------
    period_ms : int
        As in the report.
    servers : tuple of ServerDemand
        The servers of the report for which the sum is known, with the limit
        that was named last to any node.
    """

    period_ms: int
    servers: tuple[ServerDemand, ...]
