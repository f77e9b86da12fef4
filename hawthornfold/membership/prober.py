"""Probing: random and indirect probes, suspicion and removal."""

import collections
import typing

from hawthornfold.membership import records
from hawthornfold.membership.probes import Probe
from hawthornfold.membership.probes import ProbeBook
from hawthornfold.membership.probes import Purpose
from hawthornfold.peers import messages

_RELAY_COUNT = 3
# A node that gets no answers at all waits up to five times longer before
# it removes others, since the fault is probably its own.
_MAX_DOUBT = 4
# Fleet-wide probes of one listed VM that is not a member, per interval.
_ABSENT_RATE = 2.0


# Removals read from another table wait here for a probe of this node's own.
_MAX_DOUBTED = 256


class _Suspicion(typing.NamedTuple):
    """A member that this node accused itself."""

    record: messages.Update
    deadline_ms: float


class Prober:
    """The part of the state machine that probes and removes members.

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
        self._book = ProbeBook(random.getrandbits(31))
        self._suspicions = {}
        self._doubted = collections.deque(maxlen=_MAX_DOUBTED)
        self._doubt = 0
        self._next_probe_ms = 0.0

    def resume(self, now_ms):
        """Start over after a pause: silence during it proves nothing."""
        self._book.clear()
        self._next_probe_ms = now_ms
        deadline_ms = now_ms + self._options.suspect_timeout_ms
        for name, suspicion in self._suspicions.items():
            self._suspicions[name] = suspicion._replace(
                deadline_ms=deadline_ms
            )

    def tick(self, now_ms):
        """Send due probes and process those that were not answered."""
        for sequence, probe in self._book.due(now_ms):
            self._advance(sequence, probe, now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._options.probe_interval_ms
            table = self._state.table
            for record in table.choose_live(self._random, 1):
                self._probe(record, Purpose.ROUTINE, now_ms)
            if self._doubted:
                record = table.get(self._doubted.popleft())
                if record is not None and table.is_live(record.name):
                    self._probe(record, Purpose.ROUTINE, now_ms)
            self._probe_absent(now_ms)
            for suspicion in self._suspicions.values():
                self._probe(suspicion.record, Purpose.SUSPECT, now_ms)
        self._remove_expired(now_ms)

    def verify(self, removed):
        """Probe a member that another table holds as removed.

        The other node may come from the far side of a partition that has
        healed, so its old removals are not taken over unseen: this side's
        members would all be lost for a moment.
        """
        record = self._state.table.get(removed.name)
        if (
            record is not None
            and self._state.table.is_live(removed.name)
            and records.supersedes(removed, record)
            and removed.name not in self._doubted
        ):
            self._doubted.append(removed.name)

    def confirm(self, chosen, now_ms):
        """Probe `chosen` records to confirm this node's view."""
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
        self._ping(probe, body.address)

    def on_ack(self, sender, body, now_ms):
        """Match an answer with its probe."""
        probe = self._book.get(body.sequence)
        is_match = (
            probe is not None
            and probe.name == body.subject
            and probe.incarnation <= body.incarnation
        )
        if not is_match:
            return
        self._book.discard(body.sequence)
        if probe.purpose == Purpose.RELAY:
            self._forward(probe, body)
            return
        self._doubt = max(0, self._doubt - 1)
        self._state.observe_answer(body.subject)
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
        self._ping(probe, record.address)

    def _ping(self, probe, address):
        own = self._state.own
        self._book.add(probe)
        body = messages.Ping(
            self._book.last_sequence,
            own.data_centre,
            own.counter,
            self._state.updates_for(probe.name),
        )
        self._state.send(probe.name, address, body)

    def _probe_absent(self, now_ms):
        """Probe a listed VM that is not a member, now and then.

        The rate is shared by the fleet, so that one dead VM is probed
        about twice an interval however many nodes look for it, and each
        node probes one an interval when half of the fleet is missing.
        """
        table = self._state.table
        share = _ABSENT_RATE * table.absent_count / (table.live_count + 1)
        if self._random.random() < share:
            vm = table.choose_absent(self._random)
            self._probe(vm, Purpose.ABSENT, now_ms)

    def _advance(self, sequence, probe, now_ms):
        is_repeatable = probe.purpose in (Purpose.ROUTINE, Purpose.SUSPECT)
        if is_repeatable and not probe.is_indirect:
            self._ask_others(sequence, probe)
            return
        self._book.discard(sequence)
        if probe.purpose == Purpose.ROUTINE:
            self._accuse(probe, now_ms)

    def _ask_others(self, sequence, probe):
        table = self._state.table
        own = self._state.own
        target = table.get(probe.name)
        others = table.choose_live(
            self._random, _RELAY_COUNT, without=(probe.name,)
        )
        for other in others:
            updates = self._state.updates_for(other.name)
            if target.status != records.ALIVE:
                # The relay passes the accusation on, to be refuted.
                updates = (records.strip_known(target), *updates)
            body = messages.PingReq(
                sequence,
                target.name,
                target.address,
                own.data_centre,
                own.counter,
                updates,
            )
            self._state.send(other.name, other.address, body)
        self._book.replace(
            sequence,
            probe._replace(deadline_ms=probe.final_ms, is_indirect=True),
        )

    def _forward(self, probe, body):
        name, address, sequence = probe.requester
        own = self._state.own
        record = self._state.table.get(body.subject)
        updates = self._state.updates_for(name)
        if record is not None:
            # The requester needs the subject's refutation, if it made one.
            updates = (records.strip_known(record), *updates)
        ack = messages.Ack(
            sequence,
            body.subject,
            body.incarnation,
            own.data_centre,
            own.counter,
            updates,
        )
        self._state.send(name, address, ack)

    def _accuse(self, probe, now_ms):
        record = self._state.table.get(probe.name)
        if (
            record is None
            or not self._state.table.is_live(probe.name)
            or record.incarnation != probe.incarnation
        ):
            return
        timeout_ms = self._options.suspect_timeout_ms * (1 + self._doubt)
        self._doubt = min(_MAX_DOUBT, self._doubt + 1)
        suspect = record._replace(status=records.SUSPECT)
        if record.name not in self._suspicions:
            self._suspicions[record.name] = _Suspicion(
                suspect, now_ms + timeout_ms
            )
        self._state.merge(suspect, 'no answer to probes')

    def _remove_expired(self, now_ms):
        for name, suspicion in tuple(self._suspicions.items()):
            if self._state.table.get(name) != suspicion.record:
                # Refuted, replaced, or removed by another member.
                del self._suspicions[name]
            elif now_ms >= suspicion.deadline_ms:
                del self._suspicions[name]
                removed = suspicion.record._replace(status=records.REMOVED)
                self._state.merge(removed, 'suspicion timed out')
