"""Notices that the node has lost its servers, and that they are back."""

import random

import logbook

from hawthornfold.gateway.connections import CONNECT_TIMEOUT_MS

_LOG = logbook.Logger('gateway')

# When the links return, the probes of a node are spread over this time for
# each node of the fleet, and over the minimum at least. A new connection
# occupies a server for up to 6 ms, and all nodes open one to each server.
RETURN_SPREAD_PER_NODE_MS = 15.0
MIN_RETURN_SPREAD_MS = 350.0


class IsolationMonitor:
    """Acts on the state of the node's `IsolationDetector`.

    Parameters
    ----------
    state : GatewayState
        Placement, directory and connection pools.
    end_attempts : callable
        Ends the attempts in progress at all servers.
    clock, metrics : object
        The node's clock and metrics registry.
    rng : random.Random
        Chooses the servers that are probed.
    """

    def __init__(self, state, end_attempts, clock, metrics, rng):
        self._state = state
        self._end_attempts = end_attempts
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._isolated_ms = None

    def check(self, now_ms):
        """Update the state and start the probes that are due."""
        placement = self._state.placement
        detector = placement.isolation
        silent_ids = placement.list_silent(now_ms)
        detector.check(silent_ids, self._state.pools.has_any_idle, now_ms)
        if detector.is_isolated and self._isolated_ms is None:
            self._begin(silent_ids, now_ms)
        elif not detector.is_isolated and self._isolated_ms is not None:
            self._end(now_ms)
        if detector.take_due_probe(now_ms):
            in_force = self._state.directory.evacuations.in_force
            candidates = [
                record
                for record in self._state.directory.records.values()
                if record.data_centre not in in_force
            ]
            for record in detector.choose_probed(
                candidates, silent_ids, self._rng
            ):
                self._probe(record)

    def _begin(self, silent_ids, now_ms):
        self._isolated_ms = now_ms
        records = self._state.directory.records
        self._metrics.count('isolations')
        self._metrics.set_gauge('isolated', 1)
        _LOG.warning(
            'event=servers_lost servers={} silent={} contact_age_ms={:.0f}',
            len(records),
            len(silent_ids),
            now_ms - self._state.placement.isolation.last_contact_ms,
        )
        self._state.placement.block_all(records, now_ms)
        self._end_attempts('the links to all servers have failed')

    def _end(self, now_ms):
        _LOG.notice(
            'event=servers_regained isolated_ms={:.0f}',
            now_ms - self._isolated_ms,
        )
        self._isolated_ms = None
        self._metrics.set_gauge('isolated', 0)
        self._state.placement.expect_return(
            max(
                MIN_RETURN_SPREAD_MS,
                RETURN_SPREAD_PER_NODE_MS * self._state.node_count,
            ),
            now_ms,
        )

    def _probe(self, record):
        connection = self._state.pools.create_connection(record.address)

        def end(error):
            connection.close()
            if error is None:
                self._state.placement.isolation.record_contact(
                    self._clock.now_ms()
                )

        self._metrics.count('isolation_probes')
        connection.open(CONNECT_TIMEOUT_MS, end)


def create_isolation_monitor(state, end_attempts, clock, metrics):
    """Create the monitor of a node."""
    return IsolationMonitor(
        state, end_attempts, clock, metrics, random.Random()
    )
