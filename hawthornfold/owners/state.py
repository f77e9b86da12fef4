"""What an owner holds for one backend server."""

import collections
import typing

from hawthornfold.backends import SubRequest
from hawthornfold.backends import create_connection_pool
from hawthornfold.backends import create_path_diagnosis
from hawthornfold.limits import create_server_queue
from hawthornfold.limits import create_slot_ramp
from hawthornfold.owners import messages

# Reports that lag name earlier incarnations.
MAX_EARLIER_INCARNATIONS = 16


class JobKey(typing.NamedTuple):
    """Identifies one attempt at its owner."""

    entry: str
    request_id: str
    attempt: int


class Job:
    """Mutable record of one attempt that waits or runs."""

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
        """Create the request to the server; it has `remaining_ms` left."""
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
        """Create the reply to the entry; `state` is None when not owned."""
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
        self.is_restart_suspected = False
        self.is_probing = False
        # Owners, by name and incarnation, that know that it drains.
        self.notified_owners = set()

    def record_report(self, incarnation, held, is_cold, now_ms):
        """Take over a report of the server; return whether it restarted.

        Parameters
        ----------
        incarnation : str
            Names the process of the server.
        held : iterable of str
            Snapshots it holds.
        is_cold : bool
            Whether the server says so; False when it says nothing.
        """
        if incarnation in self.earlier_incarnations:
            # A late report of an earlier process.
            return False
        is_new = incarnation != self.incarnation
        is_restarted = is_new and bool(self.incarnation)
        if self.is_restart_suspected and not is_new:
            self.ramp.finish()
        self.is_restart_suspected = False
        if is_restarted:
            self.earlier_incarnations.append(self.incarnation)
        # The first reply of a new process comes before its health report and
        # does not say that it is cold, so every restart counts as cold.
        if is_restarted or (is_new and is_cold):
            self.ramp.start(now_ms)
        self.incarnation = incarnation
        self.held = tuple(held)
        self.queue.set_slots(self.ramp.allowed(now_ms))
        return is_restarted

    def suspect_restart(self, now_ms):
        """Take over that the server has cut connections.

        It may have restarted and be cold. Until it says which process
        answers it gets one slot; without this an owner used all slots of a
        cold server for the length of an exchange.
        """
        if self.incarnation and not self.ramp.is_active:
            self.is_restart_suspected = True
            self.ramp.start(now_ms)
            self.queue.set_slots(self.ramp.allowed(now_ms))

    def remove_snapshot(self, snapshot):
        """Take over that the server refused a snapshot as not held.

        The refusal may not say what the server holds instead, so its health
        report is due at once.
        """
        self.held = tuple(name for name in self.held if name != snapshot)
        self.last_health_ms = None

    def close(self):
        """Close the connections; return the jobs that still waited."""
        self.pool.close()
        return [item.payload for item in self.queue.clear()]
