"""One attempt: some shards of a query sent to one target."""

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

    `ran` stays UNKNOWN until a reply tells; an attempt that was cancelled
    or never answered may have run.
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
    """Return whether any of the attempts ran, as truthfully as known.

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
