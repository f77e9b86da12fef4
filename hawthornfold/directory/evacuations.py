"""Tracks the data centres that the operator has evacuated.

No request may reach a server in an evacuated data centre. The store lists the
evacuations; a node keeps what it knows of them while it cannot reach the
store. `Evacuations` is a state machine that receives reads of the store and
the lists of readers.
"""

import math
import typing

from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.positions import StorePosition

# States of a data centre. A held evacuation is one that the store had listed
# before it returned from an older copy.
NOT_EVACUATED = 'none'
EVACUATED = 'evacuated'
HELD = 'held'
# An empty list is sent to other nodes for this long after the last change. A
# node that missed the end of an evacuation learns of it from any of them.
LIST_REPEAT_MS = 60_000.0


class EvacuationChange(typing.NamedTuple):
    """A written or deleted evacuation.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    is_evacuated : bool
        Whether it was written.
    revision : int
        Revision of the store at the change; 0 if it has none.
    """

    data_centre: str
    is_evacuated: bool
    revision: int = 0


class EvacuationList(typing.NamedTuple):
    """All evacuations that the store lists at a position.

    Parameters
    ----------
    revision : int
        Revision of the store.
    era : int
        Era of the store; `UNKNOWN_ERA` if it reports none.
    data_centres : tuple of str
        The evacuated data centres.
    """

    revision: int
    era: int = UNKNOWN_ERA
    data_centres: tuple[str, ...] = ()

    @property
    def position(self):
        """The `StorePosition`."""
        return StorePosition(self.era, self.revision)


class EvacuationEvent(typing.NamedTuple):
    """A change of the state of a data centre on this node.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    before, after : str
        `NOT_EVACUATED`, `EVACUATED` or `HELD`.
    position : StorePosition or None
        Position of the list of evacuations; None if it is unknown.
    """

    data_centre: str
    before: str
    after: str
    position: StorePosition | None


class Evacuations:
    """The evacuated data centres, by what the store has listed.

    Parameters
    ----------
    hold_ms : float
        How long an evacuation stays in force that a store lacks which has
        returned from an older copy. The operator writes it again meanwhile.
    on_events : callable
        Called with a list of `EvacuationEvent` after each change.
    """

    def __init__(self, hold_ms, on_events):
        self._hold_ms = hold_ms
        self._on_events = on_events
        # Position as of which the list is complete, None before the first.
        self._position = None
        self._listed = frozenset()
        # By data centre: when a held evacuation ends.
        self._held = {}
        self._in_force = frozenset()
        self._changed_ms = -math.inf

    @property
    def in_force(self):
        """The evacuated data centres, as a frozenset."""
        return self._in_force

    @property
    def position(self):
        """The `StorePosition` of the list, or None."""
        return self._position

    def create_list(self, now_ms, is_required=False):
        """Return the `EvacuationList` for another node, or None.

        Nodes of an older release refuse a message with a list. It is therefore
        not sent while there has been no evacuation for `LIST_REPEAT_MS`.

        Parameters
        ----------
        now_ms : float
            Current time.
        is_required : bool
            Whether the other node needs the list in any case.
        """
        if self._position is None or not (
            self._in_force
            or is_required
            or now_ms - self._changed_ms <= LIST_REPEAT_MS
        ):
            return None
        era, revision = self._position
        return EvacuationList(revision, era, tuple(sorted(self._listed)))

    def apply_read(self, changes, position, now_ms):
        """Replace the evacuations by those of a complete read of the store.

        Ignored if a newer list is known.

        Parameters
        ----------
        changes : iterable of EvacuationChange
            All evacuations of the store.
        position : StorePosition
            Position of the read.
        now_ms : float
            Current time.
        """
        if self._position is None or position >= self._position:
            listed = frozenset(x.data_centre for x in changes)
            self._replace(listed, position, now_ms)

    def apply_list(self, published, now_ms):
        """Apply the `EvacuationList` of a reader, or None, if it is newer."""
        if published is None:
            return
        position = published.position
        # Two readers at the same position may differ: one may have read a
        # change already that follows on its position.
        if self._position is None or position > self._position:
            self._replace(frozenset(published.data_centres), position, now_ms)

    def apply_changes(self, changes, position, now_ms):
        """Apply individual changes; those that are known are skipped.

        Parameters
        ----------
        changes : iterable of EvacuationChange
            Changes in the order of their revisions.
        position : StorePosition
            Position up to which they are complete.
        now_ms : float
            Current time.
        """
        known = self._position
        if known is not None and position <= known:
            return
        before = self._describe()
        listed, held = set(self._listed), dict(self._held)
        for change in changes:
            if (
                known is not None
                and position.era == known.era
                and 0 < change.revision <= known.revision
            ):
                continue
            held.pop(change.data_centre, None)
            if change.is_evacuated:
                listed.add(change.data_centre)
            else:
                listed.discard(change.data_centre)
        self._listed, self._held = frozenset(listed), held
        self._position = position
        self._commit(before, now_ms)

    def expire(self, now_ms):
        """End the held evacuations that are due."""
        if not self._held:
            return
        before = self._describe()
        self._held = {
            data_centre: until_ms
            for data_centre, until_ms in self._held.items()
            if until_ms > now_ms
        }
        self._commit(before, now_ms)

    def _replace(self, listed, position, now_ms):
        before = self._describe()
        if self._position is not None and position.era > self._position.era:
            # The store has returned from an older copy.
            until_ms = now_ms + self._hold_ms
            self._held = dict.fromkeys(self._in_force, until_ms)
        self._held = {
            data_centre: until_ms
            for data_centre, until_ms in self._held.items()
            if data_centre not in listed
        }
        self._listed, self._position = listed, position
        self._commit(before, now_ms)

    def _describe(self):
        """Return the states of the evacuated data centres, by name."""
        return {
            **dict.fromkeys(self._listed, EVACUATED),
            **dict.fromkeys(self._held, HELD),
        }

    def _commit(self, before, now_ms):
        after = self._describe()
        if after == before:
            return
        self._changed_ms = now_ms
        self._in_force = frozenset(after)
        self._on_events(
            [
                EvacuationEvent(
                    data_centre,
                    before.get(data_centre, NOT_EVACUATED),
                    after.get(data_centre, NOT_EVACUATED),
                    self._position,
                )
                for data_centre in sorted(before.keys() | after.keys())
                if before.get(data_centre) != after.get(data_centre)
            ]
        )


def create_evacuations(hold_ms, on_events=lambda events: None):
    """Create the evacuations of a node that has not read the store.

    Examples
    --------
    >>> evacuations = create_evacuations(2_300.0)
    >>> read = (EvacuationChange('dc-a', True, 7),)
    >>> evacuations.apply_read(read, StorePosition(1, 9), 0.0)
    >>> sorted(evacuations.in_force)
    ['dc-a']
    >>> deleted = (EvacuationChange('dc-a', False, 10),)
    >>> evacuations.apply_changes(deleted, StorePosition(1, 10), 0.0)
    >>> sorted(evacuations.in_force)
    []
    """
    return Evacuations(hold_ms, on_events)
