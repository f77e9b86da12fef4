"""Pools a node's connections to its backend servers, within their limits."""

import collections

import eventlet
import eventlet.semaphore

from hawthornfold.gateway.exchange import CONNECT_TIMEOUT_MS
from hawthornfold.gateway.exchange import ServerConnection

# Share of a server's connections that all nodes together may open. The rest is
# for nodes that restart while the server has not closed their old connections.
USABLE_SHARE = 0.8


def compute_connection_limit(limit, share):
    """Return the number of connections that one node may open to a server.

    Parameters
    ----------
    limit : int
        Number of connections that the server accepts.
    share : float
        The node's share of them, 0 to 1.

    Returns
    -------
    int
        At least 1.

    Examples
    --------
    >>> (
    ...     compute_connection_limit(26, 1 / 7),
    ...     compute_connection_limit(26, 1 / 63),
    ... )
    (2, 1)
    """
    return max(1, int(limit * USABLE_SHARE * share))


class ServerPool:
    """A pool of idle and busy connections to one server process."""

    def __init__(self, address, limit, names, clock, metrics, on_connect):
        self._address = address
        self._limit = limit
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._on_connect = on_connect
        self._slots = eventlet.semaphore.Semaphore(limit)
        self._idle = collections.deque()
        self._busy = set()
        self._is_closed = False

    @property
    def address(self):
        """``ip:port`` of the server."""
        return self._address

    @property
    def has_idle(self):
        """Whether at least one connection is idle."""
        return bool(self._idle)

    def set_limit(self, limit):
        """Set the maximum number of connections."""
        for _ in range(self._limit, limit):
            self._slots.release()
        for _ in range(limit, self._limit):
            # Does not block: busy connections finish their exchange.
            self._slots.acquire(blocking=False)
        self._limit = limit

    def acquire(self, is_idempotent, timeout_ms):
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        is_idempotent : bool
            Whether the request may be executed twice.
        timeout_ms : float
            Maximum time to wait for a free slot, and then to connect.

        Returns
        -------
        tuple of (ServerConnection or None, str)
            The connection and '', or None and the reason.
        """
        if not self._slots.acquire(timeout=max(timeout_ms, 1.0) / 1000.0):
            return None, 'no free connection'
        while self._idle:
            connection = self._idle.pop()
            if connection.can_carry_request(is_idempotent):
                self._busy.add(connection)
                return connection, ''
            connection.close()
        connection = ServerConnection(self._address, self._names, self._clock)
        self._busy.add(connection)
        self._metrics.count('server_connections_opened')
        started_ms = self._clock.now_ms()
        error = connection.open(min(timeout_ms, CONNECT_TIMEOUT_MS))
        if error is not None:
            self.release(connection)
            return None, error
        self._on_connect(self._clock.now_ms() - started_ms)
        return connection, ''

    def release(self, connection):
        """Return a connection to the pool; close it if it is not reusable."""
        self._busy.discard(connection)
        if connection.is_reusable and not self._is_closed:
            self._idle.append(connection)
        else:
            connection.close()
        self._slots.release()

    def probe(self):
        """Open a connection to check that the server accepts it.

        Returns
        -------
        bool
            Whether the server accepted. The connection joins the pool.
            False also if all connections are in use.
        """
        if not self._slots.acquire(blocking=False):
            return False
        connection = ServerConnection(self._address, self._names, self._clock)
        self._busy.add(connection)
        self._metrics.count('server_connections_opened')
        error = connection.open(CONNECT_TIMEOUT_MS)
        self.release(connection)
        return error is None

    def discard_idle(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def close(self):
        """Close idle connections now and busy ones after their exchange."""
        self._is_closed = True
        self.discard_idle()


class ServerPools:
    """Holds the `ServerPool` of each server, by server id."""

    def __init__(self, names, clock, metrics, on_connect):
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._on_connect = on_connect
        self._pools = {}

    def get(self, record, limit):
        """Return the pool of a server; create it if missing or outdated."""
        pool = self._pools.get(record.server_id)
        if pool is None or pool.address != record.address:
            if pool is not None:
                pool.close()
            pool = self._pools[record.server_id] = ServerPool(
                record.address,
                limit,
                self._names,
                self._clock,
                self._metrics,
                self._on_connect,
            )
        return pool

    def has_idle(self, server_id):
        """Return whether a server has an idle connection."""
        pool = self._pools.get(server_id)
        return pool is not None and pool.has_idle

    def find(self, server_id):
        """Return the pool of a server, or None."""
        return self._pools.get(server_id)

    def close_pool(self, server_id):
        """Close and remove the pool of a server, if there is one."""
        pool = self._pools.pop(server_id, None)
        if pool is not None:
            pool.close()

    def close(self):
        """Close all pools."""
        for server_id in list(self._pools):
            self.close_pool(server_id)
