"""Keeps a directory and a configuration up to date from a store."""

import logbook

_LOG = logbook.Logger('directory')

# A wait that outlasts an outage of the store may never end, and a change has
# to be in force 4 s after the end of an outage.
WAIT_MS = 3_000.0
# Changes come in groups, and each read is counted: after some have come, the
# next are left to collect for this long.
COLLECT_MS = 150.0
# After a failure the store is asked for at this pace; each refused call
# counts as one.
RETRY_MS = 400.0
# A refused bulk read is repeated at most this often.
RELOAD_RETRY_MS = 600.0
# Due removals are carried out at least this often.
EXPIRE_MS = 250.0


class StoreWatcher:
    """Follows a `PublishedStore`.

    Parameters
    ----------
    on_servers : callable
        Called with a list of `DirectoryEvent` after a change of servers.
    on_configuration : callable
        Called with each newer `RoutingConfiguration`.
    """

    def __init__(
        self, store, directory, clock, metrics, on_servers, on_configuration
    ):
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._on_servers = on_servers
        self._on_configuration = on_configuration
        self._revision = None
        self._version = -1
        self._is_reachable = None
        self._read_ms = None

    @property
    def is_loaded(self):
        """Whether the store was read once."""
        return self._read_ms is not None

    @property
    def revision(self):
        """The store's revision up to which everything is known."""
        return self._revision

    def age_ms(self, now_ms):
        """Return the time since the store last answered, or None."""
        return None if self._read_ms is None else now_ms - self._read_ms

    def run(self):
        """Follow the store for ever; to be spawned as a green thread."""
        while True:
            pause_ms = self.step()
            if pause_ms:
                self._clock.sleep_ms(pause_ms)

    def run_expiry(self):
        """Carry out late removals; to be spawned as a green thread."""
        while True:
            self._clock.sleep_ms(EXPIRE_MS)
            self._publish(self._directory.expire(self._clock.now_ms()))

    def step(self):
        """Read once.

        Returns
        -------
        float
            Milliseconds to wait before the next read.
        """
        if self._revision is None:
            return self._reload()
        outcome = self._store.wait_for_changes(self._revision, WAIT_MS)
        if outcome.is_err():
            return self._fail(outcome.err_value, RETRY_MS)
        changes = outcome.ok_value
        self._succeed()
        now_ms = self._clock.now_ms()
        events = self._directory.apply(changes.servers, now_ms)
        self._take_over(changes, events)
        return COLLECT_MS if changes.servers else 0.0

    def _reload(self):
        outcome = self._store.read_all()
        if outcome.is_err():
            return self._fail(outcome.err_value, RELOAD_RETRY_MS)
        changes = outcome.ok_value
        self._succeed()
        now_ms = self._clock.now_ms()
        events = self._directory.replace_all(changes.servers, now_ms)
        self._take_over(changes, events)
        return 0.0

    def _take_over(self, changes, events):
        for failure in changes.failures:
            self._metrics.count('store_items_refused')
            _LOG.warning(
                'event=item_refused key={} detail="{}"',
                failure.key,
                failure.detail,
            )
        # A reply from a replica that lags must not take the watch back.
        self._revision = max(self._revision or 0, changes.revision)
        configuration = changes.configuration
        if configuration is not None:
            if configuration.version > self._version:
                self._version = configuration.version
                self._on_configuration(configuration)
            else:
                self._metrics.count('configurations_ignored')
        self._publish(events)

    def _publish(self, events):
        if not events:
            return
        for event in events:
            self._metrics.count('server_changes', kind=event.kind)
            _LOG.notice(
                'event=server_{} server={} service={} address={} '
                'revision={} born_ms={}',
                event.kind,
                event.record.server_id,
                event.record.service,
                event.record.address,
                self._revision,
                event.record.born_ms,
            )
        self._on_servers(events)

    def _succeed(self):
        self._read_ms = self._clock.now_ms()
        self._metrics.count('store_reads', outcome='ok')
        if self._is_reachable is False:
            _LOG.notice('event=store_regained revision={}', self._revision)
            # Records may have lapsed meanwhile.
            self._directory.note_outage(self._read_ms)
        self._is_reachable = True

    def _fail(self, failure, pause_ms):
        now_ms = self._clock.now_ms()
        if failure.is_history_lost:
            self._metrics.count('store_reads', outcome='history_lost')
            _LOG.notice('event=store_history_lost revision={}', self._revision)
            self._revision = None
            return 0.0
        self._metrics.count('store_reads', outcome='failed')
        self._directory.note_outage(now_ms)
        if self._is_reachable is not False:
            _LOG.warning(
                'event=store_lost revision={} age_ms={} detail="{}"',
                self._revision,
                self.age_ms(now_ms),
                failure.detail,
            )
        self._is_reachable = False
        return pause_ms


def create_store_watcher(
    store, directory, clock, metrics, on_servers, on_configuration
):
    """Create a watcher that has not read anything yet."""
    return StoreWatcher(
        store, directory, clock, metrics, on_servers, on_configuration
    )
