"""A query as callers ask it, and its outcome."""

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
        Greatest number of hits.
    order : int
        Hash of the request id; ranks queries of equal urgency.
    """

    request_id: str
    service: str
    kind: str
    text: str
    limit: int
    order: int


class QueryOutcome(typing.NamedTuple):
    """What became of a query.

    Parameters
    ----------
    outcome : str
        ``complete``, ``partial``, ``refused`` or ``failed``.
    code : ResultCode
        OK, PARTIAL or the reason.
    detail : str
        One sentence for the caller.
    ran : Ran
        Whether any backend server executed a part of it.
    snapshot : str
        The one snapshot that the answer comes from, empty without answer.
    coverage : Coverage or None
        Coverage of that snapshot.
    answers : tuple of ShardAnswer
        One for each covered shard.
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
