"""Messages by which nodes spread the configuration."""

import typing

MAX_NAME = 256


class Version(typing.NamedTuple):
    """What the sender holds of one key.

    Parameters
    ----------
    key : str
        Name of the key.
    revision, digest : int
        The newest document.
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
        Digest of all versions held; 0 when the receiver need not compare.
    buckets : tuple of int
        Digest of each bucket; empty in a first comparison.
    complete : tuple of int
        Buckets of which `versions` lists every key.
    platform_age_ms : float
        Age of the last successful platform read known to the sender; -1
        when none is known.
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
    """One key of a `Pull` with the document that the puller holds."""

    key: str
    revision: int
    digest: int
    good: int


class Pull(typing.NamedTuple):
    """Asks for the documents that are newer than those the sender holds."""

    wants: tuple[Want, ...]


class Delta(typing.NamedTuple):
    """One document, in full or as the difference from an older one.

    Parameters
    ----------
    key : str
        Name of the key.
    revision, digest : int
        The document.
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
    """An action of the state machine: send `body` to a node."""

    name: str
    address: str
    body: Announce | Pull | Delta
