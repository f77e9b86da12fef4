"""Interface of a published store."""

import abc


class PublishedStore(abc.ABC):
    """Reads and watches servers, evacuations and configuration.

    Each platform has its own implementation.
    """

    @abc.abstractmethod
    def read_all(self, may_be_stale=False):
        """Read all servers, the evacuations and the configuration.

        Parameters
        ----------
        may_be_stale : bool
            Whether the contents may be seconds old, which costs the store
            less.

        Returns
        -------
        result.Result
            Ok with `StoreChanges` that contain all servers and evacuations of
            the store, or Err with a `ReadFailure`.
        """

    @abc.abstractmethod
    def wait_for_changes(self, revision, wait_ms):
        """Wait for changes after `revision` (a long poll).

        Parameters
        ----------
        revision : int
            Revision up to which the caller has read all changes.
        wait_ms : float
            How long the store may wait if there is no newer change.

        Returns
        -------
        result.Result
            Ok with `StoreChanges`, empty if there is no newer change, or Err
            with a `ReadFailure`.
        """
