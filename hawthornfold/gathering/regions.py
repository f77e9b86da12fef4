"""Limits servers and nodes to the regions that a rule allows.

Rules without allowed regions never come here.
"""

import logbook

_LOG = logbook.Logger('gateway')


class Regions:
    """The region of each data centre, and which of them a rule allows.

    Parameters
    ----------
    own_region : str
        Region of the local node; '' if it has none.
    by_data_centre : dict of str to str
        The region of each data centre. One that is missing is in no region.
    """

    def __init__(self, own_region, by_data_centre):
        self._version = 0
        self.set_table(own_region, by_data_centre)

    @property
    def version(self):
        """Number that increases when the regions change."""
        return self._version

    def set_table(self, own_region, by_data_centre):
        """Replace the regions, as settings that were read again have them."""
        self._own_region = own_region
        self._by_data_centre = dict(by_data_centre)
        self._version += 1
        # By service and allowed regions: the servers and those allowed.
        self._allowed_servers = {}

    def allows_servers_in(self, data_centre, allowed_regions):
        """Return whether a rule allows the servers in a data centre."""
        region = self._by_data_centre.get(data_centre)
        return bool(region) and region in allowed_regions

    def allows_node_in(self, data_centre, allowed_regions):
        """Return whether bodies may be sent to a node in a data centre.

        The region of the local node is allowed as well: the caller has sent
        the body there.
        """
        region = self._by_data_centre.get(data_centre)
        return bool(region) and (
            region == self._own_region or region in allowed_regions
        )

    def filter_servers(self, service, servers, allowed_regions):
        """Return the servers that a rule allows.

        Parameters
        ----------
        service : str
            Name of their service.
        servers : tuple of ServerRecord
            All available servers.
        allowed_regions : tuple of str
            The regions; not empty.

        Returns
        -------
        tuple of ServerRecord
            The same object while `servers` is the same.
        """
        key = (service, allowed_regions)
        known = self._allowed_servers.get(key)
        if known is not None and known[0] is servers:
            return known[1]
        found = tuple(
            record
            for record in servers
            if self.allows_servers_in(record.data_centre, allowed_regions)
        )
        self._allowed_servers[key] = (servers, found)
        return found

    def find_unknown(self, allowed_regions):
        """Return the regions without any data centre, as a sorted list."""
        known = set(self._by_data_centre.values())
        return sorted(set(allowed_regions) - known)


def report_regions(regions, decisions, metrics):
    """Count the rules with allowed regions, and log unknown regions.

    Parameters
    ----------
    regions : Regions
        The regions of the data centres.
    decisions : iterable of Decision
        The decisions of all rules in force.
    metrics : Metrics
        Receives the gauge.
    """
    limited = [x for x in decisions if x.allowed_regions]
    metrics.set_gauge('region_limited_rules', len(limited))
    for decision in limited:
        unknown = regions.find_unknown(decision.allowed_regions)
        if unknown:
            _LOG.warning(
                'event=regions_unknown rule={} regions="{}"',
                decision.rule,
                ascii(','.join(unknown)[:200])[1:-1].replace('"', '%22'),
            )


def create_regions(own_region='', by_data_centre=None):
    """Create the regions from the settings; without a table there are none.

    Examples
    --------
    >>> regions = create_regions('north', {'dc-a': 'north', 'dc-b': 'south'})
    >>> regions.allows_servers_in('dc-a', ('south',))
    False
    >>> regions.allows_node_in('dc-a', ('south',))
    True
    >>> regions.allows_node_in('dc-c', ('south',))
    False
    """
    return Regions(own_region, by_data_centre or {})
