"""The requests under which servers have ended, as one node knows them."""

import math
import re
import typing

from hawthornfold.quarantine.messages import SuspectReport
from hawthornfold.quarantine.suspects import QUARANTINE_MS
from hawthornfold.quarantine.suspects import SUSPECT_LIFETIME_MS
from hawthornfold.quarantine.suspects import Suspect
from hawthornfold.quarantine.suspects import SuspectState

# Maximum number of entries. The suspects whose last evidence is the oldest go
# first; most suspects are innocent.
MAX_ENTRIES = 1_024
# How long a request is remembered that an operator or an answer has cleared.
# Older reports that arrive later don't make it a suspect again.
LIFTED_LIFETIME_MS = SUSPECT_LIFETIME_MS + QUARANTINE_MS
CLEARED_LIFETIME_MS = 60_000.0
# Maximum number and length of the texts of a report.
MAX_TEXTS = 16
MAX_TEXT_LENGTH = 128
_FINGERPRINT = re.compile(r'[0-9a-f]{32}', re.ASCII)


class SuspectChange(typing.NamedTuple):
    """A change of what the node knows of a request.

    Parameters
    ----------
    report : SuspectReport
        What is known now.
    has_new_state : bool
        Whether its state has changed, and not only the evidence.
    """

    report: SuspectReport
    has_new_state: bool


