"""Merges the records that the shards of a query returned."""

import struct

RECORD_BYTES = 16
_RECORD = struct.Struct(f'{RECORD_BYTES}s')
# Records that are unpacked at a time. Each takes 57 bytes of memory, so that a
# body of 6 MB would take another 22 MB at once.
_BATCH_RECORDS = 4_096


class RecordMerger:
    """Keeps the greatest records of the parts received so far.

    Parts are merged as they arrive, while the node waits for others. Merging
    all of them at the end would delay the answer.

    Parameters
    ----------
    limit : int
        Maximum number of records to keep. Duplicates are kept.

    Examples
    --------
    >>> merger = RecordMerger(2)
    >>> merger.add(b'a' * 16 + b'c' * 16)
    >>> merger.add(b'b' * 16 + b'z')
    >>> merger.merged
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """

    def __init__(self, limit):
        self._limit = limit
        # In descending bytewise order.
        self._records = []

    @property
    def merged(self):
        """The greatest records in descending order, concatenated."""
        return b''.join(self._records)

    def add(self, body):
        """Merge the records of a part.

        Parameters
        ----------
        body : bytes
            Records in any order. A shorter remainder at its end is ignored.
        """
        size = len(body) - len(body) % RECORD_BYTES
        batch_bytes = _BATCH_RECORDS * RECORD_BYTES
        for offset in range(0, size, batch_bytes):
            self._add_batch(body[offset : min(offset + batch_bytes, size)])

    def _add_batch(self, body):
        records = [record for (record,) in _RECORD.iter_unpack(body)]
        if len(self._records) == self._limit:
            smallest = self._records[-1]
            records = [record for record in records if record > smallest]
        if records:
            records += self._records
            records.sort(reverse=True)
            self._records = records[: self._limit]
