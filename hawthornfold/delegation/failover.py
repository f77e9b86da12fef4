"""Chooses the node that sends what this node has no link for."""

import collections
import random

from hawthornfold.delegation.backoffs import create_node_backoffs
from hawthornfold.gathering.regions import create_regions

# With this many unavailable nodes, a data centre is tried after the others:
# its links may have failed as a whole.
MAX_UNAVAILABLE = 2


class FailoverPolicy:
    """Tracks which nodes have declined, and chooses among the others.

    Parameters
    ----------
    data_centre : str
        The local node's.
    regions : Regions
        The regions of the nodes' data centres.
    rng : random.Random
        Spreads requests over equal nodes.
    """

    def __init__(self, data_centre, regions, rng):
        self._data_centre = data_centre
        self._regions = regions
        self._rng = rng
        self._backoffs = create_node_backoffs()

    def choose_node(self, members, allowed_regions, asked, now_ms):
        """Return the node to ask next, or None.

        Parameters
        ----------
        members : sequence of Member
            The other nodes.
        allowed_regions : tuple of str
            As in the decision of the request.
        asked : sequence of Member
            The nodes that were asked for the same request.
        now_ms : float
            Current time.

        Returns
        -------
        Member or None
        """
        unavailable = set(self._backoffs.list_names(now_ms))
        unavailable_counts = collections.Counter(
            member.data_centre
            for member in members
            if member.name in unavailable
        )
        asked_names = {member.name for member in asked}
        asked_data_centres = {member.data_centre for member in asked}
        eligible = [
            member
            for member in members
            if member.state == 'live'
            and member.name not in asked_names
            and (
                not allowed_regions
                or self._regions.allows_node_in(
                    member.data_centre, allowed_regions
                )
            )
        ]
        candidates = [x for x in eligible if x.name not in unavailable]
        if not candidates:
            # A node that was slow to reply, or busy, may serve the request;
            # without it the request is refused.
            isolated = set(self._backoffs.list_isolated(now_ms))
            candidates = [x for x in eligible if x.name not in isolated]
        return min(
            candidates,
            key=lambda x: (
                x.data_centre in asked_data_centres,
                unavailable_counts[x.data_centre] >= MAX_UNAVAILABLE,
                x.data_centre != self._data_centre,
                self._rng.random(),
            ),
            default=None,
        )

    def record_success(self, name):
        """Record that a node has answered."""
        self._backoffs.record_success(name)

    def record_decline(self, name, now_ms):
        """Record that a node declined."""
        self._backoffs.record_decline(name, now_ms)

    def record_silence(self, name, now_ms):
        """Record that a node did not reply."""
        self._backoffs.record_silence(name, now_ms)

    def record_isolated(self, name, now_ms):
        """Record that a node has lost its links to all servers."""
        self._backoffs.record_isolated(name, now_ms)


def create_failover_policy(data_centre, regions=None, rng=None):
    """Create a policy that knows of no node that has declined.

    Parameters
    ----------
    regions : Regions, optional
        The regions of the data centres; none by default.
    rng : random.Random, optional
        Spreads requests over equal nodes.
    """
    return FailoverPolicy(
        data_centre, regions or create_regions(), rng or random.Random()
    )
