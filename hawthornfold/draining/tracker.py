"""Decides whether a backend server may receive new work.

Four drain signals can disagree: the platform's list, the server's own drain
flag, its refusals, and refusals that peers report. Any one of them stops new
work. A clean report is a report of the server without the drain flag. Work
resumes only on evidence that is newer than the signal: a clean report of an
incarnation that was not known when the signal arrived, or a newer platform
list in which the server is live again, followed by a clean report. A clean
report of a known incarnation does not suffice: health reports lag, and a
server that drains may refuse work without setting its flag.
"""

import collections

# How long after the last drain flag or refusal a clean report of a known
# incarnation ends the drain. A drain may be cancelled without a restart, and a
# refusal may have another cause; without this limit such a server would never
# get work again. The VM of a server that really drains is gone by then. With
# ten seconds, draining servers repeatedly received work.
SIGNAL_LIFETIME_MS = 600_000.0
# Number of incarnations that are remembered for each server, to recognize
# delayed reports of earlier ones. Only a delay of hours could span more
# restarts than this.
MAX_INCARNATIONS = 16


class _DrainState:
    """Mutable drain signals of one server."""

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
        # Known incarnations, the newest one last.
        self.incarnations = collections.deque(maxlen=MAX_INCARNATIONS)
        self.is_flagged = False
        self.is_leaving = False
        self.is_refusing = False
        # The platform lists the server as live again; the next clean report
        # ends the other signals.
        self.is_leaving_withdrawn = False
        # A refusal arrived before any incarnation of the server was known.
        self.is_incarnation_unknown = False
        self.revision = 0
        self.signal_ms = 0.0

    def record_incarnation(self, incarnation):
        """Record an incarnation; return whether it is newer than the signals.

        The first incarnation after a refusal that named none may be the one
        that refused, so it does not count as newer.
        """
        if not incarnation or incarnation in self.incarnations:
            return False
        self.incarnations.append(incarnation)
        is_new = not self.is_incarnation_unknown
        self.is_incarnation_unknown = False
        return is_new


class DrainTracker:
    """Tracks the drain signals of backend servers."""

    def __init__(self):
        self._states = collections.defaultdict(_DrainState)

    def is_draining(self, server):
        """Return whether `server` must not receive new work."""
        state = self._states.get(server)
        return state is not None and (
            state.is_leaving or state.is_flagged or state.is_refusing
        )

    def active_signals(self, server):
        """Return the names of the signals that stop work for `server`."""
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
        """Return the names of all draining servers."""
        return tuple(name for name in self._states if self.is_draining(name))

    def record_platform_listing(self, server, is_leaving, revision):
        """Apply the platform's entry for a server; ignore older revisions."""
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
        """Record a reply or health report of the server itself.

        Parameters
        ----------
        server : str
            Name of the server.
        incarnation : str
            Incarnation that reported.
        is_draining : bool
            Its drain flag.
        now_ms : float
            Current time in ms.
        """
        state = self._states[server]
        is_new = state.record_incarnation(incarnation)
        if state.incarnations and incarnation != state.incarnations[-1]:
            # A delayed report of an earlier incarnation.
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
        """Record a refusal that this node received or a peer reported.

        Parameters
        ----------
        incarnation : str
            Incarnation that refused; empty when it is not known.
        """
        state = self._states[server]
        state.record_incarnation(incarnation)
        if incarnation and incarnation != state.incarnations[-1]:
            # A peer's report about an earlier incarnation.
            return
        state.is_refusing = True
        state.is_leaving_withdrawn = False
        state.signal_ms = now_ms
        state.is_incarnation_unknown = not state.incarnations


def create_drain_tracker():
    """Create a tracker without any signals.

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
