"""Stand-in for the platform's load balancer in front of the entry nodes."""

import typing


class Target(typing.NamedTuple):
    """An entry node as the load balancer sees it: name and caller port."""

    name: str
    port: int


class Balancer:
    """Deals requests out in turn over the nodes it last saw ready.

    A node's readiness is known only by polls, and a poll's result takes
    effect `lag_ms` after it was made, as with real load balancers: for that
    time a dead or draining node still gets its turn.

    Parameters
    ----------
    targets : sequence of Target
        All entry nodes; all count as ready until a poll says otherwise.
    lag_ms : float
        Time between a poll and its effect.
    """

    def __init__(self, targets, lag_ms=0.0):
        self._targets = tuple(targets)
        self._lag_ms = lag_ms
        self._ready = {target.name: True for target in self._targets}
        self._pending = []
        self._turn = 0

    @property
    def targets(self):
        """All entry nodes, ready or not."""
        return self._targets

    def record_poll(self, name, is_ready, now_ms):
        """Note the result of a poll of ``/readyz`` made at `now_ms`."""
        self._pending.append((now_ms + self._lag_ms, name, is_ready))

    def apply_polls(self, now_ms):
        """Put polls older than the lag into effect."""
        due = [entry for entry in self._pending if entry[0] <= now_ms]
        self._pending = [e for e in self._pending if e[0] > now_ms]
        for _, name, is_ready in due:
            self._ready[name] = is_ready

    def ready_targets(self):
        """Return the nodes that get requests.

        When no node is seen ready all of them get requests, since refusing
        everything on the word of a health check would be worse.
        """
        ready = [t for t in self._targets if self._ready[t.name]]
        return tuple(ready) or self._targets

    def next_target(self):
        """Return the node whose turn it is."""
        ready = self.ready_targets()
        return ready[self._turn % len(ready)]

    def advance_turn(self):
        """End the current turn."""
        self._turn += 1


def create_balancer(targets, lag_ms=0.0):
    """Create a load balancer stand-in.

    Examples
    --------
    >>> balancer = create_balancer([Target('a', 1), Target('b', 2)], lag_ms=5)
    >>> balancer.record_poll('a', False, 0)
    >>> balancer.apply_polls(4)
    >>> balancer.next_target().name
    'a'
    >>> balancer.apply_polls(5)
    >>> balancer.next_target().name
    'b'
    """
    return Balancer(targets, lag_ms)
