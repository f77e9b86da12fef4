"""Chooses the nodes that read the platform for the others."""

from hawthornfold.rendezvous import choose_names

# With two, a failed watcher does not delay changes.
WATCHERS_PER_DATA_CENTRE = 2


def choose_watchers(members, data_centre, count=WATCHERS_PER_DATA_CENTRE):
    """Choose the watchers of a data centre by rendezvous hashing.

    Nodes with the same members choose the same watchers. When a watcher
    fails, only that one is replaced.

    Parameters
    ----------
    members : iterable of Member
        Live members of all data centres.
    data_centre : str
        Data centre whose nodes are candidates.
    count : int
        Number of watchers.

    Returns
    -------
    tuple of str
        Names, in order of preference.

    Examples
    --------
    >>> from collections import namedtuple
    >>> member = namedtuple('member', 'name data_centre')
    >>> fleet = [member(f'm{i}', 'dc') for i in range(5)]
    >>> first, second = choose_watchers(fleet, 'dc')
    >>> rest = [m for m in fleet if m.name != first]
    >>> choose_watchers(rest, 'dc')[0] == second
    True
    """
    names = [x.name for x in members if x.data_centre == data_centre]
    return choose_names(names, data_centre, count)
