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

    def __init__(self, group, selector, ranker, policy, last_reply_ms):
        self._group = group
        self._selector = selector
        self._ranker = ranker
        self._policy = policy
        self._last_reply_ms = last_reply_ms
        self._scores = {}

    def list_candidates(self, shard, snapshot, now_ms):
        """Return the targets of a shard, best first.

        Servers that are known not to hold the snapshot are left out.
        """
        servers = [
            name
            for name in shard.replicas
            if self._selector.holds(name, snapshot, now_ms) is not False
        ]
        servers.sort(key=self._find_score)
        # A refusal since the query began changes the order.
        servers.sort(key=lambda name: self._ranker.is_excluded(name, now_ms))
        return self._expand_targets(servers)

    def is_unresponsive(self, owner, since_ms):
        """Return whether nothing came from `owner` since `since_ms`.

        An owner that dispatches is heard of many times within a hedge
        delay; one that is silent for so long may be dead or paused, which
        the membership takes seconds to find out.
        """
        return self._last_reply_ms.get(owner, 0.0) < since_ms

    def _find_score(self, name):
        server_score = self._scores.get(name)
        if server_score is None:
            server_score = self._ranker.score(name, self._group.servers[name])
            self._scores[name] = server_score
        return server_score

    def _expand_targets(self, servers):
        owners = {
            name: self._policy.owners(self._group.servers[name])
            for name in servers
        }
        max_owners = max((len(names) for names in owners.values()), default=0)
        return [
            Target(name, owners[name][owner_index])
            for owner_index in range(max_owners)
            for name in servers
            if owner_index < len(owners[name])
        ]


def create_target_chooser(group, selector, ranker, policy, last_reply_ms):
    """Create the chooser of one query.

    Parameters
    ----------
    last_reply_ms : dict of str to float
        When this node last heard of each owner; read at each hedge.
    """
    return TargetChooser(group, selector, ranker, policy, last_reply_ms)
