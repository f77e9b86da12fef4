"""Keeps the events of recent requests on this node."""

import collections
import typing

# Default maximum number of requests with a record.
CAPACITY = 4096
# Maximum number of events per request. A query to 60 shards with hedges
# writes about 150; events beyond the maximum would only repeat earlier ones.
MAX_EVENTS = 1024
# Maximum number of events of all requests, about 175 bytes each. Without it,
# 4,096 queries to 650 shards would take 700 MB.
MAX_TOTAL_EVENTS = 100_000


class JournalEvent(typing.NamedTuple):
    """An event in the processing of a request.

    Parameters
    ----------
    offset_ms : float
        Time since the record was opened, in milliseconds.
    action : str
        Action such as ``send``, ``hedge``, ``answer`` or ``cancel``.
    subject : str
        Server, shard or node that the action concerns.
    detail : str
        Reason or result.
    """

    offset_ms: float
    action: str
    subject: str
    detail: str


class _Record(typing.NamedTuple):
    started_ms: float
    events: list[JournalEvent]


class RequestJournal:
    """A bounded journal that evicts the oldest request first."""

    def __init__(self, clock, capacity):
        self._clock = clock
        self._capacity = capacity
        self._records = collections.OrderedDict()
        self._total_events = 0

    def events(self, request_id):
        """Return the events of a request, or None if it has no record."""
        record = self._records.get(request_id)
        return None if record is None else list(record.events)

    def open(self, request_id):
        """Start a new record of a request and discard an older one.

        Events of a request without a record are ignored.
        """
        previous = self._records.pop(request_id, None)
        if previous is not None:
            self._total_events -= len(previous.events)
        self._records[request_id] = _Record(self._clock.now_ms(), [])
        while (
            len(self._records) > self._capacity
            or self._total_events > MAX_TOTAL_EVENTS
        ):
            _, oldest = self._records.popitem(last=False)
            self._total_events -= len(oldest.events)

    def add(self, request_id, action, subject, detail=''):
        """Append an event to the record of a request, if there is one.

        Events beyond `MAX_EVENTS` are ignored.
        """
        record = self._records.get(request_id)
        if record is None or len(record.events) >= MAX_EVENTS:
            return
        offset_ms = self._clock.now_ms() - record.started_ms
        self._total_events += 1
        record.events.append(JournalEvent(offset_ms, action, subject, detail))


def create_request_journal(clock, capacity=CAPACITY):
    """Create an empty journal.

    Examples
    --------
    >>> from hawthornfold.clock import create_manual_clock
    >>> journal = create_request_journal(create_manual_clock())
    >>> journal.open('r1')
    >>> journal.add('r1', 'send', 'server-1', 'shard a')
    >>> journal.events('r1')[0].action
    'send'
    """
    return RequestJournal(clock, capacity)
