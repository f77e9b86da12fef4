"""Pools a node's connections to its backend servers, within their limits."""

import abc
import collections
import typing

import logbook

from hawthornfold.gateway.connections import CONNECT_TIMEOUT_MS
from hawthornfold.gateway.connections import ServerConnection
from hawthornfold.gateway.exchange import ResponseClassifier

_LOG = logbook.Logger('gateway')

# Share of a server's connections that all nodes together may open. The rest is
# for nodes that restart while the server has not closed their old connections.
USABLE_SHARE = 0.8


class ConnectionLimits(typing.NamedTuple):
    """Limits of one node's connections to one server.

    Parameters
    ----------
    kept : int
        Maximum number that the node keeps open while they are idle.
    maximum : int
        Maximum number that are open at a time. Where there are more nodes
        than connections, a node that may keep none opens one for a request
        and closes it afterwards; few requests are in progress at a time.
    """

    kept: int
    maximum: int


def compute_connection_limits(limit, share, rank):
    """Return the limits of one node's connections to a server.

    Parameters
    ----------
    limit : int
        Number of connections that the server accepts.
    share : float
        The node's share of them, 0 to 1.
    rank : float
        The node's place among all nodes for this server, evenly distributed
        from 0 to 1. It decides which nodes keep a connection where there are
        not enough for all.

    Returns
    -------
    ConnectionLimits

    Examples
    --------
    >>> compute_connection_limits(26, 1 / 7, 0.5)
    ConnectionLimits(kept=3, maximum=3)
    >>> compute_connection_limits(120, 1 / 195, 0.9)
    ConnectionLimits(kept=0, maximum=1)
    """
    exact = limit * USABLE_SHARE * share
    kept = int(exact) + (rank < exact % 1.0)
    return ConnectionLimits(kept, max(1, kept))


class ConnectionUser(abc.ABC):
    """A request for a connection of a pool."""

    __slots__ = ()

    # Whether the connection is no longer needed.
    is_cancelled = False
    # Whether the request that the connection is for may be executed twice.
    is_idempotent = True
    # Users with a lower priority are served first.
    priority = (0, 0.0)

    @abc.abstractmethod
    def handle_connection(self, connection, reason):
        """Take the `ServerConnection`, or None and the reason."""

    def withhold(self, detail):
        """Handle that the server may not be used any more."""
        self.handle_connection(None, detail)


class _Probe(ConnectionUser):
    """Checks that a server accepts a connection."""

    def __init__(self, pool, on_end):
        self._pool = pool
        self._on_end = on_end

    def handle_connection(self, connection, reason):
        if connection is not None:
            self._pool.release(connection)
        self._on_end(connection is not None)