class SuspectTable:
    """The suspects and quarantined requests of a node.

    Parameters
    ----------
    node_name : str
        The node.
    """

    def __init__(self, node_name):
        self._node_name = node_name
        self._suspects = {}
        # By fingerprint: when it was cleared, and whether by an operator.
        self._cleared = {}

    @property
    def count(self):
        """Number of suspects, with the quarantined ones."""
        return len(self._suspects)

    def count_quarantined(self, now_ms):
        """Return the number of quarantined requests."""
        return sum(
            now_ms < suspect.quarantined_until_ms
            for suspect in self._suspects.values()
        )

    def get_state(self, fingerprint, now_ms):
        """Return the `SuspectState` of a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return SuspectState.CLEAR
        return suspect.get_state(now_ms)

    def get_services(self, fingerprint):
        """Return the services whose servers ended under a request."""
        suspect = self._suspects.get(fingerprint)
        return () if suspect is None else tuple(suspect.services)

    def record_end(self, fingerprint, end, service, rule, proof, now_ms):
        """Record that a server has ended while it ran a request.

        Parameters
        ----------
        fingerprint : str
            Names the request.
        end : EndedServer
            The server.
        service, rule : str
            Its service, and the rule of the request.
        proof : str
            Id of the request if this was the only part of it that was sent,
            otherwise ''.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        SuspectChange or None
            None if this was known.
        """
        return self._add_evidence(
            fingerprint,
            (self._node_name, rule),
            ((end,), (proof,) if proof else (), (service,)),
            now_ms,
            now_ms,
        )

    def record_answer(self, fingerprint, services, now_ms):
        """Record that servers of some services have answered a request.

        Returns
        -------
        SuspectChange or None
            Not None if this clears the request.
        """
        suspect = self._suspects.get(fingerprint)
        if (
            suspect is None
            or suspect.get_state(now_ms) is SuspectState.QUARANTINED
            or not suspect.services.keys() & set(services)
        ):
            return None
        return self._clear(fingerprint, now_ms, False, now_ms)

    def lift(self, fingerprint, now_ms):
        """Clear a request because an operator says so.

        Returns
        -------
        SuspectChange or None
            None if the request is no suspect.
        """
        if fingerprint not in self._suspects:
            return None
        return self._clear(fingerprint, now_ms, True, now_ms)

    def apply_report(self, report, now_ms):
        """Apply the report of another node.

        Returns
        -------
        SuspectChange or None
            None if it says nothing new.

        Raises
        ------
        ValueError
            If the report is malformed.
        """
        _check_report(report)
        reported_ms = now_ms - report.age_ms
        if report.state == SuspectState.CLEAR.value:
            return self._apply_clearing(report, reported_ms, now_ms)
        change = self._add_evidence(
            report.fingerprint,
            (report.origin, report.rule),
            (report.ends, report.proofs, report.services),
            reported_ms,
            now_ms,
        )
        suspect = self._suspects.get(report.fingerprint)
        until_ms = now_ms + min(report.quarantine_ms, QUARANTINE_MS)
        if (
            suspect is not None
            and report.quarantine_ms
            and suspect.get_state(now_ms) is not SuspectState.QUARANTINED
        ):
            suspect.quarantined_until_ms = until_ms
            return SuspectChange(self._describe(suspect, now_ms), True)
        return change

    def create_reports(self, limit, now_ms):
        """Return the most important reports, quarantined requests first."""
        suspects = sorted(
            self._suspects.values(),
            key=lambda x: (x.quarantined_until_ms, x.evidence_ms),
            reverse=True,
        )
        return [self._describe(x, now_ms) for x in suspects[:limit]]

    def expire(self, now_ms):
        """Forget what is out of date.

        Returns
        -------
        list of SuspectReport
            The requests that are no suspects any more.
        """
        expired = [
            suspect
            for suspect in self._suspects.values()
            if now_ms
            >= max(
                suspect.evidence_ms + SUSPECT_LIFETIME_MS,
                suspect.quarantined_until_ms + SUSPECT_LIFETIME_MS
                if suspect.quarantined_until_ms
                else 0.0,
            )
        ]
        for suspect in expired:
            del self._suspects[suspect.fingerprint]
        for fingerprint, (cleared_ms, is_lifted) in list(
            self._cleared.items()
        ):
            lifetime_ms = (
                LIFTED_LIFETIME_MS if is_lifted else CLEARED_LIFETIME_MS
            )
            if now_ms - cleared_ms >= lifetime_ms:
                del self._cleared[fingerprint]
        return [self._describe(x, now_ms) for x in expired]

    def _add_evidence(self, fingerprint, about, evidence, at_ms, now_ms):
        cleared_ms, _ = self._cleared.get(fingerprint, (-math.inf, False))
        if (
            at_ms <= cleared_ms
            or now_ms - at_ms >= SUSPECT_LIFETIME_MS + QUARANTINE_MS
        ):
            return None
        suspect = self._suspects.get(fingerprint)
        is_new = suspect is None
        if is_new:
            self._make_room()
            suspect = Suspect(fingerprint, *about)
            self._suspects[fingerprint] = suspect
        before = suspect.get_state(now_ms)
        # After its quarantine, one more ended server is enough.
        has_more = suspect.add_evidence(*evidence, at_ms)
        is_relapse = (
            suspect.quarantined_until_ms > 0.0
            and at_ms > suspect.quarantined_until_ms
        )
        if before is not SuspectState.QUARANTINED and (
            (suspect.is_proven and (has_more or is_new)) or is_relapse
        ):
            suspect.quarantined_until_ms = now_ms + QUARANTINE_MS
        state = suspect.get_state(now_ms)
        if not (is_new or has_more or state is not before):
            return None
        return SuspectChange(
            self._describe(suspect, now_ms), is_new or state is not before
        )

    def _apply_clearing(self, report, cleared_ms, now_ms):
        suspect = self._suspects.get(report.fingerprint)
        known_ms, _ = self._cleared.get(report.fingerprint, (-math.inf, False))
        if cleared_ms <= known_ms:
            return None
        if suspect is not None and (
            suspect.evidence_ms > cleared_ms
            or (
                suspect.get_state(now_ms) is SuspectState.QUARANTINED
                and not report.is_lifted
            )
        ):
            return None
        return self._clear(
            report.fingerprint, cleared_ms, report.is_lifted, now_ms
        )

    def _clear(self, fingerprint, cleared_ms, is_lifted, now_ms):
        had_entry = self._suspects.pop(fingerprint, None) is not None
        self._cleared[fingerprint] = (cleared_ms, is_lifted)
        if len(self._cleared) > MAX_ENTRIES:
            del self._cleared[next(iter(self._cleared))]
        if not had_entry:
            return None
        report = SuspectReport(
            fingerprint,
            SuspectState.CLEAR.value,
            int(now_ms - cleared_ms),
            is_lifted=is_lifted,
            origin=self._node_name,
        )
        return SuspectChange(report, True)

    def _make_room(self):
        if len(self._suspects) >= MAX_ENTRIES:
            oldest = min(
                self._suspects.values(),
                key=lambda x: (x.quarantined_until_ms, x.evidence_ms),
            )
            del self._suspects[oldest.fingerprint]

    def _describe(self, suspect, now_ms):
        left_ms = max(suspect.quarantined_until_ms - now_ms, 0.0)
        return SuspectReport(
            suspect.fingerprint,
            suspect.get_state(now_ms).value,
            max(int(now_ms - suspect.evidence_ms), 0),
            math.ceil(left_ms),
            False,
            suspect.origin,
            suspect.rule,
            tuple(suspect.ends),
            tuple(suspect.proofs),
            tuple(suspect.services),
        )


def _check_report(report):
    texts = (
        report.origin,
        report.rule,
        *report.proofs,
        *report.services,
        *(end.server_id for end in report.ends),
    )
    if (
        not _FINGERPRINT.fullmatch(report.fingerprint)
        or report.state not in {state.value for state in SuspectState}
        or report.age_ms < 0
        or report.quarantine_ms < 0
        or len(texts) > MAX_TEXTS
        or max(map(len, texts)) > MAX_TEXT_LENGTH
    ):
        raise ValueError('malformed report')


def create_suspect_table(node_name):
    """Create a table without suspects.

    Examples
    --------
    >>> from hawthornfold.quarantine.suspects import EndedServer
    >>> table = create_suspect_table('n1')
    >>> name = 32 * '0'
    >>> for number, proof in enumerate(('', 'r2', 'r3')):
    ...     end = EndedServer(f's{number}', 1)
    ...     change = table.record_end(name, end, 'a', 'r', proof, 9.0)
    >>> table.get_state(name, 10.0)
    <SuspectState.QUARANTINED: 'quarantined'>
    """
    return SuspectTable(node_name)
