"""Assigns the shards of a query to targets, one exchange a target."""

import typing


class FanoutPart(typing.NamedTuple):
    """The shards of one query that go to one target."""

    target: typing.Any
    shards: tuple[str, ...]


def plan_fanout(shards, choose):
    """Group shards by the target chosen for each.

    Grouping keeps one exchange a server where it holds several shards.

    Parameters
    ----------
    shards : iterable of Shard
        The shards to assign.
    choose : callable
        Takes a `Shard`, returns a hashable target, or None when no replica
        can serve the shard; such shards are left out.

    Returns
    -------
    list of FanoutPart
        One for each target.

    Examples
    --------
    >>> from hawthornfold.snapshots import Shard
    >>> shards = [Shard('a', 1, ('x',)), Shard('b', 1, ('x',))]
    >>> plan_fanout(shards, lambda shard: shard.replicas[0])
    [FanoutPart(target='x', shards=('a', 'b'))]
    """
    chosen = {}
    for shard in shards:
        target = choose(shard)
        if target is not None:
            chosen.setdefault(target, []).append(shard.name)
    return [FanoutPart(t, tuple(names)) for t, names in chosen.items()]
