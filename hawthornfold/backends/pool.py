"""Pools the connections of one owner to one backend server."""

from hawthornfold.backends import connection as connections

# A connection that was idle for less than this is reused without a check of
# its socket. The check costs one system call for each exchange under load.
UNCHECKED_IDLE_MS = 50.0


class ConnectionPool:
    """A pool of connections, limited to the owner's share."""

    def __init__(self, address, limit, clock):
        self._address = address
        self._limit = limit
        self._clock = clock
        self._idle = []
        self._busy = set()
        self._oldest_usable_ms = 0.0

    @property
    def count(self):
        """Number of connections in the pool, idle and busy."""
        return len(self._idle) + len(self._busy)

    @property
    def limit(self):
        """Maximum number of connections."""
        return self._limit

    @property
    def has_lost_connections(self):
        """Whether the server has closed the last idle connection.

        Not known of one that was idle for less than `UNCHECKED_IDLE_MS`.
        """
        if not self._idle:
            return False
        return not self._is_usable(*self._idle[-1])

    def set_limit(self, limit):
        """Set the limit and close surplus idle connections."""
        self._limit = limit
        while self._idle and self.count > limit:
            self._idle.pop(0)[0].close()

    def acquire(self):
        """Return an idle or a new connection, or None at the limit."""
        while self._idle:
            connection, idle_since_ms = self._idle.pop()
            if self._is_usable(connection, idle_since_ms):
                self._busy.add(connection)
                return connection
            connection.close()
        return self.acquire_new()

    def _is_usable(self, connection, idle_since_ms):
        idle_ms = self._clock.now_ms() - idle_since_ms
        return idle_ms < UNCHECKED_IDLE_MS or connection.is_idle_and_open

    def acquire_new(self):
        """Return a new connection, or None at the limit.

        If the limit is reached and a connection is idle, that one is closed
        and replaced.
        """
        if self.count >= self._limit and self._idle:
            self._idle.pop(0)[0].close()
        if self.count >= self._limit:
            return None
        connection = connections.open_connection(
            self._address, self._clock.now_ms()
        )
        self._busy.add(connection)
        return connection

    def release(self, connection):
        """Return a connection to the pool; close it if it is not reusable."""
        self._busy.discard(connection)
        is_current = connection.opened_ms >= self._oldest_usable_ms
        if connection.is_reusable and is_current and self.count < self._limit:
            self._idle.append((connection, self._clock.now_ms()))
        else:
            connection.close()

    def discard_opened_before(self, now_ms):
        """Close idle connections that were opened before `now_ms`.

        Busy ones are closed when they are released.

        Called when a new connection works while an established one is
        silent: a device on the path that dropped the state of one
        connection has probably dropped the others too.
        """
        self._oldest_usable_ms = now_ms
        for connection, _ in self._idle:
            connection.close()
        self._idle = []

    def close(self):
        """Close all idle connections and abort the busy ones."""
        self.discard_opened_before(self._clock.now_ms())
        for connection in list(self._busy):
            connection.abort()


def create_connection_pool(address, limit, clock):
    """Create an empty pool for one server."""
    return ConnectionPool(address, limit, clock)
