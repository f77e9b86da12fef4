"""Member records: their order, digests and gossip limits."""

import math
import typing

import xxhash

ALIVE = 0
SUSPECT = 1
REMOVED = 2
LEFT = 3

STATUS_NAMES = ('live', 'suspect', 'removed', 'left')

# Number of digest buckets. At 4 bytes each, the 256 digests that a sync
# sends take 1 KB.
BUCKET_COUNT = 256
_MIN_TRANSMISSIONS = 8


class Member(typing.NamedTuple):
    """A live node of the cluster.

    Parameters
    ----------
    name, address, data_centre : str
        The values of the platform's VM list; the address is ``ip:port``.
    incarnation : int
        Start time of its process, milliseconds since the epoch.
    state : str
        ``live``, ``suspect`` (does not answer probes, not yet removed) or
        ``leaving`` (the platform lists it as leaving, so it
        does not become the owner of further servers).
    """

    name: str
    address: str
    data_centre: str
    incarnation: int
    state: str


class ListedVM(typing.NamedTuple):
    """An entry of the platform's VM list, as ``GET /v1/vms`` returns it."""

    name: str
    address: str
    data_centre: str
    state: str = 'live'


def supersedes(update, record):
    """Return whether `update` is newer than the `record` of a member.

    A higher incarnation always supersedes a lower one. Within one
    incarnation nothing supersedes a leave; otherwise the higher refutation
    counter decides, then the higher status.

    Examples
    --------
    >>> from hawthornfold.peers.messages import Update
    >>> alive = Update('a', 'ip:1', 'x', 5, 0, ALIVE)
    >>> supersedes(alive._replace(status=SUSPECT), alive)
    True
    >>> supersedes(alive, alive._replace(status=REMOVED))
    False
    >>> supersedes(alive._replace(counter=1), alive._replace(status=REMOVED))
    True
    >>> supersedes(alive._replace(counter=1), alive._replace(status=LEFT))
    False
    """
    if update.incarnation != record.incarnation:
        return update.incarnation > record.incarnation
    if record.status == LEFT:
        return False
    return (update.counter, update.status) > (record.counter, record.status)


def omit_known_fields(record):
    """Return the record as it is sent in messages.

    Receivers already have the address and data centre of a member that is
    not alive, so those are left empty.
    """
    if record.status == ALIVE:
        return record
    return record._replace(address='', data_centre='')


def compute_bucket(name):
    """Return the digest bucket of a member name, 0 to 255.

    Examples
    --------
    >>> 0 <= compute_bucket('entry-1') < BUCKET_COUNT
    True
    """
    return xxhash.xxh32_intdigest(name.encode(), seed=1) % BUCKET_COUNT


def hash_record(record):
    """Return the 32-bit hash that a live record contributes to its digest.

    The hash does not cover the status: suspicions are short-lived, and
    including them would make digests differ needlessly.
    """
    text = f'{record.name} {record.incarnation} {record.counter}'
    return xxhash.xxh32_intdigest(text.encode())


def find_differing_buckets(own_digests, other_digests):
    """Return the indexes of the buckets whose digests differ.

    Returns an empty list if the lengths differ.

    Examples
    --------
    >>> find_differing_buckets(b'aaaabbbb', b'aaaacccc')
    [1]
    """
    if len(own_digests) != len(other_digests):
        return []
    return [
        index // 4
        for index in range(0, len(own_digests), 4)
        if own_digests[index : index + 4] != other_digests[index : index + 4]
    ]


def compute_transmission_limit(member_count):
    """Return in how many messages one node sends one update.

    Each receiver sends the update equally often, so a limit that grows with
    the logarithm of the fleet size reaches nearly all members. The periodic
    sync repairs the rest.

    Examples
    --------
    >>> compute_transmission_limit(8), compute_transmission_limit(7200)
    (8, 16)
    """
    growth = 4 * math.ceil(math.log10(member_count + 1))
    return max(_MIN_TRANSMISSIONS, growth)
