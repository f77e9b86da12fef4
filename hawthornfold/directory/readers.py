"""Assigns the nodes that read the store, and their followers.

Reads of the store are counted, and all nodes would read the same changes.
Therefore only a few nodes of each data centre read the store; they send each
change to the other nodes.
"""

import typing

from hawthornfold.rendezvous import choose_names

# Number of readers per follower, and minimum number per data centre. With two,
# the failure of one reader delays no change.
READERS_PER_NODE = 2
# Maximum number of nodes per reader in a data centre; bounds the messages that
# a reader sends.
NODES_PER_READER = 16


class ReaderRoles(typing.NamedTuple):
    """The readers of the store and the followers of one node.

    Parameters
    ----------
    is_reader : bool
        Whether the node reads the store.
    followers : tuple of Member
        The nodes to which it sends what it reads.
    readers : tuple of Member
        The other readers of all data centres.
    """

    is_reader: bool
    followers: tuple
    readers: tuple


def assign_roles(members, own, preferred=frozenset()):
    """Assign readers by rendezvous hashing.

    Nodes with the same list of members assign the same readers.

    Parameters
    ----------
    members : sequence of Member
        Live members of all data centres, `own` included.
    own : Member
        The node whose roles are returned.
    preferred : set of str
        Names of nodes with faster links; these become readers first.

    Returns
    -------
    ReaderRoles

    Examples
    --------
    >>> from collections import namedtuple
    >>> member = namedtuple('member', 'name data_centre')
    >>> fleet = [member(f'm{i}', 'dc') for i in range(20)]
    >>> roles = [assign_roles(fleet, x) for x in fleet]
    >>> sum(role.is_reader for role in roles)
    2
    >>> sum(len(role.followers) for role in roles)
    36
    """
    by_data_centre = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    names = set()
    for data_centre, group in by_data_centre.items():
        reader_count = max(
            READERS_PER_NODE, -(-len(group) // NODES_PER_READER)
        )
        preferred_names = [x.name for x in group if x.name in preferred]
        other_names = [x.name for x in group if x.name not in preferred]
        chosen = choose_names(preferred_names, data_centre, reader_count)
        chosen += choose_names(
            other_names, data_centre, reader_count - len(chosen)
        )
        names.update(chosen)
    readers = tuple(
        x for x in members if x.name in names and x.name != own.name
    )
    if own.name not in names:
        return ReaderRoles(False, (), readers)
    group = by_data_centre[own.data_centre]
    local_readers = [x.name for x in group if x.name in names]
    followers = tuple(
        x
        for x in group
        if x.name not in names
        and own.name in choose_names(local_readers, x.name, READERS_PER_NODE)
    )
    return ReaderRoles(True, followers, readers)
