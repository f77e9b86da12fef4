"""The facts of a request that rules match, and the decision they give."""

import types
import typing

# Requests with a lower number are served first.
URGENCIES = types.MappingProxyType(
    {'urgent': 0, 'ordinary': 1, 'background': 2}
)


class RequestFacts(typing.NamedTuple):
    """The properties of a request that rules can name.

    Parameters
    ----------
    service, kind : str
        As in the body of the request.
    caller_class : str
        Header ``X-Caller-Class``, or '' without one.
    method, path : str
        Method and path of the HTTP request, such as 'POST' and '/v1/query'.
    headers : dict of str to str
        Header values by lowercase name.
    data_centre : str
        Data centre of the node that received the request.
    """

    service: str
    kind: str
    caller_class: str = ''
    method: str = 'POST'
    path: str = '/v1/query'
    headers: typing.Mapping[str, str] = types.MappingProxyType({})
    data_centre: str = ''


class Decision(typing.NamedTuple):
    """How a request is handled.

    Parameters
    ----------
    rule : str
        Name of the rule, or 'default'.
    urgency : int
        0 urgent, 1 ordinary, 2 background.
    deadline_ms : int
        Time from arrival within which the answer must be ready.
    idempotent : bool
        Whether the request may run more than once.
    coverage_percent : int
        Minimum share of the data that an answer must cover.
    below_coverage : str
        What to do when the coverage is lower: 'partial' to answer with less
        data, 'refuse' to refuse the request.
    hedge : bool
        Whether slow sub-requests are sent to a second replica.
    max_retries : int
        Maximum number of retries of one sub-request.
    extra_load_percent : float
        Maximum number of hedges and retries per hundred primary
        sub-requests.
    snapshot_policy : str
        'restart' if the query may start over on another snapshot, 'pin' if
        not.
    objective_ms : float or None
        Time from arrival within which an answer has its full value for the
        caller; None when the rule has no objective.
    max_servers : int
        Maximum number of servers to which one request, or one shard's part
        of it, is sent.
    forward : tuple of ForwardTarget
        Services to which requests are forwarded unchanged, each with the
        weight of its share; empty unless the rule forwards requests.
    gather : Gather or None
        The shards whose records are merged, and the maximum number of
        records in an answer; None unless the rule gathers.
    allowed_regions : tuple of str
        Regions to whose servers requests may be sent; empty if all are
        allowed. Bodies are sent only to nodes in these regions or in that of
        the node that the caller is connected to.
    """

    rule: str
    urgency: int
    deadline_ms: int
    idempotent: bool
    coverage_percent: int
    below_coverage: str
    hedge: bool
    max_retries: int
    extra_load_percent: float
    snapshot_policy: str
    objective_ms: float | None = None
    max_servers: int = 2
    forward: tuple = ()
    gather: typing.Any = None
    allowed_regions: tuple[str, ...] = ()
