"""What rules look at, and what they decide."""

import types
import typing

# Lower numbers are served first.
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
        Of the HTTP request, as in 'POST' and '/v1/query'.
    headers : dict of str to str
        By lowercase name.
    data_centre : str
        Where the entry node runs.
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
        Least share of the data that an answer must cover.
    below_coverage : str
        'partial' to answer with less, 'refuse' not to.
    hedge : bool
        Whether slow sub-requests are sent to a second replica.
    max_retries : int
        Most retries of one sub-request.
    extra_load_percent : float
        Hedges and retries per hundred primary sub-requests.
    snapshot_policy : str
        'restart' if the query may start over on another snapshot, 'pin' if
        not.
    objective_ms : float or None
        Time from arrival within which an answer is of full use to the
        caller; None when the rule names none.
    max_servers : int
        Most servers that one request, or one shard's part of it, is sent
        to.
    forward : tuple of ForwardTarget
        Services that get the request unchanged, each with the weight of its
        share; empty unless the rule passes requests through.
    gather : Gather or None
        The shards whose records are merged, and how many records an answer
        holds; None unless the rule gathers.
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
