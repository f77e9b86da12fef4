"""Assigns the shards of a query to targets, one exchange per target."""

import typing


class FanoutPart(typing.NamedTuple):
    """The shards of one query that go to one target."""

    target: typing.Any
    shards: tuple[str, ...]


def plan_fanout(shards, choose):
    """Group shards by the target chosen for each.

    A target that is chosen for several shards gets them in one exchange.

    Parameters
    ----------
    shards : iterable of Shard
        The shards to assign.
    choose : callable
        Takes a `Shard` and returns a hashable target, or None when no
        replica can serve the shard; such shards are omitted.

    Returns
    -------
    list of FanoutPart
        One part for each target.

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
