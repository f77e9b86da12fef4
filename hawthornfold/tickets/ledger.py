"""Records the used tickets of the incarnation that issued them.

An entry is retained until its ticket expires. An expired ticket is refused,
because the ledger no longer records whether it was used. Answers are retained
within a byte limit; they are removed before their entries.
"""

import collections
import enum
import typing

TICKET_LIFETIME_MS = 600_000.0
MAX_ENTRIES = 100_000
# Minimum time between two recorded issue times; see `record_issue`.
ISSUE_RECORD_INTERVAL_MS = 1000.0
MAX_ANSWER_BYTES = 32 * 1024 * 1024


class AdmissionKind(enum.Enum):
    """Decision on a request that carries a ticket of this incarnation."""

    START = 'start'
    IN_PROGRESS = 'in-progress'
    REPLAY = 'replay'
    ANSWER_GONE = 'answer-gone'
    CONFLICT = 'conflict'
    EXPIRED = 'expired'
    FULL = 'full'


class Admission(typing.NamedTuple):
    """Decision on a request; `answer` is set for REPLAY."""

    kind: AdmissionKind
    answer: object = None


class _Entry:
    """Mutable record of one used ticket."""

    __slots__ = ('answer', 'fingerprint', 'is_running', 'size', 'used_ms')

    def __init__(self, fingerprint, used_ms):
        self.fingerprint = fingerprint
        self.used_ms = used_ms
        self.is_running = True
        self.answer = None
        self.size = 0


class TicketLedger:
    """Records the used tickets of one node incarnation by counter."""

    def __init__(self, lifetime_ms, max_entries, max_answer_bytes):
        self._lifetime_ms = lifetime_ms
        self._max_entries = max_entries
        self._max_answer_bytes = max_answer_bytes
        self._entries = collections.OrderedDict()
        self._issued = collections.deque()
        self._min_valid_counter = 1
        self._answers = collections.OrderedDict()
        self._answer_bytes = 0

    @property
    def size(self):
        """Number of used tickets that are retained."""
        return len(self._entries)

    @property
    def answer_bytes(self):
        """Total size in bytes of the answers that are retained."""
        return self._answer_bytes

    def record_issue(self, counter, now_ms):
        """Record when a ticket was issued; its lifetime starts.

        At most one issue time per second is recorded: tickets issued within
        one second expire together, and memory does not grow with the number
        of unused tickets.
        """
        self._expire(now_ms)
        if (
            self._issued
            and now_ms - self._issued[-1][1] < ISSUE_RECORD_INTERVAL_MS
        ):
            return
        self._issued.append((counter, now_ms))

    def claim(self, counter, fingerprint, now_ms):
        """Decide on a request; START marks the ticket as used.

        Parameters
        ----------
        counter : int
            Counter of a valid ticket of this incarnation.
        fingerprint : bytes
            Hash of the request, so that two requests cannot use one ticket.
        now_ms : float
            Current time in ms.
        """
        self._expire(now_ms)
        entry = self._entries.get(counter)
        if entry is not None:
            return self._admit_used_ticket(entry, fingerprint)
        if counter < self._min_valid_counter:
            return Admission(AdmissionKind.EXPIRED)
        if len(self._entries) >= self._max_entries:
            return Admission(AdmissionKind.FULL)
        self._entries[counter] = _Entry(fingerprint, now_ms)
        return Admission(AdmissionKind.START)

    def record_answer(self, counter, answer, size):
        """Store the answer of a request that ran or may have run.

        Parameters
        ----------
        counter : int
            Counter of the ticket.
        answer : object
            The answer; None when the run ended with an error.
        size : int
            Size of the answer in bytes.
        """
        entry = self._entries.get(counter)
        if entry is None:
            return
        entry.is_running = False
        entry.answer = answer
        entry.size = size
        self._answers[counter] = entry
        self._answer_bytes += size
        while self._answer_bytes > self._max_answer_bytes:
            _, oldest = self._answers.popitem(last=False)
            self._drop_answer(oldest)

    def release(self, counter):
        """Mark a ticket as unused because its request did not run."""
        self._entries.pop(counter, None)

    def _admit_used_ticket(self, entry, fingerprint):
        if entry.fingerprint != fingerprint:
            return Admission(AdmissionKind.CONFLICT)
        if entry.is_running:
            return Admission(AdmissionKind.IN_PROGRESS)
        if entry.answer is None:
            return Admission(AdmissionKind.ANSWER_GONE)
        return Admission(AdmissionKind.REPLAY, entry.answer)

    def _drop_answer(self, entry):
        self._answer_bytes -= entry.size
        entry.answer = None
        entry.size = 0

    def _expire(self, now_ms):
        cutoff_ms = now_ms - self._lifetime_ms
        # A recorded issue time applies to all tickets up to the next recorded
        # one, so it expires once the next one is before the cutoff.
        while len(self._issued) > 1 and self._issued[1][1] < cutoff_ms:
            self._issued.popleft()
            self._min_valid_counter = self._issued[0][0]
        while self._entries:
            counter, entry = next(iter(self._entries.items()))
            if entry.is_running or counter >= self._min_valid_counter:
                break
            if entry.used_ms >= cutoff_ms:
                break
            del self._entries[counter]
            if self._answers.pop(counter, None) is not None:
                self._drop_answer(entry)


def create_ticket_ledger(
    lifetime_ms=TICKET_LIFETIME_MS,
    max_entries=MAX_ENTRIES,
    max_answer_bytes=MAX_ANSWER_BYTES,
):
    """Create an empty ledger.

    Examples
    --------
    >>> ledger = create_ticket_ledger()
    >>> ledger.record_issue(1, now_ms=0.0)
    >>> ledger.claim(1, b'f', now_ms=5.0).kind.value
    'start'
    >>> ledger.record_answer(1, 'paid', size=4)
    >>> ledger.claim(1, b'f', now_ms=9.0)
    Admission(kind=<AdmissionKind.REPLAY: 'replay'>, answer='paid')
    """
    return TicketLedger(lifetime_ms, max_entries, max_answer_bytes)
