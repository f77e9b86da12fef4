"""Knows which nodes share the limits of cold servers, and whether it is sure.

The allotments of nodes sum to the limit only if each node that sends knows
all others that send (`hawthornfold.eligibility.node_order`). A node is counted
too long rather than too short, and a node that may be unknown to others, or
may not know all of them, sends nothing to cold servers.
"""

import typing

import logbook

_LOG = logbook.Logger('gateway')

# A node that starts sends nothing to cold servers for this long. A member is
# known to all of 4,096 nodes within 8 s (docs/decisions/membership.md, without
# the 3 s that the detection of a failure takes).
JOIN_MS = 10_000.0
# A node that starts must not have found a further node for this long.
STABLE_MS = 3_000.0
# A lost node is counted for this long: it may only be cut off, and then it
# still sends.
LOST_RETENTION_MS = 60_000.0
# A node that announced its leave is counted for this long. It has ended by
# then, and what it sent is outside of the window of the limit.
LEFT_RETENTION_MS = 5_000.0
# A node that has lost at least half of the fleet stops sending to cold servers
# after this long. The others, if they are the larger part, stop counting it
# after LOST_RETENTION_MS. The difference allows for losses that nodes detect
# at different times: 99% are known after 18 s in a fleet of 512.
MINORITY_LIMIT_MS = 30_000.0
# The smaller part of the fleet retains the lost nodes for this long. If they
# are not cut off but down, it may then have the whole limit.
MINORITY_RETENTION_MS = 600_000.0
# A node that was cut off for longer than MINORITY_LIMIT_MS sends nothing to
# cold servers for this long after its return: after a partition of 512 nodes,
# all know all others again after 37 s.
REJOIN_MS = 45_000.0
# A node whose roster is older than this was suspended, and may have missed
# nodes that joined. The roster is updated each second.
MAX_ROSTER_AGE_MS = 5_000.0


class FleetNodes(typing.NamedTuple):
    """The nodes that share the limits of cold servers.

    Parameters
    ----------
    data_centres : dict of str to str
        Data centre of each node by name.
    is_complete : bool
        Whether all nodes that may send to cold servers are among them, and
        this node is known to them.
    updated_ms : float
        When this was known, on the node's clock.
    """

    data_centres: dict[str, str]
    is_complete: bool
    updated_ms: float


class NodeRoster:
    """Tracks the nodes of the fleet, from the members that are live.

    Parameters
    ----------
    seed_addresses : iterable of str
        Peer addresses of other nodes, of which some may be out of date.
    started_ms : float
        Start of the node, on its clock.
    """

    def __init__(self, seed_addresses, started_ms):
        self._unseen_seeds = set(seed_addresses)
        # A node that starts has to find half of the seeds. In the smaller part
        # of a partition it would take the part for the whole fleet otherwise.
        self._max_unseen_count = len(self._unseen_seeds) // 2
        # By name: data centre and when the node was last seen.
        self._seen = {}
        self._grown_ms = started_ms
        self._silent_until_ms = started_ms + JOIN_MS
        self._updated_ms = started_ms
        # When the live members were last the greater part of the fleet.
        self._majority_ms = started_ms
        self._is_complete = False

    @property
    def nodes(self):
        """The `FleetNodes` as of the last update."""
        return FleetNodes(
            {name: entry[0] for name, entry in self._seen.items()},
            self._is_complete,
            self._updated_ms,
        )

    def update(self, live, has_left, now_ms):
        """Update the roster; to be called each second.

        Parameters
        ----------
        live : iterable of Member
            The live members, this node included.
        has_left : callable
            Takes the name of a node; returns whether it has announced that
            it leaves.
        now_ms : float
            Current time.
        """
        if now_ms - self._updated_ms > MAX_ROSTER_AGE_MS:
            self._stay_silent(now_ms + JOIN_MS)
        self._updated_ms = now_ms
        live_names = set()
        for member in live:
            live_names.add(member.name)
            if member.name not in self._seen:
                self._grown_ms = now_ms
            self._seen[member.name] = (member.data_centre, now_ms)
            self._unseen_seeds.discard(member.address)
        self._remove_left(has_left, now_ms)
        is_majority = self._is_majority(live_names)
        if is_majority:
            if now_ms - self._majority_ms > MINORITY_LIMIT_MS:
                self._stay_silent(now_ms + REJOIN_MS)
            self._majority_ms = now_ms
        self._remove_lost(
            LOST_RETENTION_MS if is_majority else MINORITY_RETENTION_MS, now_ms
        )
        self._set_complete(
            now_ms >= self._silent_until_ms
            and len(self._unseen_seeds) <= self._max_unseen_count
            and now_ms - self._majority_ms <= MINORITY_LIMIT_MS
            # Nodes that join later don't make others incomplete: they are
            # known long before they send.
            and (self._is_complete or now_ms - self._grown_ms >= STABLE_MS),
            len(live_names),
        )

    def _stay_silent(self, until_ms):
        self._silent_until_ms = max(self._silent_until_ms, until_ms)

    def _is_majority(self, live_names):
        count = 2 * len(live_names)
        if count == len(self._seen):
            # Exactly one of two equal parts has the first name.
            return min(self._seen) in live_names
        return count > len(self._seen)

    def _remove_left(self, has_left, now_ms):
        for name, (_, seen_ms) in list(self._seen.items()):
            if now_ms - seen_ms > LEFT_RETENTION_MS and has_left(name):
                del self._seen[name]

    def _remove_lost(self, retention_ms, now_ms):
        for name, (_, seen_ms) in list(self._seen.items()):
            if now_ms - seen_ms > retention_ms:
                del self._seen[name]

    def _set_complete(self, is_complete, live_count):
        if is_complete == self._is_complete:
            return
        self._is_complete = is_complete
        _LOG.notice(
            'event={} nodes={} live={}',
            'fleet_known' if is_complete else 'fleet_unknown',
            len(self._seen),
            live_count,
        )


def create_node_roster(seed_addresses, started_ms):
    """Create the roster of a node that has just started.

    Parameters
    ----------
    seed_addresses : iterable of str
        Peer addresses of other nodes, of which some may be out of date.
    started_ms : float
        Start of the node, on its clock.

    Examples
    --------
    >>> create_node_roster(['10.0.0.2:81'], 0.0).nodes.is_complete
    False
    """
    return NodeRoster(seed_addresses, started_ms)
