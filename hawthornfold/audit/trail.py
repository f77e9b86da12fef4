"""Keeps an audit trail of the changes that this node made or detected.

The trail is in memory only, because VMs have no persistent storage. Operators
who need it for longer read it from the operators' port and store it.
"""

import collections
import typing

import logbook

# Default maximum number of entries.
CAPACITY = 4096

_LOG = logbook.Logger('audit')


class AuditEntry(typing.NamedTuple):
    """One change.

    Parameters
    ----------
    sequence : int
        Increases by one per entry, so that readers can detect gaps.
    time_ms : int
        Wall-clock time, milliseconds since the Unix epoch.
    kind : str
        Kind of change: ``configuration``, ``membership``, ``drain``,
        ``server``, ``snapshot``, ``breaker`` or ``lifecycle``.
    subject : str
        Key, member or server that changed.
    before, after : str
        State before and after the change.
    cause : str
        Reason for the change.
    """

    sequence: int
    time_ms: int
    kind: str
    subject: str
    before: str
    after: str
    cause: str


class AuditTrail:
    """A bounded list of changes that drops the oldest first."""

    def __init__(self, clock, capacity):
        self._clock = clock
        self._entries = collections.deque(maxlen=capacity)
        self._sequence = 0

    def entries(self, limit=CAPACITY):
        """Return the newest `limit` entries, oldest first."""
        if limit <= 0:
            return []
        return list(self._entries)[-limit:]

    def record(self, kind, subject, before, after, cause):
        """Append a change and write its log line."""
        self._sequence += 1
        entry = AuditEntry(
            self._sequence,
            self._clock.wall_ms(),
            kind,
            subject,
            str(before),
            str(after),
            cause,
        )
        self._entries.append(entry)
        _LOG.notice(
            'kind={} subject={} before={} after={} cause="{}"',
            kind,
            subject,
            before,
            after,
            cause,
        )


def create_audit_trail(clock, capacity=CAPACITY):
    """Create an empty audit trail.

    Examples
    --------
    >>> from hawthornfold.clock import create_manual_clock
    >>> trail = create_audit_trail(create_manual_clock(7))
    >>> with logbook.NullHandler():
    ...     trail.record('drain', 's1', 'active', 'draining', 'server flag')
    >>> trail.entries()[0].after
    'draining'
    """
    return AuditTrail(clock, capacity)
