"""Bodies of the membership messages; other parts register their own."""

import typing


class Update(typing.NamedTuple):
    """A record of one member, as one node sends it.

    Parameters
    ----------
    name : str
        Name of the member.
    address : str
        ``ip:port`` of its peer link; empty if `status` is not ALIVE,
        because receivers already have it.
    data_centre : str
        Its data centre; empty if `address` is.
    incarnation : int
        Milliseconds since the epoch at which its process started.
    counter : int
        Grows within one incarnation each time the member refutes a
        suspicion.
    status : int
        One of the constants in ``hawthornfold.membership.records``.
    """

    name: str
    address: str
    data_centre: str
    incarnation: int
    counter: int
    status: int


class Ping(typing.NamedTuple):
    """A direct probe; `data_centre` and `counter` are the sender's own."""

    sequence: int
    data_centre: str
    counter: int
    updates: tuple[Update, ...]


class PingReq(typing.NamedTuple):
    """A request to probe `name` at `address` on the sender's behalf."""

    sequence: int
    name: str
    address: str
    data_centre: str
    counter: int
    updates: tuple[Update, ...]


class Ack(typing.NamedTuple):
    """The answer to a probe of `subject`, sent by `subject` or a relay."""

    sequence: int
    subject: str
    incarnation: int
    data_centre: str
    counter: int
    updates: tuple[Update, ...]


class Join(typing.NamedTuple):
    """A request for all member records."""

    data_centre: str
    counter: int


class Leave(typing.NamedTuple):
    """An announcement that the sender leaves as planned."""

    counter: int


class Sync(typing.NamedTuple):
    """The digests of the sender's member table, 4 bytes per bucket."""

    data_centre: str
    counter: int
    digests: bytes


class SyncRecords(typing.NamedTuple):
    """Member records: all those in `buckets`, or the newer ones in a reply.

    `is_request` asks the receiver to send back records that are newer or
    missing here. `is_diverged` asks it to sync again soon.
    """

    buckets: tuple[int, ...]
    updates: tuple[Update, ...]
    is_request: bool
    is_diverged: bool


MEMBERSHIP_BODIES = (Ping, PingReq, Ack, Join, Leave, Sync, SyncRecords)
