"""Merges the answers of several shards into one."""

import typing

from hawthornfold.backends import Hit


class MergedAnswer(typing.NamedTuple):
    """Number of matches over all answered shards, and the best hits."""

    total: int
    hits: tuple[Hit, ...]


def merge_answers(answers, limit):
    """Return the merged answers of distinct shards of one snapshot.

    Hits are sorted by descending score, then by id, so that the result does
    not depend on the order in which answers arrive.

    Parameters
    ----------
    answers : iterable of ShardAnswer
        One answer for each shard.
    limit : int
        Maximum number of hits.

    Examples
    --------
    >>> from hawthornfold.backends import ShardAnswer
    >>> first = ShardAnswer('a', 1, (Hit('x', 3, ''),))
    >>> second = ShardAnswer('b', 4, (Hit('y', 3, ''), Hit('z', 1, '')))
    >>> merged = merge_answers([second, first], limit=2)
    >>> merged.total, [hit.id for hit in merged.hits]
    (5, ['x', 'y'])
    """
    total = 0
    hits = []
    for answer in answers:
        total += answer.total
        hits.extend(answer.hits)
    hits.sort(key=lambda hit: (-hit.score, hit.id))
    return MergedAnswer(total, tuple(hits[:limit]))
