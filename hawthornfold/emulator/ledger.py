"""Records every sub-request that the emulated backend servers receive.

Experiments compare the claims of the tier with these records.
"""

import collections

import msgspec

RAN = 'ran'
REFUSED = 'refused'
CANCELLED_QUEUED = 'cancelled-queued'
CANCELLED_RUNNING = 'cancelled-running'

# Outcomes of sub-requests that have not ended.
QUEUED = 'queued'
RUNNING = 'running'

# Maximum number of records kept, about 200 MB. Older ones are dropped; the
# control port reports how many.
MAX_RECORDS = 400_000


class Record(msgspec.Struct, eq=False, gc=False):
    """One sub-request on one server; it ran if `started_ms` is not None.

    Times are in milliseconds of the machine's monotonic clock, so that records
    of several processes can be compared.
    """

    sequence: int
    server: str
    incarnation: str
    connection: int
    request_id: str
    attempt: int
    shards: tuple[str, ...]
    snapshot: str
    received_ms: float
    deadline_ms: float
    started_ms: float | None = None
    finished_ms: float | None = None
    outcome: str = QUEUED
    reason: str = ''

    @property
    def is_open(self):
        """Whether the sub-request is queued or running."""
        return self.outcome in (QUEUED, RUNNING)


class Ledger:
    """The records of one process, in order of receipt."""

    def __init__(self, max_records):
        self._max_records = max_records
        self._records = collections.deque()
        self._by_request = {}
        self._received_count = 0
        self._dropped_count = 0

    @property
    def dropped_count(self):
        """Number of records dropped because the ledger was full."""
        return self._dropped_count

    def open_record(
        self,
        server,
        incarnation,
        connection,
        request_id,
        attempt,
        shards,
        snapshot,
        now_ms,
        deadline_ms,
    ):
        """Record the receipt of a sub-request before it is queued or run."""
        self._received_count += 1
        record = Record(
            self._received_count,
            server,
            incarnation,
            connection,
            request_id,
            attempt,
            shards,
            snapshot,
            now_ms,
            deadline_ms,
        )
        self._records.append(record)
        earlier = self._by_request.get(request_id, ())
        self._by_request[request_id] = (*earlier, record)
        if len(self._records) > self._max_records:
            self._drop_oldest()
        return record

    def find_records(self, request_id):
        """Return the records of one request, in order of receipt."""
        return self._by_request.get(request_id, ())

    def list_records(self, since=0):
        """Return the records whose sequence number is above `since`."""
        first = self._records[0].sequence if self._records else 1
        if since < first:
            return tuple(self._records)
        newest = self._received_count
        count = max(newest - since, 0)
        records = []
        for record in reversed(self._records):
            if len(records) == count:
                break
            records.append(record)
        return tuple(reversed(records))

    def _drop_oldest(self):
        record = self._records.popleft()
        self._dropped_count += 1
        remaining = tuple(
            other
            for other in self._by_request[record.request_id]
            if other is not record
        )
        if remaining:
            self._by_request[record.request_id] = remaining
        else:
            del self._by_request[record.request_id]


def create_ledger(max_records=MAX_RECORDS):
    """Create an empty ledger.

    Examples
    --------
    >>> ledger = create_ledger()
    >>> record = ledger.open_record(
    ...     'a1', 'i1', 1, 'q1', 1, ('a',), 's1', 0.0, 80.0)
    >>> ledger.find_records('q1')[0].outcome
    'queued'
    """
    return Ledger(max_records)
