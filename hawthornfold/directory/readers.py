"""Which nodes read the store, and for whom.

Every read of the store is counted, and all nodes would read the same changes.
In each data centre a few nodes read, and send each change to the others.
"""

import typing

from hawthornfold.rendezvous import choose_names

# Two, so that a reader that fails delays no change.
READERS_PER_NODE = 2
# Bounds the messages of a reader in a large data centre.
NODES_PER_READER = 16


class ReaderRoles(typing.NamedTuple):
    """Who reads, as seen by one node.

    Parameters
    ----------
    is_reader : bool
        Whether the node itself reads.
    followers : tuple of Member
        To whom it sends what it reads.
    readers : tuple of Member
        The other readers of all data centres.
    """

    is_reader: bool
    followers: tuple
    readers: tuple


def assign_roles(members, own, preferred=frozenset()):
    """Assign readers by rendezvous hashing.

    Nodes with the same members assign the same readers.

    Parameters
    ----------
    members : sequence of Member
        Live members of all data centres, `own` included.
    own : Member
        The node that asks.
    preferred : set of str
        Names of nodes with faster links, which read where there are any.

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
