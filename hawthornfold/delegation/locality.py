"""Where the servers of a query are."""

# Servers come and go slowly compared with queries.
KEEP_MS = 1_000.0


class LocalityBook:
    """The share of a query's shards that each data centre has servers of.

    Parameters
    ----------
    find_servers : callable
        Takes a service and the time, and returns its `ServerRecord` list.
    """

    def __init__(self, find_servers):
        self._find_servers = find_servers
        # By rule: shards, when they were looked up, and the shares.
        self._shares = {}

    def shares(self, decision, now_ms):
        """Return the share of shards, 0 to 1, by data centre.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        now_ms : float
            Current time.

        Returns
        -------
        dict of str to float
        """
        shards = decision.gather.shards
        known = self._shares.get(decision.rule)
        if known is None or known[0] != shards or now_ms - known[1] > KEEP_MS:
            shares = self._compute(shards, now_ms)
            known = self._shares[decision.rule] = (shards, now_ms, shares)
        return known[2]

    def keep_only(self, rules):
        """Forget the rules that are not in `rules`."""
        for rule in set(self._shares) - set(rules):
            del self._shares[rule]

    def _compute(self, shards, now_ms):
        counts = {}
        for shard in shards:
            servers = self._find_servers(shard, now_ms)
            for data_centre in {server.data_centre for server in servers}:
                counts[data_centre] = counts.get(data_centre, 0) + 1
        return {name: count / len(shards) for name, count in counts.items()}
