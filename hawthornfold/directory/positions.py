"""Positions in the history of a published store."""

import typing

# Era of a store that reports none: it has never lost a change.
UNKNOWN_ERA = 0


class StorePosition(typing.NamedTuple):
    """A revision of the store and the era that it belongs to.

    The era rises whenever the store returns from an older copy. Revisions
    after the copy are then given out again, for other changes, so that only
    positions of one era can be compared by revision. Every position of a later
    era is newer.

    Parameters
    ----------
    era : int
        Number of the era; `UNKNOWN_ERA` for a store that reports none.
    revision : int
        Revision of the store in this era.

    Examples
    --------
    >>> StorePosition(1, 120) < StorePosition(2, 100)
    True
    """

    era: int
    revision: int

    def __str__(self):
        """Return ``era:revision``, for logs."""
        return f'{self.era}:{self.revision}'
