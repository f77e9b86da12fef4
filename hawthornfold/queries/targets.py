"""Chooses where the shards of one query go.

A target is a server together with the owner that dispatches to it. All
replicas come first with their first owner; the other owners follow, for the
case in which the first owner itself does not answer.
"""

import typing


class Target(typing.NamedTuple):
    """A backend server and the node that dispatches to it."""

    server: str
    owner: str


class TargetChooser:
    """Targets of one query; replica scores are computed once."""

    def __init__(self, group, selector, ranker, policy, heard_ms):
        self._group = group
        self._selector = selector
        self._ranker = ranker
        self._policy = policy
        self._heard_ms = heard_ms
        self._ranks = {}

    def candidates(self, shard, snapshot, now_ms):
        """Return the targets of a shard, best first.

        Servers that are known not to hold the snapshot are left out.
        """
        servers = [
            name
            for name in shard.replicas
            if self._selector.holds(name, snapshot, now_ms) is not False
        ]
        servers.sort(key=self._rank)
        # A refusal since the query began changes the order.
        servers.sort(key=lambda name: self._ranker.is_excluded(name, now_ms))
        return self._expand(servers)

    def is_silent(self, owner, since_ms):
        """Return whether nothing came from `owner` since `since_ms`.

        An owner that dispatches is heard of many times within a hedge
        delay; one that is silent for so long may be dead or paused, which
        the membership takes seconds to find out.
        """
        return self._heard_ms.get(owner, 0.0) < since_ms

    def _rank(self, name):
        rank = self._ranks.get(name)
        if rank is None:
            rank = self._ranker.score(name, self._group.servers[name])
            self._ranks[name] = rank
        return rank

    def _expand(self, servers):
        owners = {
            name: self._policy.owners(self._group.servers[name])
            for name in servers
        }
        depth = max((len(names) for names in owners.values()), default=0)
        return [
            Target(name, owners[name][level])
            for level in range(depth)
            for name in servers
            if level < len(owners[name])
        ]


def create_target_chooser(group, selector, ranker, policy, heard_ms):
    """Create the chooser of one query.

    Parameters
    ----------
    heard_ms : dict of str to float
        When this node last heard of each owner; read at each hedge.
    """
    return TargetChooser(group, selector, ranker, policy, heard_ms)
