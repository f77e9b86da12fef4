"""Tracks whether a node reaches the store and how old its data is."""

import logbook

from hawthornfold.directory.removals import REMOVAL_GRACE_MS

_LOG = logbook.Logger('directory')

# After a waiting call was cut, the store counts as available all the while if
# it answers again within this time. No record expires so soon.
MAX_CUT_MS = 1_000.0


class StoreReachability:
    """Records reads of the store, and its outages in the server directory.

    Parameters
    ----------
    directory : ServerDirectory
        Defers removals after an outage, since records may have expired.
    metrics : Metrics
        Counts the reads.
    """

    def __init__(self, directory, metrics):
        self._directory = directory
        self._metrics = metrics
        self._is_reachable = None
        # Whether the last failure may have been an outage for writers.
        self._is_unavailable = False
        self._last_read_ms = None
        self._last_outage_ms = None
        # When a waiting call was cut, until the next answer or failure.
        self._cut_ms = None

    @property
    def is_reachable(self):
        """Whether the last read succeeded, None before the first."""
        return self._is_reachable

    @property
    def has_data(self):
        """Whether the store was read once."""
        return self._last_read_ms is not None

    def age_ms(self, now_ms):
        """Return the time since the data was last current, or None."""
        return (
            None if self._last_read_ms is None else now_ms - self._last_read_ms
        )

    def outage_age_ms(self, now_ms):
        """Return the time since the last outage while it matters, or None."""
        if self._last_outage_ms is None:
            return None
        age_ms = now_ms - self._last_outage_ms
        return age_ms if age_ms < REMOVAL_GRACE_MS else None

    def confirm(self, now_ms):
        """Record that a reader has confirmed the data as current."""
        self._last_read_ms = now_ms

    def record_success(self, position, now_ms):
        """Record a read of the store by a node at a `StorePosition`."""
        self._last_read_ms = now_ms
        self._metrics.count('store_reads', outcome='ok')
        if self._is_reachable is False:
            _LOG.notice('event=store_regained position={}', position)
        if self._has_missed_outage(now_ms):
            # Records may have expired during the outage.
            self.record_outage(now_ms)
        self._directory.record_return()
        self._cut_ms = None
        self._is_unavailable = False
        self._is_reachable = True

    def record_cut(self, now_ms):
        """Record that the connection of a waiting call broke."""
        self._metrics.count('store_reads', outcome='cut')
        if self._cut_ms is None:
            self._cut_ms = now_ms

    def record_failure(self, position, detail, is_outage, now_ms):
        """Record a failed read of the store.

        Parameters
        ----------
        is_outage : bool
            Whether the store may be out of reach for its writers too.
        """
        self._metrics.count('store_reads', outcome='failed')
        if is_outage:
            self._is_unavailable = True
            self.record_outage(now_ms)
        if self._is_reachable is not False:
            _LOG.warning(
                'event=store_lost position={} age_ms={} detail="{}"',
                position,
                self.age_ms(now_ms),
                detail,
            )
        self._is_reachable = False

    def _has_missed_outage(self, now_ms):
        """Return whether records may have expired until this answer."""
        if self._is_unavailable:
            return True
        return self._cut_ms is not None and now_ms - self._cut_ms > MAX_CUT_MS

    def record_outage(self, now_ms):
        """Record that records in the store may have expired until now."""
        self._last_outage_ms = now_ms
        self._directory.record_outage(now_ms)
