"""Finds out whether a server has ended while it ran a request.

A connection that breaks before a response is complete can have many causes.
If the server refuses a new connection right after that, its process has ended,
unless the node's own links have failed: then servers of other services are out
of reach at the same time.
"""

import errno
import random

from hawthornfold.gateway.endpoints import describe_error_code

# A server that neither accepts nor refuses a connection within this time
# counts as alive, or as out of reach if it is one of another service. A
# refusal takes one round trip.
CHECK_TIMEOUT_MS = 30.0
# Number of servers of other services of which one has to be reached. One alone
# may pause or have ended at the same time.
CONTROL_COUNT = 2
_REFUSED = describe_error_code(errno.ECONNREFUSED)


class LinkChecks:
    """Checks whether the node reaches servers of other services.

    Parameters
    ----------
    pools : ServerPools
        Creates the connections.
    directory : ServerDirectory
        Lists the servers.
    rng : random.Random
        Chooses among them.
    """

    def __init__(self, pools, directory, rng):
        self._pools = pools
        self._directory = directory
        self._rng = rng
        # The callbacks of the running checks, by the services left out.
        self._waiting = {}

    def check(self, services, on_end):
        """Check whether a server of another service accepts a connection.

        Parameters
        ----------
        services : tuple of str
            The services whose servers may have ended.
        on_end : callable
            Takes whether one does, or whether there is no other service;
            called from the event loop.
        """
        waiting = self._waiting.get(services)
        if waiting is not None:
            waiting.append(on_end)
            return
        in_force = self._directory.evacuations.in_force
        records = [
            record
            for record in self._directory.records.values()
            if record.service not in services
            and record.data_centre not in in_force
        ]
        if not records:
            on_end(True)
            return
        callbacks = self._waiting[services] = [on_end]
        chosen = self._rng.sample(records, min(CONTROL_COUNT, len(records)))
        pending = len(chosen)

        def end(is_reached):
            nonlocal pending
            pending -= 1
            # The first one that is reached has ended the check.
            if self._waiting.get(services) is callbacks and (
                is_reached or not pending
            ):
                del self._waiting[services]
                for callback in callbacks:
                    callback(is_reached)

        for record in chosen:
            _open_once(self._pools, record.address, lambda e: end(e is None))


class ServerEndChecks:
    """Checks servers whose connections broke, each once at a time.

    Parameters
    ----------
    pools : ServerPools
        Creates the connections.
    link_checks : LinkChecks
        Tell the end of a server from the loss of the node's links.
    metrics : Metrics
        Receives counters.
    """

    def __init__(self, pools, link_checks, metrics):
        self._pools = pools
        self._link_checks = link_checks
        self._metrics = metrics
        # The callbacks of the running checks, by server and start.
        self._waiting = {}

    def check(self, record, services, on_end):
        """Check whether a server has ended.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
        services : tuple of str
            All services that the request was sent to.
        on_end : callable
            Takes whether the server has ended; called from the event loop.
            Must not raise errors.
        """
        key = (record.server_id, record.born_ms, record.address)
        waiting = self._waiting.get(key)
        if waiting is not None:
            waiting.append(on_end)
            return
        self._waiting[key] = [on_end]

        def end(outcome):
            self._metrics.count('server_end_checks', outcome=outcome)
            for callback in self._waiting.pop(key):
                callback(outcome == 'ended')

        def handle_opened(error):
            if error != _REFUSED:
                end('alive')
                return
            self._link_checks.check(
                services,
                lambda is_reached: end(
                    'ended' if is_reached else 'links-failed'
                ),
            )

        _open_once(self._pools, record.address, handle_opened)


def _open_once(pools, address, on_opened):
    """Open a connection and close it.

    Parameters
    ----------
    on_opened : callable
        Takes an error text, or None on success; called from the event loop.
    """
    connection = pools.create_connection(address)

    def end(error):
        connection.close()
        on_opened(error)

    connection.open(CHECK_TIMEOUT_MS, end)


def create_server_end_checks(pools, directory, metrics):
    """Create the checks of a node's servers."""
    return ServerEndChecks(
        pools, LinkChecks(pools, directory, random.Random()), metrics
    )
