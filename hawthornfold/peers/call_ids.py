"""Ids by which a process matches replies with the calls that it sent."""

import itertools
import random

_RANDOM_BITS = 62


def create_call_ids():
    """Return an iterator of ids that no other process uses.

    A restarted process has the name and the address of the one before it, and
    receives the replies to that one's calls. With ids from a common start it
    would take them for replies to its own. The first id is random, because a
    clock that was set back can repeat the start time of a process.

    Returns
    -------
    iterator of int
        Consecutive numbers, which fit the integers of MessagePack.

    Examples
    --------
    >>> call_ids = create_call_ids()
    >>> next(call_ids) + 1 == next(call_ids)
    True
    >>> next(create_call_ids()) == next(create_call_ids())
    False
    """
    return itertools.count(random.SystemRandom().getrandbits(_RANDOM_BITS))
