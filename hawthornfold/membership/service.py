"""Service that runs the membership state machine over the peer links."""

import random

import logbook

from hawthornfold.membership.actions import Options
from hawthornfold.membership.actions import Send
from hawthornfold.membership.records import ALIVE
from hawthornfold.membership.records import LEFT
from hawthornfold.membership.state import MembershipState
from hawthornfold.peers import messages

_LOG = logbook.Logger('membership')

# Interval of the ticks, a third of the default probe timeout. Shorter ticks
# would wake up the loop more often.
_TICK_MS = 100


class MembershipService:
    """Provides the live members, as this node sees them."""

    def __init__(self, state, clock, links, audit, metrics):
        self._state = state
        self._clock = clock
        self._links = links
        self._audit = audit
        self._metrics = metrics
        self._callbacks = []
        self._notified_version = state.version
        for body_type in messages.MEMBERSHIP_BODIES:
            links.register(body_type, self._handle)

    @property
    def members(self):
        """Live members as `Member` tuples, the node itself first."""
        return self._state.members

    @property
    def version(self):
        """Number that grows with every change of `members`."""
        return self._state.version

    @property
    def is_superseded(self):
        """Whether a newer process runs under this node's name."""
        return self._state.is_superseded

    def has_left(self, name):
        """Return whether a node announced a planned leave.

        Such a node still completes the work that it has accepted.
        """
        record = self._state.table.get(name)
        return record is not None and record.status == LEFT

    def has_newer_process(self, sender):
        """Return whether a newer process of a sender's node is known."""
        record = self._state.table.get(sender.name)
        return record is not None and record.incarnation > sender.incarnation

    def is_confirmed(self, now_ms):
        """Return whether the node may act on `members`.

        False after a pause longer than ``LEASE_MS``, until members answer
        probes that were sent after it. Also false after `leave` and once
        the node is superseded.
        """
        return self._state.is_confirmed(now_ms)

    def set_listed_vms(self, vms):
        """Replace the platform's VM list.

        Parameters
        ----------
        vms : iterable
            Tuples with `name`, `address` (``ip:port`` of the peer link),
            `data_centre` and `state` (``live`` or ``leaving``).
        """
        self._state.set_listed_vms(tuple(vms))
        self._perform_actions()
        self._notify_subscribers()

    def subscribe(self, callback):
        """Call ``callback()`` after changes of `members`."""
        self._callbacks.append(callback)

    def leave(self):
        """Announce a planned leave to the other members."""
        self._state.leave(self._clock.now_ms())
        self._perform_actions()
        self._notify_subscribers()

    def run(self):
        """Run the timers in an endless loop, as a green thread."""
        while True:
            started_ms = self._clock.now_ms()
            try:
                self._state.tick(started_ms)
                self._perform_actions()
                self._notify_subscribers()
            except Exception:  # noqa: BLE001
                # Without this loop the others would count the node as lost.
                self._metrics.count('internal_errors', loop='membership')
                _LOG.exception('event=loop_failed loop=membership')
            before_ms = self._clock.now_ms()
            self._clock.sleep_ms(_TICK_MS)
            lag_ms = self._clock.now_ms() - before_ms - _TICK_MS
            self._metrics.observe_ms('loop_lag', max(lag_ms, 0.0))

    def _handle(self, sender, body):
        self._state.handle(sender, body, self._clock.now_ms())
        self._perform_actions()

    def _perform_actions(self):
        for action in self._state.take_actions():
            if isinstance(action, Send):
                self._links.send(action.name, action.address, action.body)
            else:
                self._audit.record(*action)
                self._metrics.count('member_changes', kind=action.kind)

    def _notify_subscribers(self):
        """Call subscribers once for all changes since the last call."""
        if self._notified_version == self._state.version:
            return
        self._notified_version = self._state.version
        self._metrics.set_gauge('members', len(self._state.members))
        for callback in tuple(self._callbacks):
            callback()


def create_membership_service(
    settings, incarnation, clock, links, audit, metrics
):
    """Create the membership service of a node.

    Parameters
    ----------
    settings : Settings
        `node`, `peers` and `membership` are used.
    incarnation : int
        Start time of this process, milliseconds since the epoch.
    clock : Clock
        The node's clock.
    links : PeerLinks
        Open links, on which the service registers its message types.
    audit : AuditTrail
        Records member changes.
    metrics : Metrics
        Receives counters, the loop lag and the number of members.
    """
    node = settings.node
    own = messages.Update(
        node.name,
        f'{node.host}:{settings.peers.port}',
        node.data_centre,
        incarnation,
        0,
        ALIVE,
    )
    times = settings.membership
    options = Options(
        probe_interval_ms=times.probe_interval_ms,
        probe_timeout_ms=times.probe_timeout_ms,
        suspect_timeout_ms=times.suspect_timeout_ms,
        is_authenticated=settings.peers.encryption,
    )
    state = MembershipState(own, options, random.Random(), clock.now_ms())
    return MembershipService(state, clock, links, audit, metrics)
