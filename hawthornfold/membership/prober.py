"""Failure detection: direct and indirect probes, suspicion and removal."""

import collections
import typing

from hawthornfold.membership import records
from hawthornfold.membership.probe_order import ProbeOrder
from hawthornfold.membership.probes import PendingProbes
from hawthornfold.membership.probes import Probe
from hawthornfold.membership.probes import Purpose
from hawthornfold.peers import messages

_RELAY_COUNT = 3
# Maximum of the health penalty, which failed probes raise and answers lower.
# It lengthens the suspicion timeout up to five times: a node that receives no
# answers at all is probably faulty itself, so it removes others later.
_MAX_HEALTH_PENALTY = 4
# Average number of probes that the whole fleet sends per probe interval to
# one listed VM that is not a member.
_ABSENT_PROBE_RATE = 2.0
# Maximum number of members queued for a probe because another node's table
# lists them as removed.
_MAX_UNVERIFIED_REMOVALS = 256


class _Suspicion(typing.NamedTuple):
    """A suspicion that this node raised, and when it expires."""

    record: messages.Update
    deadline_ms: float


class Prober:
    """Probes members; suspects and later removes those without an answer.

    Parameters
    ----------
    state : MembershipState
        Holds the member table and sends the messages.
    options : Options
        Times of the state machine.
    random : random.Random
        Source of random choices.
    """

    def __init__(self, state, options, random):
        self._state = state
        self._options = options
        self._random = random
        self._pending = PendingProbes(random.getrandbits(31))
        self._order = ProbeOrder(state.table, random)
        self._local_order = ProbeOrder(
            state.table, random, state.own.data_centre
        )
        # Grows by `local_probe_share` per probe; from 1 on the next probe goes
        # to the own data centre.
        self._due_local_probes = 0.0
        self._suspicions = {}
        self._unverified_removals = collections.deque(
            maxlen=_MAX_UNVERIFIED_REMOVALS
        )
        self._health_penalty = 0
        self._next_probe_ms = 0.0

    def resume(self, now_ms):
        """Discard pending probes and restart suspicion timeouts.

        Called after a pause, during which this node read no answers.
        """
        self._pending.clear()
        self._next_probe_ms = now_ms
        deadline_ms = now_ms + self._options.suspect_timeout_ms
        for name, suspicion in self._suspicions.items():
            self._suspicions[name] = suspicion._replace(
                deadline_ms=deadline_ms
            )

    def tick(self, now_ms):
        """Send the probes that are due and handle unanswered ones."""
        for sequence, probe in self._pending.list_overdue(now_ms):
            self._handle_timeout(sequence, probe, now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._options.probe_interval_ms
            table = self._state.table
            self._probe_next(now_ms)
            if self._unverified_removals:
                record = table.get(self._unverified_removals.popleft())
                if record is not None and table.is_live(record.name):
                    self._probe(record, Purpose.ROUTINE, now_ms)
            self._probe_absent(now_ms)
            for suspicion in self._suspicions.values():
                self._probe(suspicion.record, Purpose.SUSPECT, now_ms)
        self._remove_expired_suspects(now_ms)

    def _probe_next(self, now_ms):
        """Send the next routine probe."""
        record = None
        self._due_local_probes += self._options.local_probe_share
        if self._due_local_probes >= 1.0:
            self._due_local_probes -= 1.0
            record = self._local_order.take_next()
        record = record or self._order.take_next()
        if record is not None:
            self._probe(record, Purpose.ROUTINE, now_ms)

    def queue_verification(self, removed):
        """Queue a probe of a member that another table lists as removed.

        The table may come from the other side of a healed partition, which
        removed all members of this side. Applying its removals without a
        probe would remove them here too for a moment.
        """
        record = self._state.table.get(removed.name)
        if (
            record is not None
            and self._state.table.is_live(removed.name)
            and records.supersedes(removed, record)
            and removed.name not in self._unverified_removals
        ):
            self._unverified_removals.append(removed.name)

    def probe_for_confirmation(self, chosen, now_ms):
        """Probe the `chosen` members to confirm the member list."""
        for record in chosen:
            self._probe(record, Purpose.CONFIRM, now_ms)

    def on_ping_req(self, sender, body, now_ms):
        """Probe a member on behalf of `sender`."""
        record = self._state.table.get(body.name)
        incarnation = record.incarnation if record is not None else 0
        final_ms = now_ms + self._options.probe_interval_ms
        requester = (sender.name, sender.address, body.sequence)
        probe = Probe(
            Purpose.RELAY,
            body.name,
            incarnation,
            final_ms,
            final_ms,
            requester,
        )
        self._send_ping(probe, body.address)

    def on_ack(self, sender, body, now_ms):
        """Complete the probe that this answer belongs to."""
        probe = self._pending.get(body.sequence)
        is_match = (
            probe is not None
            and probe.name == body.subject
            and probe.incarnation <= body.incarnation
        )
        if not is_match:
            return
        self._pending.discard(body.sequence)
        if probe.purpose == Purpose.RELAY:
            self._relay_ack(probe, body)
            return
        self._health_penalty = max(0, self._health_penalty - 1)
        self._state.record_answer(body.subject)
        if probe.purpose == Purpose.ABSENT:
            self._state.send_sync(sender.name, sender.address)

    def _probe(self, record, purpose, now_ms):
        final_ms = now_ms + max(
            self._options.probe_interval_ms,
            2 * self._options.probe_timeout_ms,
        )
        deadline_ms = now_ms + self._options.probe_timeout_ms
        incarnation = getattr(record, 'incarnation', 0)
        probe = Probe(purpose, record.name, incarnation, deadline_ms, final_ms)
        self._send_ping(probe, record.address)

    def _send_ping(self, probe, address):
        own = self._state.own
        self._pending.add(probe)
        body = messages.Ping(
            self._pending.last_sequence,
            own.data_centre,
            own.counter,
            self._state.collect_updates(probe.name),
        )
        self._state.send(probe.name, address, body)

    def _probe_absent(self, now_ms):
        """Probe a random listed VM that is not a member, if one is due.

        The probability falls with the size of the fleet, so that all nodes
        together probe one dead VM about twice per interval. When half of
        the fleet is missing, each node probes one VM per interval.
        """
        table = self._state.table
        probability = (
            _ABSENT_PROBE_RATE * table.absent_count / (table.live_count + 1)
        )
        if self._random.random() < probability:
            vm = table.choose_absent(self._random)
            self._probe(vm, Purpose.ABSENT, now_ms)

    def _handle_timeout(self, sequence, probe, now_ms):
        allows_indirect = probe.purpose in (Purpose.ROUTINE, Purpose.SUSPECT)
        if allows_indirect and not probe.is_indirect:
            self._request_indirect_probes(sequence, probe)
            return
        self._pending.discard(sequence)
        if probe.purpose == Purpose.ROUTINE:
            self._suspect_member(probe, now_ms)

    def _request_indirect_probes(self, sequence, probe):
        table = self._state.table
        own = self._state.own
        target = table.get(probe.name)
        relays = table.choose_live(
            self._random, _RELAY_COUNT, excluded=(probe.name,)
        )
        for relay in relays:
            updates = self._state.collect_updates(relay.name)
            if target.status != records.ALIVE:
                # The relay forwards the suspicion so that the target can
                # refute it.
                updates = (records.omit_known_fields(target), *updates)
            body = messages.PingReq(
                sequence,
                target.name,
                target.address,
                own.data_centre,
                own.counter,
                updates,
            )
            self._state.send(relay.name, relay.address, body)
        self._pending.replace(
            sequence,
            probe._replace(deadline_ms=probe.final_ms, is_indirect=True),
        )

    def _relay_ack(self, probe, body):
        name, address, sequence = probe.requester
        own = self._state.own
        record = self._state.table.get(body.subject)
        updates = self._state.collect_updates(name)
        if record is not None:
            # Includes the subject's refutation, if it sent one.
            updates = (records.omit_known_fields(record), *updates)
        ack = messages.Ack(
            sequence,
            body.subject,
            body.incarnation,
            own.data_centre,
            own.counter,
            updates,
        )
        self._state.send(name, address, ack)

    def _suspect_member(self, probe, now_ms):
        record = self._state.table.get(probe.name)
        if (
            record is None
            or not self._state.table.is_live(probe.name)
            or record.incarnation != probe.incarnation
        ):
            return
        timeout_ms = self._options.suspect_timeout_ms * (
            1 + self._health_penalty
        )
        self._health_penalty = min(
            _MAX_HEALTH_PENALTY, self._health_penalty + 1
        )
        suspect = record._replace(status=records.SUSPECT)
        if record.name not in self._suspicions:
            self._suspicions[record.name] = _Suspicion(
                suspect, now_ms + timeout_ms
            )
        self._state.merge_update(suspect, 'no answer to probes')

    def _remove_expired_suspects(self, now_ms):
        for name, suspicion in tuple(self._suspicions.items()):
            if self._state.table.get(name) != suspicion.record:
                # The member refuted the suspicion, restarted, or was
                # removed by another node.
                del self._suspicions[name]
            elif now_ms >= suspicion.deadline_ms:
                del self._suspicions[name]
                removed = suspicion.record._replace(status=records.REMOVED)
                self._state.merge_update(removed, 'suspicion timed out')
