"""Blocks servers that are silent and probes blocked ones."""

import logbook

_LOG = logbook.Logger('gateway')

# Interval at which silent servers are blocked and blocked ones are probed.
SWEEP_INTERVAL_MS = 50.0
# A sweep that is later than this was held up by the node itself.
LATENESS_SLACK_MS = 10.0


class ServerSweep:
    """Checks the health of all servers at regular intervals.

    Parameters
    ----------
    state : GatewayState
        Placement, directory and connection pools.
    clock, metrics : object
        The node's clock and metrics registry.
    isolation_monitor : IsolationMonitor, optional
        Checks whether the node reaches any server.
    """

    def __init__(self, state, clock, metrics, isolation_monitor=None):
        self._state = state
        self._isolation_monitor = isolation_monitor
        self._clock = clock
        self._metrics = metrics
        # The servers that were blocked at the last check.
        self._blocked_ids = frozenset()

    def run(self):
        """Check all servers in an endless loop; to be spawned."""
        placement = self._state.placement
        while True:
            started_ms = self._clock.now_ms()
            self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            late_ms = self._clock.now_ms() - started_ms - SWEEP_INTERVAL_MS
            if late_ms > LATENESS_SLACK_MS:
                placement.excuse_silence(late_ms)
            # Lets the event loop handle what has arrived meanwhile.
            self._clock.sleep_ms(0.0)
            self.check(self._clock.now_ms())

    def check(self, now_ms):
        """Block silent servers and start the probes that are due."""
        placement = self._state.placement
        self._state.signals.expire(now_ms)
        self._state.suspects.check()
        if self._isolation_monitor is not None:
            self._isolation_monitor.check(now_ms)
        silent_ids = placement.block_silent_servers(now_ms)
        blocked_ids = placement.blocked_server_ids()
        self._report_blocked(blocked_ids, silent_ids)
        if placement.is_isolated:
            return
        for server_id in blocked_ids:
            health = placement.health(server_id)
            health.expire_replaced(now_ms)
            if health.needs_probe(now_ms):
                self._start_probe(server_id, now_ms)

    def _report_blocked(self, blocked_ids, silent_ids):
        """Log and count the servers that were not blocked before."""
        for server_id in blocked_ids:
            if server_id not in self._blocked_ids:
                cause = 'silence' if server_id in silent_ids else 'failures'
                self._metrics.count('servers_blocked', cause=cause)
                _LOG.warning(
                    'event=server_blocked server={} cause={}', server_id, cause
                )
        self._blocked_ids = frozenset(blocked_ids)
        self._metrics.set_gauge('blocked_servers', len(blocked_ids))

    def _start_probe(self, server_id, now_ms):
        record = self._state.directory.get(server_id)
        if record is None:
            self._state.placement.remove_server(server_id)
            return
        if record.data_centre in self._state.directory.evacuations.in_force:
            return
        # The probe counts as failed until it succeeds. This delays the next
        # probe, so that only one runs at a time.
        health = self._state.placement.health(server_id)
        health.record_probe(False, now_ms)

        def end(has_succeeded):
            self._metrics.count(
                'server_probes', outcome='ok' if has_succeeded else 'failed'
            )
            health.record_probe(has_succeeded, self._clock.now_ms())
            if has_succeeded:
                _LOG.notice(
                    'event=server_unblocked server={} cause=probe', server_id
                )

        self._state.get_pool(record).probe(end)
