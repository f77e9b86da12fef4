"""Messages by which nodes spread the configuration."""

import typing

MAX_KEY_LENGTH = 256


class Version(typing.NamedTuple):
    """Revisions of one key that the sender holds.

    Parameters
    ----------
    key : str
        Name of the key.
    revision, digest : int
        Revision and digest of the newest document.
    good : int
        Revision in force, -1 for none.
    """

    key: str
    revision: int
    digest: int
    good: int


class Announce(typing.NamedTuple):
    """Versions that the sender holds.

    Parameters
    ----------
    versions : tuple of Version
        Recently changed keys, or the keys of the buckets in `complete`.
    digest : int
        Digest of all versions held; 0 when no comparison is requested.
    buckets : tuple of int
        Digest of each bucket; empty in the first message of a comparison.
    complete : tuple of int
        Indexes of the buckets whose keys `versions` lists completely.
    platform_age_ms : float
        Time since the last successful platform read, on any node, that was
        reported to the sender; -1 without a report.
    platform_revision : int
        The sender holds all platform changes up to this revision.
    ready : bool
        The sender serves requests; its configuration was confirmed.
    """

    versions: tuple[Version, ...]
    digest: int
    buckets: tuple[int, ...]
    complete: tuple[int, ...]
    platform_age_ms: float
    platform_revision: int
    ready: bool


class Want(typing.NamedTuple):
    """One key that a `Pull` requests, and what its sender holds."""

    key: str
    revision: int
    digest: int
    good: int


class Pull(typing.NamedTuple):
    """Requests the documents that are newer than those the sender holds."""

    wants: tuple[Want, ...]


class Delta(typing.NamedTuple):
    """One document, in full or as the difference from an older one.

    Parameters
    ----------
    key : str
        Name of the key.
    revision, digest : int
        Revision and digest of the document.
    base_revision, base_digest : int
        The document that `payload` is compressed against; -1 and 0 for none.
    payload : bytes or None
        A zstandard frame; None for a deletion.
    """

    key: str
    revision: int
    digest: int
    base_revision: int
    base_digest: int
    payload: bytes | None


class Message(typing.NamedTuple):
    """An output of the state machine: a message to send to a node."""

    name: str
    address: str
    body: Announce | Pull | Delta
