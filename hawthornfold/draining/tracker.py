"""Decides whether a backend server may get new work.

Four signals disagree at times: the platform's list, the server's own drain
flag, its refusals, and reports of peers. Any one of them stops new work.
Work starts again only on evidence that is newer than the signal: the server
reports another incarnation and no drain flag, or, where only the platform
said that it leaves, a newer platform revision that lists it as live together
with a clean report.
"""

# A server refused work as draining while its report stays clean. After this
# long without another refusal the report is believed again: the refusal was
# of a short load-shedding kind, or the drain was called off.
REFUSAL_HOLD_MS = 10_000.0


class _DrainState:
    """Mutable signals of one server."""

    __slots__ = (
        'incarnation',
        'is_flagged',
        'is_leaving',
        'refused_incarnation',
        'refused_ms',
        'revision',
    )

    def __init__(self):
        self.incarnation = ''
        self.is_flagged = False
        self.is_leaving = False
        self.refused_incarnation = None
        self.refused_ms = 0.0
        self.revision = 0


class DrainTracker:
    """Drain signals of the servers this node deals with."""

    def __init__(self):
        self._states = {}

    def is_draining(self, server):
        """Return whether `server` must get no new work."""
        state = self._states.get(server)
        if state is None:
            return False
        return (
            state.is_leaving
            or state.is_flagged
            or state.refused_incarnation is not None
        )

    def reasons(self, server):
        """Return the signals in force, for status and audit."""
        state = self._states.get(server)
        if state is None:
            return ()
        named = (
            ('platform', state.is_leaving),
            ('flag', state.is_flagged),
            ('refusal', state.refused_incarnation is not None),
        )
        return tuple(name for name, in_force in named if in_force)

    def servers(self):
        """Return the names of all servers that are draining."""
        return tuple(name for name in self._states if self.is_draining(name))

    def report_platform(self, server, is_leaving, revision):
        """Take over the platform's list; older revisions are ignored."""
        state = self._states.get(server)
        if state is None:
            if not is_leaving:
                return
            state = self._obtain(server)
        if revision < state.revision:
            return
        state.revision = revision
        state.is_leaving = is_leaving

    def report_health(self, server, incarnation, is_draining, now_ms):
        """Take over a report that came from the server itself."""
        state = self._states.get(server)
        if state is None:
            if not is_draining:
                return
            state = self._obtain(server)
        state.incarnation = incarnation
        state.is_flagged = is_draining
        if is_draining or state.refused_incarnation is None:
            return
        is_new = state.refused_incarnation not in ('', incarnation)
        if is_new or now_ms - state.refused_ms >= REFUSAL_HOLD_MS:
            state.refused_incarnation = None

    def report_refusal(self, server, incarnation, now_ms):
        """Take over a refusal, seen here or reported by a peer."""
        state = self._obtain(server)
        if state.incarnation and incarnation not in ('', state.incarnation):
            # A peer's report about an incarnation that is gone.
            return
        state.refused_incarnation = incarnation
        state.refused_ms = now_ms

    def _obtain(self, server):
        state = self._states.get(server)
        if state is None:
            state = _DrainState()
            self._states[server] = state
        return state


def create_drain_tracker():
    """Create a tracker that knows of no draining server.

    Examples
    --------
    >>> tracker = create_drain_tracker()
    >>> tracker.report_refusal('s1', 'first', now_ms=0.0)
    >>> tracker.report_health('s1', 'first', False, now_ms=100.0)
    >>> tracker.is_draining('s1')
    True
    >>> tracker.report_health('s1', 'second', False, now_ms=200.0)
    >>> tracker.is_draining('s1')
    False
    """
    return DrainTracker()