class ServerPool:
    """A pool of idle and busy connections to one server process."""

    def __init__(
        self, address, limits, create_connection, metrics, on_connect
    ):
        self._address = address
        self._limits = limits
        self._create_connection = create_connection
        self._metrics = metrics
        self._on_connect = on_connect
        self._idle = collections.deque()
        self._waiting = []
        self._busy_count = 0
        self._is_closed = False

    @property
    def address(self):
        """``ip:port`` of the server."""
        return self._address

    @property
    def has_idle(self):
        """Whether at least one connection is idle."""
        return bool(self._idle)

    def set_limits(self, limits):
        """Set the `ConnectionLimits`; close idle connections above them."""
        self._limits = limits
        self._limit_idle(limits.maximum)
        self._serve_waiting()

    def acquire(self, user):
        """Get an idle connection, or open one.

        Waits while all connections are busy; the user with the lowest priority
        gets the next one.

        Parameters
        ----------
        user : ConnectionUser
            Receives the connection, before the method returns if one is
            idle, and later otherwise. A user that is cancelled while it
            waits receives none.
        """
        if self._busy_count < self._limits.maximum:
            self._assign(user)
        else:
            self._waiting.append(user)

    def release(self, connection):
        """Return a connection to the pool; close it if it is not reusable."""
        self._busy_count -= 1
        if connection.is_reusable and not self._is_closed:
            self._idle.append(connection)
        else:
            connection.close()
        self._serve_waiting()
        while len(self._idle) > self._limits.kept:
            self._idle.popleft().close()

    def probe(self, on_end):
        """Open a connection to check that the server accepts it.

        Parameters
        ----------
        on_end : callable
            Takes whether the server accepted; False also if all connections
            are in use. The connection joins the pool.
        """
        if self._busy_count >= self._limits.maximum:
            on_end(False)
            return

        self._limit_idle(self._limits.maximum - 1)
        self._open(_Probe(self, on_end))

    def withhold_waiting(self, detail):
        """End the wait of all users, since the server may not be used."""
        waiting, self._waiting = self._waiting, []
        for user in waiting:
            if not user.is_cancelled:
                user.withhold(detail)

    def discard_idle(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def close(self):
        """Close idle connections now and busy ones after their exchange."""
        self._is_closed = True
        self.discard_idle()

    def _limit_idle(self, limit):
        """Close the oldest idle connections until at most `limit` are open."""
        while self._idle and (
            self._busy_count + len(self._idle) > limit
            or len(self._idle) > self._limits.kept
        ):
            self._idle.popleft().close()

    def _serve_waiting(self):
        if not self._waiting:
            return
        self._waiting = [x for x in self._waiting if not x.is_cancelled]
        while self._waiting and self._busy_count < self._limits.maximum:
            user = min(self._waiting, key=lambda user: user.priority)
            self._waiting.remove(user)
            self._assign(user)

    def _assign(self, user):
        while self._idle:
            connection = self._idle.pop()
            if connection.can_carry_request(user.is_idempotent):
                self._busy_count += 1
                self._hand_over(user, connection, '')
                return
            connection.close()
        self._open(user)

    def _open(self, user):
        self._busy_count += 1
        self._metrics.count('server_connections_opened')
        connection = self._create_connection(self._address, self._remove_idle)

        def end(error):
            if error is None:
                self._on_connect(connection.connect_ms)
            if error is not None or user.is_cancelled:
                self.release(connection)
            if not user.is_cancelled:
                self._hand_over(
                    user, None if error else connection, error or ''
                )

        connection.open(CONNECT_TIMEOUT_MS, end)

    def _hand_over(self, user, connection, reason):
        """Give a user its connection; an error costs no slot of the pool."""
        try:
            user.handle_connection(connection, reason)
        except Exception:  # noqa: BLE001
            _LOG.exception('event=connection_user_failed')
            if connection is not None:
                connection.close()
                self.release(connection)

    def _remove_idle(self, connection):
        if connection in self._idle:
            self._idle.remove(connection)


class ServerPools:
    """Holds the `ServerPool` of each server, by server id.

    All connections share the `ResponseBounds` of the node.
    """

    def __init__(self, names, clock, metrics, on_connect, bounds):
        self._names = names
        self._bounds = bounds
        self._classifier = ResponseClassifier(names)
        self._clock = clock
        self._metrics = metrics
        self._on_connect = on_connect
        self._pools = {}

    def get(self, record, compute_limits):
        """Return the pool of a server; create it if missing or outdated.

        Parameters
        ----------
        record : ServerRecord
            The server.
        compute_limits : callable
            Takes the record; returns the `ConnectionLimits` of a new pool.
        """
        pool = self._pools.get(record.server_id)
        if pool is not None and pool.address == record.address:
            return pool
        if pool is not None:
            pool.close()
        pool = self._pools[record.server_id] = ServerPool(
            record.address,
            compute_limits(record),
            self.create_connection,
            self._metrics,
            self._on_connect,
        )
        return pool

    @property
    def has_any_idle(self):
        """Whether a connection to any server is idle."""
        return any(pool.has_idle for pool in self._pools.values())

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

    def create_connection(self, address, on_idle_end=None):
        """Create a `ServerConnection` that belongs to no pool yet."""
        return ServerConnection(
            address,
            self._names,
            self._classifier,
            self._clock,
            self._bounds,
            on_idle_end,
        )
