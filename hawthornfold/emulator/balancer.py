"""Emulated load balancer in front of the entry nodes."""

import typing


class Target(typing.NamedTuple):
    """Name and caller port of an entry node."""

    name: str
    port: int


class Balancer:
    """Distributes requests round-robin over the ready entry nodes.

    Readiness comes from polls. As in real load balancers, the result of a
    poll takes effect only after `lag_ms`: until then, a dead or draining
    node still receives requests.

    Parameters
    ----------
    targets : sequence of Target
        All entry nodes; each counts as ready until a poll fails.
    lag_ms : float
        Time in ms until the result of a poll takes effect.
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
        """Record the result of a poll of ``/readyz`` made at `now_ms`."""
        self._pending.append((now_ms + self._lag_ms, name, is_ready))

    def apply_polls(self, now_ms):
        """Apply the results of polls that are at least `lag_ms` old."""
        due = [entry for entry in self._pending if entry[0] <= now_ms]
        self._pending = [e for e in self._pending if e[0] > now_ms]
        for _, name, is_ready in due:
            self._ready[name] = is_ready

    def ready_targets(self):
        """Return the nodes that receive requests.

        When no node is ready, all of them receive requests: refusing every
        request because of a failed health check would be worse.
        """
        ready = [t for t in self._targets if self._ready[t.name]]
        return tuple(ready) or self._targets

    def next_target(self):
        """Return the node that receives the next request."""
        ready = self.ready_targets()
        return ready[self._turn % len(ready)]

    def advance_turn(self):
        """Move on to the following node."""
        self._turn += 1


def create_balancer(targets, lag_ms=0.0):
    """Create an emulated load balancer.

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
