"""Rendezvous scores and the selection of names by score."""

import heapq

import xxhash


def compute_score(name, subject):
    """Return the rendezvous score of a name for a subject.

    Examples
    --------
    >>> compute_score('a', 's') == compute_score('a', 's')
    True
    """
    return xxhash.xxh3_64_intdigest(f'{name}/{subject}'.encode())


def choose_names(names, subject, count):
    """Return the `count` names with the lowest scores for a subject.

    All callers with the same names get the same result. When a chosen name
    is removed, the other chosen names stay and one new name is added.

    Parameters
    ----------
    names : iterable of str
        Names to choose from, without duplicates.
    subject : str
        What the names are chosen for, such as a data centre.
    count : int
        Maximum number of names to choose.

    Returns
    -------
    tuple of str
        The chosen names, lowest score first.

    Examples
    --------
    >>> names = [f'm{i}' for i in range(5)]
    >>> first, second = choose_names(names, 'dc', 2)
    >>> names.remove(first)
    >>> choose_names(names, 'dc', 1)[0] == second
    True
    """
    return tuple(
        heapq.nsmallest(
            count,
            names,
            key=lambda name: (compute_score(name, subject), name),
        )
    )
