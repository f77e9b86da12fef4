"""Divides the limits of a service among the nodes that use it.

The servers of a service accept a limited number of connections and of repeat
attempts from all nodes together. Nodes in the data centres of its servers send
most of its requests, because others hand theirs over to them.
"""

import typing

# Weight of a node in a data centre without a server of the service. Such a
# node sends requests there only when no other node takes them over.
REMOTE_WEIGHT = 0.25


class NodeCounts(typing.NamedTuple):
    """The nodes of the fleet that share the limits.

    Parameters
    ----------
    by_data_centre : dict of str to int
        Number of known nodes of each data centre.
    unknown : int
        Number of nodes that exist at least beyond the known ones.
    """

    by_data_centre: dict[str, int]
    unknown: int = 0

    @property
    def total(self):
        """Number of all nodes."""
        return sum(self.by_data_centre.values()) + self.unknown


def compute_service_share(own_data_centre, counts, server_data_centres):
    """Return a node's share of the limits of a service, 0 to 1.

    Parameters
    ----------
    own_data_centre : str
        The node's.
    counts : NodeCounts
        All nodes, the own one included.
    server_data_centres : set of str
        Data centres with a server of the service. If there are none, all nodes
        have the same share.

    Returns
    -------
    float
        The shares of all nodes with the same view add up to at most 1.

    Examples
    --------
    >>> counts = NodeCounts({'a': 2, 'b': 2})
    >>> compute_service_share('a', counts, {'a'})
    0.4
    >>> compute_service_share('b', counts, {'a'})
    0.1
    """

    def get_weight(data_centre):
        if not server_data_centres or data_centre in server_data_centres:
            return 1.0
        return REMOTE_WEIGHT

    total = counts.unknown + sum(
        count * get_weight(data_centre)
        for data_centre, count in counts.by_data_centre.items()
    )
    own_weight = get_weight(own_data_centre)
    return own_weight / max(total, own_weight)
