"""Merges the records that the shards of a query returned."""

import heapq

RECORD_BYTES = 16


def merge_records(bodies, limit):
    """Return the greatest records in descending bytewise order.

    Parameters
    ----------
    bodies : iterable of bytes
        Each body holds records of `RECORD_BYTES` in any order. A shorter
        remainder at its end is ignored.
    limit : int
        Maximum number of records to return. Duplicates are kept.

    Returns
    -------
    bytes
        The records, concatenated.

    Examples
    --------
    >>> merge_records([b'a' * 16 + b'c' * 16, b'b' * 16 + b'z'], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = []
    for body in bodies:
        end = len(body) - len(body) % RECORD_BYTES
        records += [
            body[start : start + RECORD_BYTES]
            for start in range(0, end, RECORD_BYTES)
        ]
    return b''.join(heapq.nlargest(limit, records))
