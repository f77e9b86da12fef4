"""Merges the records that the shards of a query have returned."""

import heapq

RECORD_BYTES = 16


def merge_records(bodies, limit):
    """Return the greatest records, greatest first, compared bytewise.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of `RECORD_BYTES` in any order; a shorter remainder at the
        end of a body is no record.
    limit : int
        Most records to return. Equal records all count.

    Returns
    -------
    bytes

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
