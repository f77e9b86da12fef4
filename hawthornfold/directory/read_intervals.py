"""Determines how often a node reads the store."""

# Duration of a long poll. A poll that spans an outage of the store may never
# be answered, and a change must be in force 4 s after the end of an outage. In
# larger fleets longer polls suffice: some node reads the change in time and
# notifies the others, which then poll again.
LONG_POLL_MS = 3_000.0
MAX_LONG_POLL_MS = 12_000.0
# Delay of the next read after one that returned server changes. Changes come
# in groups and each read of the store is counted, so they are read in batches.
BATCH_DELAY_MS = 250.0
MAX_BATCH_DELAY_MS = 750.0
# With more readers than this in the fleet, polls and batch delays grow in
# proportion to the number of readers.
FULL_RATE_READERS = 10
# Interval between reads after a failure. Refused calls also count as reads.
RETRY_MS = 400.0
# Factor on `RETRY_MS` for a node that is not a reader and whose own read
# failed while it could not rely on its readers.
FOLLOWER_RETRY_FACTOR = 4.0


class ReadIntervals:
    """Intervals between reads of the store, by the number of readers.

    Examples
    --------
    >>> intervals = ReadIntervals()
    >>> intervals.set_reader_count(20)
    >>> intervals.long_poll_ms, intervals.batch_delay_ms
    (6000.0, 500.0)
    >>> intervals.retry_delay_ms(is_reader=False)
    1600.0
    """

    def __init__(self):
        self._factor = 1.0

    @property
    def long_poll_ms(self):
        """Duration of a long poll."""
        return min(self._factor * LONG_POLL_MS, MAX_LONG_POLL_MS)

    @property
    def batch_delay_ms(self):
        """Delay of the next read after one that returned server changes."""
        return min(self._factor * BATCH_DELAY_MS, MAX_BATCH_DELAY_MS)

    def retry_delay_ms(self, is_reader):
        """Return the delay of the next read after a failed one."""
        return RETRY_MS if is_reader else FOLLOWER_RETRY_FACTOR * RETRY_MS

    def set_reader_count(self, count):
        """Set the number of readers in the fleet."""
        self._factor = max(1.0, count / FULL_RATE_READERS)
