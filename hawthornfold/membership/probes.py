"""Probes that await an answer."""

import enum
import typing


class Purpose(enum.IntEnum):
    """Why a member is probed."""

    ROUTINE = 0
    CONFIRM = 1
    SUSPECT = 2
    ABSENT = 3
    RELAY = 4


class Probe(typing.NamedTuple):
    """A probe in progress.

    `requester` is the (name, address, sequence) of the node on whose behalf
    a RELAY probe was sent. `is_indirect` is true once other members were
    asked to probe the target.
    """

    purpose: Purpose
    name: str
    incarnation: int
    deadline_ms: float
    final_ms: float
    requester: tuple = ()
    is_indirect: bool = False


class PendingProbes:
    """Probes in progress, by sequence number."""

    def __init__(self, first_sequence):
        self._sequence = first_sequence
        self._probes = {}

    @property
    def last_sequence(self):
        """Sequence number of the latest probe."""
        return self._sequence

    @property
    def count(self):
        """Number of probes in progress."""
        return len(self._probes)

    def get(self, sequence):
        """Return the probe with this sequence number, or None."""
        return self._probes.get(sequence)

    def add(self, probe):
        """Store a probe under the next sequence number."""
        self._sequence += 1
        self._probes[self._sequence] = probe

    def replace(self, sequence, probe):
        """Replace a probe that has entered its next stage."""
        self._probes[sequence] = probe

    def discard(self, sequence):
        """Remove a probe that was answered or has failed."""
        self._probes.pop(sequence, None)

    def clear(self):
        """Remove all probes."""
        self._probes.clear()

    def list_overdue(self, now_ms):
        """Return the (sequence, probe) pairs whose deadline has passed."""
        return [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if now_ms >= probe.deadline_ms
        ]
