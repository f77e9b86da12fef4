"""The interface of a published store that can be read and watched."""

import abc


class PublishedStore(abc.ABC):
    """Reads servers and configuration; implemented for each platform."""

    @abc.abstractmethod
    def read_all(self):
        """Read everything.

        Returns
        -------
        result.Result
            Ok with `StoreChanges` that name every server of the store, or
            Err with a `ReadFailure`.
        """

    @abc.abstractmethod
    def wait_for_changes(self, revision, wait_ms):
        """Wait for items that are newer than `revision`.

        Parameters
        ----------
        revision : int
            Revision up to which the caller knows everything.
        wait_ms : float
            How long the store may wait when nothing is newer.

        Returns
        -------
        result.Result
            Ok with `StoreChanges`, empty when nothing is newer, or Err with
            a `ReadFailure`.
        """
