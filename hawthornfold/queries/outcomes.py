"""A query as a caller requests it, and its outcome."""

import typing

from hawthornfold.backends import Ran
from hawthornfold.backends import ShardAnswer
from hawthornfold.codes import ResultCode
from hawthornfold.snapshots import Coverage


class QueryRequest(typing.NamedTuple):
    """A query to all shards of a service group.

    Parameters
    ----------
    request_id : str
        Unique; names the node and incarnation that runs the query.
    service : str
        Name of the service group.
    kind : str
        ``search``, ``status`` or ``record``.
    text : str
        Words to search for, or the id to look up.
    limit : int
        Maximum number of hits.
    order : int
        Hash of the request id; decides between queries of equal urgency.
    """

    request_id: str
    service: str
    kind: str
    text: str
    limit: int
    order: int


class QueryOutcome(typing.NamedTuple):
    """Result of a query.

    Parameters
    ----------
    outcome : str
        ``complete``, ``partial``, ``refused`` or ``failed``.
    code : ResultCode
        OK, PARTIAL or the reason why there is no answer.
    detail : str
        One sentence for the caller.
    ran : Ran
        Whether any backend server executed a part of it.
    snapshot : str
        The snapshot that the answer comes from; empty if no shard answered.
    coverage : Coverage or None
        Share of that snapshot that was answered; None if no shard answered.
    answers : tuple of ShardAnswer
        One for each answered shard; empty if refused or failed.
    """

    outcome: str
    code: ResultCode
    detail: str
    ran: Ran
    snapshot: str = ''
    coverage: Coverage | None = None
    answers: tuple[ShardAnswer, ...] = ()


def create_refused_outcome(code, detail, ran=Ran.NO):
    """Create the outcome of a query that is refused before it starts."""
    return QueryOutcome('refused', code, detail, ran)
