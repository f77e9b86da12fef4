"""Finds out whether a server has ended while it ran a request.

A connection that breaks without any byte of a response can have many causes.
If the server refuses a new connection right after that, its process has ended.
"""

import errno

from hawthornfold.gateway.endpoints import describe_error_code

# A server that neither accepts nor refuses a connection within this time
# counts as alive. A refusal takes one round trip.
CHECK_TIMEOUT_MS = 30.0
_REFUSED = describe_error_code(errno.ECONNREFUSED)


class ServerEndChecks:
    """Checks servers whose connections broke, each once at a time.

    Parameters
    ----------
    pools : ServerPools
        Creates the connections.
    metrics : Metrics
        Receives counters.
    """

    def __init__(self, pools, metrics):
        self._pools = pools
        self._metrics = metrics
        # The callbacks of the running checks, by server and start.
        self._waiting = {}

    def check(self, record, on_end):
        """Check whether a server has ended.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by.
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
        connection = self._pools.create_connection(record.address)

        def end(error):
            has_ended = error == _REFUSED
            connection.close()
            self._metrics.count(
                'server_end_checks', outcome='ended' if has_ended else 'alive'
            )
            for callback in self._waiting.pop(key):
                callback(has_ended)

        connection.open(CHECK_TIMEOUT_MS, end)


def create_server_end_checks(pools, metrics):
    """Create the checks of a node's servers."""
    return ServerEndChecks(pools, metrics)
