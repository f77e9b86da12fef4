"""Bounds the memory that all readers of one kind hold together.

A reader reserves memory for what it has received and cannot process yet. When
the budget is exhausted, the largest reservation is revoked first: one peer
that sends without end fails, and not every reader that needs a little.
"""

import abc
import contextlib


class ReadBudgetError(ValueError):
    """The reservation was revoked, because the budget is exhausted."""


class RevocationObserver(abc.ABC):
    """Is notified of revoked reservations."""

    @abc.abstractmethod
    def handle_revocation(self, size_bytes):
        """Handle that a reservation of `size_bytes` was revoked."""


class Reservation:
    """The memory that one reader holds; see `ReadBudget`."""

    __slots__ = ('_is_revoked', '_on_revoke', '_resize', '_size_bytes')

    def __init__(self, resize, on_revoke):
        self._resize = resize
        self._on_revoke = on_revoke
        self._size_bytes = 0
        self._is_revoked = False

    @property
    def size_bytes(self):
        """Reserved memory in bytes; 0 after it was revoked."""
        return self._size_bytes

    @property
    def is_revoked(self):
        """Whether the reader has to fail and to drop what it has read."""
        return self._is_revoked

    def resize(self, size_bytes):
        """Set the size in bytes; other reservations may be revoked for it.

        Raises
        ------
        ReadBudgetError
            If this reservation is revoked.
        """
        self._resize(self, size_bytes)


class ReadBudget:
    """The memory that all readers of one kind may hold together.

    Parameters
    ----------
    limit_bytes : int
        Maximum sum of all reservations.
    observer : RevocationObserver
        Is notified of revoked reservations.

    Examples
    --------
    >>> budget = create_read_budget(100)
    >>> revoked = []
    >>> with budget.reserve(lambda: revoked.append('large')) as large:
    ...     large.resize(90)
    ...     with budget.reserve(lambda: revoked.append('small')) as small:
    ...         small.resize(20)
    ...         revoked, budget.used_bytes
    (['large'], 20)
    >>> budget.used_bytes
    0
    """

    def __init__(self, limit_bytes, observer):
        self._limit_bytes = limit_bytes
        self._observer = observer
        self._used_bytes = 0
        # In order of their start, as keys.
        self._reservations = {}

    @property
    def limit_bytes(self):
        """Maximum sum of all reservations, in bytes."""
        return self._limit_bytes

    @property
    def used_bytes(self):
        """Sum of all reservations in bytes."""
        return self._used_bytes

    def set_limit(self, limit_bytes):
        """Change the limit; it applies when a reservation grows next."""
        self._limit_bytes = limit_bytes

    @contextlib.contextmanager
    def reserve(self, on_revoke):
        """Reserve memory while the context is active.

        Parameters
        ----------
        on_revoke : callable
            Called when the reservation is revoked because of another one. It
            has to drop what the reader has received, and must neither block
            nor use the budget.

        Yields
        ------
        Reservation
            Its size is 0 at first.
        """
        reservation = Reservation(self._resize, on_revoke)
        self._reservations[reservation] = None
        try:
            yield reservation
        finally:
            self._remove(reservation)

    def _resize(self, reservation, size_bytes):
        if reservation not in self._reservations:
            raise ReadBudgetError('its memory was given to other readers')
        self._used_bytes += size_bytes - reservation._size_bytes
        reservation._size_bytes = size_bytes
        while self._used_bytes > self._limit_bytes:
            largest = max(self._reservations, key=_get_size)
            self._revoke(largest)
            if largest is reservation:
                raise ReadBudgetError('the memory for reading is exhausted')
            largest._on_revoke()

    def _revoke(self, reservation):
        size_bytes = reservation._size_bytes
        self._remove(reservation)
        reservation._is_revoked = True
        self._observer.handle_revocation(size_bytes)

    def _remove(self, reservation):
        # A revoked reservation was removed before.
        if self._reservations.pop(reservation, reservation) is None:
            self._used_bytes -= reservation._size_bytes
            reservation._size_bytes = 0


class _NullObserver(RevocationObserver):
    def handle_revocation(self, size_bytes):
        """Ignore the revocation."""


def create_read_budget(limit_bytes, observer=None):
    """Create a `ReadBudget`; the observer is optional."""
    return ReadBudget(limit_bytes, observer or _NullObserver())


def _get_size(reservation):
    return reservation._size_bytes
