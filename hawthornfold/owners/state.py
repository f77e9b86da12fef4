"""State of one owned backend server and of its attempts."""

import collections
import typing

from hawthornfold.backends import SubRequest
from hawthornfold.backends import create_connection_pool
from hawthornfold.backends import create_path_diagnosis
from hawthornfold.limits import create_server_queue
from hawthornfold.limits import create_slot_ramp
from hawthornfold.owners import messages

# Number of earlier incarnations that are remembered, to ignore delayed reports
# of them.
MAX_EARLIER_INCARNATIONS = 16


class JobKey(typing.NamedTuple):
    """Identifies an attempt; `entry` is the node that sent it."""

    entry: str
    request_id: str
    attempt: int


class Job:
    """Mutable record of one attempt that is queued or runs."""

    __slots__ = (
        'connection',
        'deadline_ms',
        'is_cancelled',
        'key',
        'part',
        'queued_ms',
        'sender',
        'sequence',
        'work',
    )

    def __init__(self, sender, work, part, queued_ms):
        self.key = JobKey(sender.name, work.request_id, part.attempt)
        self.sender = sender
        self.work = work
        self.part = part
        self.queued_ms = queued_ms
        self.deadline_ms = queued_ms + work.remaining_ms
        self.sequence = None
        self.connection = None
        self.is_cancelled = False

    def create_sub_request(self, remaining_ms):
        """Create the request to the server.

        Parameters
        ----------
        remaining_ms : float
            Time in ms until the deadline.
        """
        work = self.work
        return SubRequest(
            work.request_id,
            self.part.attempt,
            work.snapshot,
            int(remaining_ms),
            self.part.shards,
            work.kind,
            work.text,
            work.limit,
        )

    def create_reply(
        self, state, code, ran, wait_ms, service_ms, body, detail
    ):
        """Create the reply to the entry node.

        Parameters
        ----------
        state : ServerState or None
            The server; None when this node does not own it.
        """
        return messages.WorkReply(
            self.work.request_id,
            self.part.attempt,
            self.part.server,
            int(code),
            int(ran),
            self.work.snapshot,
            '' if state is None else state.incarnation,
            () if state is None else state.held,
            0 if state is None else state.queue.depth,
            wait_ms,
            service_ms,
            body,
            detail,
        )


class ServerState:
    """Queue, connections and health of one owned server."""

    def __init__(self, group, server, policy, clock):
        self.group = group
        self.server = server
        slots = policy.slot_share(server)
        self.queue = create_server_queue(slots)
        self.ramp = create_slot_ramp(slots)
        self.pool = create_connection_pool(
            server.address, policy.connection_share(server), clock
        )
        self.diagnosis = create_path_diagnosis()
        self.incarnation = ''
        self.earlier_incarnations = collections.deque(
            maxlen=MAX_EARLIER_INCARNATIONS
        )
        self.held = ()
        self.reported_load = None
        self.last_health_ms = None
        self.unowned_since_ms = None
        self._suspected_ms = None
        self.is_probing = False
        # Name and incarnation of each owner that was notified of the drain.
        self.notified_owners = set()

    @property
    def is_over_slots(self):
        """Whether more sub-requests are in flight than the slots allow."""
        return self.queue.running > self.queue.slots

    def record_report(self, incarnation, held, is_cold, asked_ms, now_ms):
        """Record a report of the server; return whether it has restarted.

        Parameters
        ----------
        incarnation : str
            Incarnation that reported.
        held : iterable of str
            Snapshots that it holds.
        is_cold : bool
            Whether the report says that the server is cold; False when the
            report does not say.
        asked_ms : float
            When the report, or the reply with it, was requested, in ms.
        now_ms : float
            Current time in ms.
        """
        if incarnation in self.earlier_incarnations:
            # A delayed report of an earlier incarnation.
            return False
        is_new = incarnation != self.incarnation
        is_restarted = is_new and bool(self.incarnation)
        if self._suspected_ms is not None:
            # A reply that was under way when the connections closed says
            # nothing about a restart since.
            is_newer = asked_ms >= self._suspected_ms
            if is_newer and not is_new:
                self.ramp.finish()
            if is_newer or is_new:
                self._suspected_ms = None
        if is_restarted:
            self.earlier_incarnations.append(self.incarnation)
        # The first reply of a new incarnation arrives before its health report
        # and does not say whether it is cold, so every restart counts as cold.
        if is_restarted or (is_new and is_cold):
            self.ramp.start(now_ms)
        self.incarnation = incarnation
        self.held = tuple(held)
        self.queue.set_slots(self.ramp.allowed(now_ms))
        return is_restarted

    def suspect_restart(self, now_ms):
        """Reduce the server to one slot after it has closed connections.

        It may have restarted and be cold. It has one slot until a report
        names its incarnation; without this, an owner used all slots of a cold
        server for the duration of an exchange.
        """
        if self.incarnation and not self.ramp.is_active:
            self._suspected_ms = now_ms
            self.ramp.start(now_ms)
            self.queue.set_slots(self.ramp.allowed(now_ms))

    def remove_snapshot(self, snapshot):
        """Remove a snapshot that the server refused as not held.

        The refusal may not say which snapshots the server holds, so a health
        check becomes due immediately.
        """
        self.held = tuple(name for name in self.held if name != snapshot)
        self.last_health_ms = None

    def close(self):
        """Close the connections; return the jobs that were still queued."""
        self.pool.close()
        return [item.payload for item in self.queue.clear()]
