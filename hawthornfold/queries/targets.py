"""Lists the targets to which the shards of a query can be sent.

A target is a server together with the owner that dispatches to it. The list
starts with every replica under its first owner. The other owners follow, in
case a first owner does not answer.
"""

import typing


class Target(typing.NamedTuple):
    """A backend server and the node that dispatches to it."""

    server: str
    owner: str


class TargetChooser:
    """Lists targets for one query; each server is scored only once."""

    def __init__(self, group, selector, ranker, policy, last_reply_ms):
        self._group = group
        self._selector = selector
        self._ranker = ranker
        self._policy = policy
        self._last_reply_ms = last_reply_ms
        self._scores = {}

    def list_candidates(self, shard, snapshot, now_ms):
        """Return the targets of a shard, best first.

        Servers that are known not to hold the snapshot are excluded.
        """
        servers = [
            name
            for name in shard.replicas
            if self._selector.holds(name, snapshot, now_ms) is not False
        ]
        servers.sort(key=lambda name: self._find_score(name, now_ms))
        # Cached scores ignore refusals. This stable sort moves servers that
        # refused work recently to the end, also if they did so after the
        # query began.
        servers.sort(key=lambda name: self._ranker.is_demoted(name, now_ms))
        return self._expand_targets(servers)

    def is_unresponsive(self, owner, since_ms):
        """Return whether `owner` has sent no reply since `since_ms`.

        An owner that dispatches work sends many replies within a hedge
        delay. One that sends none for that long may be dead or paused, which
        the membership detects only after seconds.
        """
        return self._last_reply_ms.get(owner, 0.0) < since_ms

    def _find_score(self, name, now_ms):
        server_score = self._scores.get(name)
        if server_score is None:
            server_score = self._ranker.score(
                name, self._group.servers[name], now_ms
            )
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
        When the last reply of each owner arrived, on the node's clock. The
        chooser reads it at each hedge, so it has to be kept up to date.
    """
    return TargetChooser(group, selector, ranker, policy, last_reply_ms)
