"""The evidence against one request under which servers have ended."""

import enum
import typing

# A request is quarantined after so many servers have ended under it, and so
# many of them while no other part of the request was running.
MIN_ENDS = 3
MIN_PROOFS = 2
# Numbers of servers and proofs that are remembered.
MAX_ENDS = 4
MAX_PROOFS = 4
# A suspect is forgotten this long after its last evidence.
SUSPECT_LIFETIME_MS = 600_000.0
# After this time a quarantined request is a suspect again: its service may run
# a version that survives it.
QUARANTINE_MS = 600_000.0


class SuspectState(enum.Enum):
    """What is known of a request; the value is used in logs and messages."""

    CLEAR = 'clear'
    # A server has ended while it ran. It is sent to one server first.
    SUSPECT = 'suspect'
    # It is sent to no server.
    QUARANTINED = 'quarantined'


class EndedServer(typing.NamedTuple):
    """A start of a server that has ended.

    Parameters
    ----------
    server_id : str
        The server.
    born_ms : int
        Start of its process, milliseconds since the Unix epoch; 0 if unknown.
    """

    server_id: str
    born_ms: int


class Suspect:
    """A request under which servers have ended.

    Parameters
    ----------
    fingerprint : str
        Names the request on all nodes.
    origin : str
        Name of the node that had the first evidence.
    rule : str
        Name of the rule of the request.
    """

    __slots__ = (
        'ends',
        'evidence_ms',
        'fingerprint',
        'first_ms',
        'origin',
        'proofs',
        'quarantined_until_ms',
        'rule',
        'services',
    )

    def __init__(self, fingerprint, origin, rule):
        self.fingerprint = fingerprint
        self.origin = origin
        self.rule = rule
        # Times of the first and last evidence, on the node's clock.
        self.first_ms = self.evidence_ms = 0.0
        self.quarantined_until_ms = 0.0
        # Sets with a defined order, as keys of dictionaries: `EndedServer`,
        # ids of the requests that were proofs, services of the servers.
        self.ends = {}
        self.proofs = {}
        self.services = {}

    @property
    def is_proven(self):
        """Whether the evidence suffices for a quarantine."""
        return len(self.ends) >= MIN_ENDS and len(self.proofs) >= MIN_PROOFS

    def get_state(self, now_ms):
        """Return the `SuspectState`."""
        if now_ms < self.quarantined_until_ms:
            return SuspectState.QUARANTINED
        return SuspectState.SUSPECT

    def add_evidence(self, ends, proofs, services, evidence_ms):
        """Add evidence.

        Returns
        -------
        bool
            Whether any of it is new.
        """
        if not self.evidence_ms:
            self.first_ms = evidence_ms
        before = (len(self.ends), len(self.proofs), len(self.services))
        _add_bounded(self.ends, ends, MAX_ENDS)
        _add_bounded(self.proofs, proofs, MAX_PROOFS)
        _add_bounded(self.services, services, MAX_ENDS)
        self.evidence_ms = max(self.evidence_ms, evidence_ms)
        return before != (
            len(self.ends),
            len(self.proofs),
            len(self.services),
        )


def _add_bounded(target, keys, limit):
    for key in keys:
        if len(target) < limit:
            target[key] = None
