"""Attempts of a query: some of its shards, sent to one target."""

import enum

from hawthornfold.backends import Ran


class AttemptKind(enum.Enum):
    """Why an attempt was sent."""

    PRIMARY = 'primary'
    HEDGE = 'hedge'
    RETRY = 'retry'
    REROUTE = 'reroute'


class Attempt:
    """Mutable record of an attempt.

    `ran` stays UNKNOWN until a reply says whether the attempt ran. An attempt
    that was cancelled or never answered may have run.
    """

    __slots__ = (
        'is_hedged',
        'is_open',
        'kind',
        'number',
        'ran',
        'sent_ms',
        'shards',
        'target',
    )

    def __init__(self, number, target, shards, kind, sent_ms):
        self.number = number
        self.target = target
        self.shards = shards
        self.kind = kind
        self.sent_ms = sent_ms
        self.is_open = True
        self.is_hedged = False
        self.ran = Ran.UNKNOWN

    def close(self, ran):
        """Record the end of the attempt."""
        self.is_open = False
        self.ran = ran


def combine_ran(attempts):
    """Return whether any of the attempts ran, UNKNOWN if that is not known.

    Examples
    --------
    >>> combine_ran([])
    <Ran.NO: 0>
    """
    verdicts = {attempt.ran for attempt in attempts}
    if Ran.YES in verdicts:
        return Ran.YES
    if Ran.UNKNOWN in verdicts:
        return Ran.UNKNOWN
    return Ran.NO


class AttemptTable:
    """All attempts of one query, numbered from 1."""

    def __init__(self):
        self._attempts = []
        self._open = {}

    @property
    def all_attempts(self):
        """All attempts, oldest first."""
        return tuple(self._attempts)

    @property
    def open_attempts(self):
        """Attempts that have not ended, oldest first."""
        return list(self._open.values())

    @property
    def has_open_attempts(self):
        """Whether any attempt has not ended."""
        return bool(self._open)

    @property
    def ran(self):
        """Whether any attempt ran, UNKNOWN if that is not known."""
        return combine_ran(self._attempts)

    def ran_for_shard(self, shard_name):
        """Return whether any attempt for a shard ran, as a `Ran`."""
        return combine_ran(
            attempt
            for attempt in self._attempts
            if shard_name in attempt.shards
        )

    def pending_shards(self):
        """Return the names of the shards with an open attempt."""
        return {
            name for attempt in self._open.values() for name in attempt.shards
        }

    def add_attempt(self, target, shards, kind, now_ms):
        """Record a new attempt and return it."""
        attempt = Attempt(
            len(self._attempts) + 1, target, shards, kind, now_ms
        )
        self._attempts.append(attempt)
        self._open[attempt.number] = attempt
        return attempt

    def close_attempt(self, number, ran):
        """End an attempt and return it; return None if it is not open."""
        attempt = self._open.pop(number, None)
        if attempt is not None:
            attempt.close(ran)
        return attempt
