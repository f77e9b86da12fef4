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
    fleet : Fleet
        Lists the nodes.
    node_name : str
        Name of the local node.
    """

    def __init__(self, policy, delegation_policy, directory, fleet, node_name):
        self._policy = policy
        self._delegation_policy = delegation_policy
        self._directory = directory
        self._fleet = fleet
        self._node_name = node_name
        self._peers = ()
        self._peers_key = None

    def plan(self, decision, now_ms):
        """Return the `PlannedGroup` tuples of a query."""
        if not self._policy.may_divide(decision):
            # Most rules forward; listing the nodes is not needed for them.
            return ()
        return self._policy.plan(
            decision, self._directory, self._list_peers(now_ms), now_ms
        )

    def list_helpers(self, decisions, now_ms):
        """Return the nodes that the next queries of some rules may need."""
        helpers = {}
        for decision in decisions:
            for group in self.plan(decision, now_ms):
                helpers[group.node.name] = group.node
        return tuple(helpers.values())

    def _list_peers(self, now_ms):
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
