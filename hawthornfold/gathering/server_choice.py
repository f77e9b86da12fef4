"""Chooses the servers of the parts of one request."""

from hawthornfold.eligibility import RateAdmission
from hawthornfold.eligibility import get_demand_class
from hawthornfold.gathering.regions import create_regions


class ServerChoice:
    """Chooses among the servers that a part has not been sent to.

    Parameters
    ----------
    decision : Decision
        What the rules decided for the request.
    directory : ServerDirectory
        Lists the servers of each service.
    placement : Placement
        Chooses one of these servers.
    regions : Regions, optional
        The regions of the data centres, for a rule with allowed regions.
    """

    def __init__(self, decision, directory, placement, regions=None):
        self._decision = decision
        self._allowed_regions = decision.allowed_regions
        self._regions = regions or create_regions()
        self._directory = directory
        self._placement = placement
        # The number that the request has drawn for servers with a rate limit.
        # All parts have the same, so that the shards agree on the queries that
        # they take.
        self._place = None

    def choose(self, part, now_ms):
        """Return the `ServerRecord` for the next attempt at a part, or None.

        Parameters
        ----------
        part : Part
            The part to be sent.
        now_ms : float
            Current time on the node's clock.
        """
        servers = self._list_servers(part, now_ms)
        admission = self._create_admission(part)
        if not part.tried_server_ids:
            # Rules with different servers have different choices.
            key = part.service
            if self._allowed_regions:
                key = (key, self._allowed_regions)
            return self._placement.choose_first_server(
                key, servers, self._decision, now_ms, admission
            )
        candidates = [
            record
            for record in servers
            if record.server_id not in part.tried_server_ids
        ]
        return self._placement.choose_server(
            candidates, self._decision, now_ms, admission
        )

    def free_ms(self, part, now_ms):
        """Return when a server of a part is expected to be allowed.

        Returns
        -------
        float
            A time on the node's clock; infinity if it is unknown.
        """
        return self._placement.free_ms(
            self._list_servers(part, now_ms), now_ms
        )

    def rate_wait_ms(self, part, now_ms):
        """Return how long it takes until a rate limit has room for a part.

        Returns
        -------
        float
            As for `Placement.rate_wait_ms`.
        """
        return self._placement.rate_wait_ms(
            self._list_servers(part, now_ms),
            get_demand_class(self._decision.urgency, False),
            now_ms,
        )

    def is_unservable(self, part, now_ms):
        """Return whether no node may send the part to any of its servers now.

        Other nodes may have servers for a part for which this one lists none.

        Parameters
        ----------
        part : Part
            The part, which another node may gather.
        now_ms : float
            Current time on the node's clock.
        """
        servers = self._list_servers(part, now_ms)
        return bool(servers) and not self._placement.may_other_nodes_use(
            servers, now_ms
        )

    def lacks_link(self, part, now_ms):
        """Return whether this node may lack a link to a server of a part."""
        return self._placement.is_any_blocked(self._list_servers(part, now_ms))

    def record_start(self, record, key, now_ms):
        """Record that an attempt starts on a server.

        Parameters
        ----------
        key : tuple
            Unique among the attempts of all requests.
        """
        self._placement.record_start(
            record.server_id, key, self._decision, now_ms
        )

    def has_blocked_server(self, part):
        """Return whether a running attempt is on a blocked server."""
        return any(
            self._placement.health(server_id).is_blocked
            for server_id in part.running.values()
        )

    def _create_admission(self, part):
        """Return the `RateAdmission` of an attempt; None without limits."""
        limiter = self._placement.rate_limiter
        if limiter is None:
            return None
        is_repeat = part.sent_count > 0
        demand_class = get_demand_class(self._decision.urgency, is_repeat)
        if is_repeat:
            place = limiter.draw_place(demand_class)
        else:
            if self._place is None:
                self._place = limiter.draw_place(demand_class)
            place = self._place
        return RateAdmission(limiter, demand_class, place)

    def _list_servers(self, part, now_ms):
        servers = self._directory.available_servers(part.service, now_ms)
        if self._allowed_regions:
            servers = self._regions.filter_servers(
                part.service, servers, self._allowed_regions
            )
        return servers
