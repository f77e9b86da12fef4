"""Names of the HTTP headers between callers, the tier and servers."""

import typing


class HeaderNames(typing.NamedTuple):
    """The names that a deployment uses for each header.

    Parameters
    ----------
    request_id : str
        Identifies one attempt of a caller; servers return it.
    deadline : str
        Time for which the sender waits, in milliseconds.
    target : str
        Id of the only server that may execute the request.
    seal : str
        A server's seal of an answer, which proves its origin.
    part_seals : str
        Seals of all parts of a gathered answer.
    missing_parts : str
        Number of shards that a gathered answer lacks.
    not_executed : str
        Marks the answer of a server that did not execute the request.
    load : str
        A server's load: requests running, requests waiting, slots.
    warmup : str
        How long a server remains cold, in milliseconds.
    leaving : str
        Marks the answers of a server that leaves, with the value 1.
    retry_after : str
        With status 503: for how long the sender wants no request, in seconds.
    rate_limit : str
        Requests a second that a server takes from all nodes together.
    """

    request_id: str = 'X-Request-Id'
    deadline: str = 'X-Deadline-Ms'
    target: str = 'X-Target-Server'
    seal: str = 'X-Seal'
    part_seals: str = 'X-Part-Seals'
    missing_parts: str = 'X-Missing-Parts'
    not_executed: str = 'X-Not-Executed'
    load: str = 'X-Load'
    warmup: str = 'X-Warmup-Left'
    leaving: str = 'X-Leaving'
    retry_after: str = 'Retry-After'
    rate_limit: str = 'X-Rate-Limit'
