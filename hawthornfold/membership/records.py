"""Member records and the order in which they supersede one another."""

import math
import typing

import xxhash

ALIVE = 0
SUSPECT = 1
REMOVED = 2
LEFT = 3

STATUS_NAMES = ('live', 'suspect', 'removed', 'left')

# 256 buckets of 4 bytes: a sync of unchanged tables costs 1 KB.
BUCKET_COUNT = 256
_MIN_TRANSMISSIONS = 8


class Member(typing.NamedTuple):
    """A node that the membership regards as running.

    Parameters
    ----------
    name, address, data_centre : str
        As in the platform's VM list; the address is ``ip:port``.
    incarnation : int
        Start time of its process, milliseconds since the epoch.
    state : str
        ``live``, ``suspect`` (does not answer probes, not removed yet) or
        ``leaving`` (listed as leaving by the platform: gets no new
        ownership).
    """

    name: str
    address: str
    data_centre: str
    incarnation: int
    state: str


class KnownVM(typing.NamedTuple):
    """An entry of the platform's VM list, as ``GET /v1/vms`` returns it."""

    name: str
    address: str
    data_centre: str
    state: str = 'live'


def supersedes(update, record):
    """Return whether `update` is newer than the `record` of a member.

    A newer incarnation always wins and a leave ends its incarnation.
    Within one incarnation the refutation counter decides, then the status.

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


def strip_known(record):
    """Return the record as sent: receivers know a lost member's address."""
    if record.status == ALIVE:
        return record
    return record._replace(address='', data_centre='')


def bucket_of(name):
    """Return the digest bucket of a member name, 0 to 255.

    Examples
    --------
    >>> 0 <= bucket_of('entry-1') < BUCKET_COUNT
    True
    """
    return xxhash.xxh32_intdigest(name.encode(), seed=1) % BUCKET_COUNT


def hash_record(record):
    """Return the 32-bit hash by which a live record enters its digest.

    Suspicion is left out: it is short and would make digests differ.
    """
    text = f'{record.name} {record.incarnation} {record.counter}'
    return xxhash.xxh32_intdigest(text.encode())


def compare_digests(ours, theirs):
    """Return the buckets in which two digest strings differ.

    Examples
    --------
    >>> compare_digests(b'aaaabbbb', b'aaaacccc')
    [1]
    """
    if len(ours) != len(theirs):
        return []
    return [
        index // 4
        for index in range(0, len(ours), 4)
        if ours[index : index + 4] != theirs[index : index + 4]
    ]


def transmission_limit(member_count):
    """Return how many messages carry one update from one node.

    Each receiver passes an update on to as many members again, so a number
    that grows with the logarithm of the fleet reaches all but a vanishing
    share; the periodic sync repairs the rest.

    Examples
    --------
    >>> transmission_limit(8), transmission_limit(7200)
    (8, 16)
    """
    growth = 4 * math.ceil(math.log10(member_count + 1))
    return max(_MIN_TRANSMISSIONS, growth)
