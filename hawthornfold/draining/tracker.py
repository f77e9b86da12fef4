"""Decides whether a backend server may get new work.

Four signals disagree at times: the platform's list, the server's own drain
flag, its refusals, and reports of peers. Any one of them stops new work.
Work starts again only on evidence that is newer than the signal: a clean
report of an incarnation that was not known when the signal came, or a newer
platform list that has the server live again, followed by a clean report. A
clean report of a known incarnation is no such evidence: health reports lag,
and a server that refuses work may say nothing else.
"""

import collections

# A drain may be called off without a restart, and a refusal may have another
# cause. Long after the last signal a clean report is believed, so that no
# server is lost for good; the VM of a server that really drains is gone by
# then. Ten seconds sent work to draining servers again and again.
SIGNAL_LIFETIME_MS = 600_000.0
# Reports that lag name earlier incarnations. A server restarts more often
# than this only within a lag of hours.
MAX_INCARNATIONS = 16


class _DrainState:
    """Mutable signals of one server."""

    __slots__ = (
        'incarnations',
        'is_flagged',
        'is_leaving',
        'is_refusing',
        'is_leaving_withdrawn',
        'is_incarnation_unknown',
        'revision',
        'signal_ms',
    )

    def __init__(self):
        # Incarnations known, the newest one last.
        self.incarnations = collections.deque(maxlen=MAX_INCARNATIONS)
        self.is_flagged = False
        self.is_leaving = False
        self.is_refusing = False
        # The platform took its signal back; a clean report ends the others.
        self.is_leaving_withdrawn = False
        # A refusal came before any incarnation of the server was known.
        self.is_incarnation_unknown = False
        self.revision = 0
        self.signal_ms = 0.0

    def record_incarnation(self, incarnation):
        """Note an incarnation; return whether it is a new one."""
        if not incarnation or incarnation in self.incarnations:
            return False
        self.incarnations.append(incarnation)
        is_new = not self.is_incarnation_unknown
        self.is_incarnation_unknown = False
        return is_new


class DrainTracker:
    """Drain signals of the servers this node deals with."""

    def __init__(self):
        self._states = collections.defaultdict(_DrainState)

    def is_draining(self, server):
        """Return whether `server` must get no new work."""
        state = self._states.get(server)
        return state is not None and (
            state.is_leaving or state.is_flagged or state.is_refusing
        )

    def active_signals(self, server):
        """Return the signals in force, for status and audit."""
        state = self._states.get(server)
        if state is None:
            return ()
        named = (
            ('platform', state.is_leaving),
            ('flag', state.is_flagged),
            ('refusal', state.is_refusing),
        )
        return tuple(name for name, in_force in named if in_force)

    def draining_servers(self):
        """Return the names of all servers that are draining."""
        return tuple(name for name in self._states if self.is_draining(name))

    def record_platform_listing(self, server, is_leaving, revision):
        """Take over the platform's list; older revisions are ignored."""
        if not is_leaving and server not in self._states:
            return
        state = self._states[server]
        if revision < state.revision:
            return
        state.revision = revision
        state.is_leaving_withdrawn = not is_leaving and (
            state.is_leaving or state.is_leaving_withdrawn
        )
        state.is_leaving = is_leaving

    def record_health_report(self, server, incarnation, is_draining, now_ms):
        """Take over a report that came from the server itself."""
        state = self._states[server]
        is_new = state.record_incarnation(incarnation)
        if state.incarnations and incarnation != state.incarnations[-1]:
            # A late report of an earlier incarnation.
            return
        if is_draining:
            state.is_flagged = True
            state.is_leaving_withdrawn = False
            state.signal_ms = now_ms
            return
        is_old = now_ms - state.signal_ms >= SIGNAL_LIFETIME_MS
        if is_new or is_old or state.is_leaving_withdrawn:
            state.is_flagged = False
            state.is_refusing = False
            state.is_leaving_withdrawn = False

    def record_refusal(self, server, incarnation, now_ms):
        """Take over a refusal, seen here or reported by a peer.

        Parameters
        ----------
        incarnation : str
            Incarnation that refused, empty when it is not known.
        """
        state = self._states[server]
        state.record_incarnation(incarnation)
        if incarnation and incarnation != state.incarnations[-1]:
            # A peer's report about an incarnation that is gone.
            return
        state.is_refusing = True
        state.is_leaving_withdrawn = False
        state.signal_ms = now_ms
        state.is_incarnation_unknown = not state.incarnations


def create_drain_tracker():
    """Create a tracker that knows of no draining server.

    Examples
    --------
    >>> tracker = create_drain_tracker()
    >>> tracker.record_refusal('s1', 'first', now_ms=0.0)
    >>> tracker.record_health_report('s1', 'first', False, now_ms=100.0)
    >>> tracker.is_draining('s1')
    True
    >>> tracker.record_health_report('s1', 'second', False, now_ms=200.0)
    >>> tracker.is_draining('s1')
    False
    """
    return DrainTracker()
