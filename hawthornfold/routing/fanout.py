"""Assigns the shards of a query to replicas, one exchange a server."""

import typing


class FanoutPart(typing.NamedTuple):
    """The shards of one query that go to one server."""

    server: str
    shards: tuple[str, ...]


def plan_fanout(shards, choose):
    """Group shards by the server chosen for each.

    Servers already used by the query are preferred only through `choose`;
    grouping by server afterwards keeps one exchange a server where it holds
    several shards.

    Parameters
    ----------
    shards : iterable of Shard
        The shards to assign.
    choose : callable
        Takes a `Shard`, returns a server name or None when no replica can
        serve it.

    Returns
    -------
    tuple of (list of FanoutPart, list of str)
        The parts, and the names of shards without a replica.

    Examples
    --------
    >>> from hawthornfold.snapshots import Shard
    >>> shards = [Shard('a', 1, ('x',)), Shard('b', 1, ('x',))]
    >>> plan_fanout(shards, lambda shard: shard.replicas[0])
    ([FanoutPart(server='x', shards=('a', 'b'))], [])
    """
    chosen = {}
    unserved = []
    for shard in shards:
        server = choose(shard)
        if server is None:
            unserved.append(shard.name)
        else:
            chosen.setdefault(server, []).append(shard.name)
    parts = [FanoutPart(s, tuple(names)) for s, names in chosen.items()]
    return parts, unserved
