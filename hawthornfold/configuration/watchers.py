"""Chooses the nodes that read from the platform."""

from hawthornfold.rendezvous import choose_names

# Two, so that one failed watcher delays no change.
WATCHERS_PER_DATA_CENTRE = 2


def choose_watchers(members, data_centre, amount=WATCHERS_PER_DATA_CENTRE):
    """Choose the watchers of a data centre by rendezvous hashing.

    Nodes with the same members choose the same watchers, and a failed
    watcher is replaced without moving the other one.

    Parameters
    ----------
    members : iterable of Member
        Live members of all data centres.
    data_centre : str
        Where the watchers are needed.
    amount : int
        How many to choose.

    Returns
    -------
    tuple of str
        Names, first choice first.

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
    return choose_names(names, data_centre, amount)
