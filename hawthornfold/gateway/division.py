"""Plans the division of queries with the nodes of the fleet."""


class FleetDivision:
    """Applies a `DivisionPolicy` to the members of the fleet.

    Parameters
    ----------
    policy : DivisionPolicy
        Divides queries.
    delegation_policy : DelegationPolicy
        Knows the delegate nodes.
    directory : ServerDirectory
        Lists the servers of each shard.
    rate_limiter : RateLimiter
        Knows the servers with a rate limit.
    fleet : Fleet
        Lists the nodes.
    node_name : str
        Name of the local node.
    """

    def __init__(
        self,
        policy,
        delegation_policy,
        directory,
        rate_limiter,
        fleet,
        node_name,
    ):
        self._policy = policy
        self._delegation_policy = delegation_policy
        self._directory = directory
        self._rate_limiter = rate_limiter
        self._fleet = fleet
        self._node_name = node_name
        self._peers = ()
        self._peers_key = None

    def plan(self, decision, now_ms):
        """Return the `PlannedGroup` tuples of a query."""
        if not self._policy.may_divide(decision):
            # Most rules forward; listing the nodes is not needed for them.
            return ()
        groups = self._policy.plan(
            decision, self._directory, self.list_peers(now_ms), now_ms
        )
        if not self._rate_limiter.has_limits:
            return groups
        return self._remove_limited_parts(decision, groups, now_ms)

    def list_helpers(self, decisions, now_ms):
        """Return the nodes that the next queries of some rules may need."""
        helpers = {}
        for decision in decisions:
            for group in self.plan(decision, now_ms):
                helpers[group.node.name] = group.node
        return tuple(helpers.values())

    def _remove_limited_parts(self, decision, groups, now_ms):
        """Remove the parts of which all servers have a rate limit.

        The node that answers the query has to know whether they have room
        before it sends any part.
        """
        remaining = []
        for group in groups:
            parts = tuple(
                part
                for part in group.parts
                if not self._is_limited(decision.gather.shards[part], now_ms)
            )
            if parts:
                remaining.append(group._replace(parts=parts))
        return tuple(remaining)

    def _is_limited(self, shard, now_ms):
        servers = self._directory.available_servers(shard, now_ms)
        return bool(servers) and all(
            self._rate_limiter.is_limited(record.server_id)
            for record in servers
        )

    def list_peers(self, now_ms):
        """Return the live nodes of the own kind.

        Where there are delegate nodes, these divide queries among each other,
        and so do the others.
        """
        delegates = self._delegation_policy.list_delegate_names(now_ms)
        key = (self._fleet.version, delegates)
        if key != self._peers_key:
            self._peers_key = key
            is_delegate = self._node_name in delegates
            self._peers = tuple(
                member
                for member in self._fleet.list_others()
                if member.state == 'live'
                and (member.name in delegates) == is_delegate
            )
        return self._peers
