"""Scores of names for a subject, and the choice by them."""

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


def choose_names(names, subject, amount):
    """Choose some of the names for a subject.

    Nodes with the same names make the same choice, and one that is gone is
    replaced without moving the others.

    Parameters
    ----------
    names : iterable of str
        Without duplicates.
    subject : str
        What they are chosen for.
    amount : int
        How many to choose.

    Returns
    -------
    tuple of str
        First choice first.

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
            amount,
            names,
            key=lambda name: (compute_score(name, subject), name),
        )
    )
