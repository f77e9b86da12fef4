"""The connections of one owner to one backend server."""

from hawthornfold.backends import connection as connections

# A connection that was used this recently is used again without looking at
# its socket, which costs a system call for each exchange under load.
UNCHECKED_IDLE_MS = 50.0


class ConnectionPool:
    """Idle and busy connections, bounded by the owner's share."""

    def __init__(self, address, limit, clock):
        self._address = address
        self._limit = limit
        self._clock = clock
        self._idle = []
        self._busy = set()
        self._oldest_usable_ms = 0.0
        self._has_lost_connections = False

    @property
    def count(self):
        """Connections open, idle and busy together."""
        return len(self._idle) + len(self._busy)

    @property
    def limit(self):
        """Connections this owner may open."""
        return self._limit

    @property
    def has_lost_connections(self):
        """Whether the last `acquire` found idle connections closed."""
        return self._has_lost_connections

    def set_limit(self, limit):
        """Change the limit; surplus idle connections are closed."""
        self._limit = limit
        while self._idle and self.count > limit:
            self._idle.pop(0)[0].close()

    def acquire(self):
        """Take an idle connection or a new one; None at the limit."""
        now_ms = self._clock.now_ms()
        self._has_lost_connections = False
        while self._idle:
            connection, idle_since_ms = self._idle.pop()
            if (
                now_ms - idle_since_ms < UNCHECKED_IDLE_MS
                or connection.is_idle_and_open
            ):
                self._busy.add(connection)
                return connection
            connection.close()
            self._has_lost_connections = True
        return self.acquire_new()

    def acquire_new(self):
        """Take a connection that was never used; None at the limit.

        An idle connection makes room where the limit is reached.
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
        """Give a connection back; it is closed unless it can be reused."""
        self._busy.discard(connection)
        is_current = connection.opened_ms >= self._oldest_usable_ms
        if connection.is_reusable and is_current and self.count < self._limit:
            self._idle.append((connection, self._clock.now_ms()))
        else:
            connection.close()

    def discard_opened_before(self, now_ms):
        """Stop using every connection opened before `now_ms`.

        Used when a fresh connection works while an established one is
        silent: whatever lost track of one has likely lost the others too.
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
    """Create the empty pool of one server."""
    return ConnectionPool(address, limit, clock)
