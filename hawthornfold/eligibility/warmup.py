"""Limits the requests to cold servers, for all nodes together.

A server that receives much more than it can handle while it is cold crashes,
as all servers of a data centre did that returned at the same time. The limit
of a server is divided into allotments (`hawthornfold.eligibility.node_order`).
A node sends at most its allotment in any window of `WINDOW_MS`.

After the cold time the server's share of the load increases for `RAMP_MS`:
with the remaining probability a request regards the server as expensive and
goes to another one, if there is any. Neither `COLD_FACTOR` of the placement
nor `SlotRamp` serves for this. The server with the lowest cost gets all
requests of a node, so that a cost factor shifts all of them at once or none.
Slots are connections here, and a node has only one or two to each server.
"""

import collections
import math
import re

import logbook

from hawthornfold.eligibility.cold_server import ColdServer
from hawthornfold.eligibility.cold_server import Evidence
from hawthornfold.eligibility.node_order import NodeOrder
from hawthornfold.eligibility.node_order import compute_allotment
from hawthornfold.eligibility.node_roster import MAX_ROSTER_AGE_MS
from hawthornfold.eligibility.node_roster import FleetNodes
from hawthornfold.eligibility.restrictions import SendRestriction
from hawthornfold.limits.ramp import RAMP_MS

_LOG = logbook.Logger('gateway')

# Allotments are for one second as the server counts it. Requests are counted
# when they arrive, so that two of them may be closer together than when they
# were sent: by the jitter of the network, or by a retransmission (200 ms).
JITTER_MS = 250.0
WINDOW_MS = 1_000.0 + JITTER_MS
# Longer cold times are not plausible: servers are cold for 3 s today.
MAX_WARMUP_MS = 600_000.0
# Cold time of a server that doesn't give it, if its service specifies none.
UNKNOWN_WARMUP_MS = 3_000.0
# Share of the load of a server during its cold time and at the start of its
# ramp.
RAMP_START = 0.1
_NUMBER = re.compile(r'[0-9]{1,9}(\.[0-9]{0,9})?', re.ASCII)


class WarmupLimiter(SendRestriction):
    """Refuses requests to cold servers beyond this node's allotments.

    Parameters
    ----------
    node_name : str
        The node.
    overage, slack : float
        A cold server accepts its rate times the overage, plus the slack, in
        one second from all nodes together.
    metrics : Metrics
        Receives counters and gauges.
    """

    def __init__(self, node_name, overage, slack, metrics):
        self._node_name = node_name
        self._overage, self._slack = overage, slack
        self._metrics = metrics
        self._services = {}
        # By service, those with a limit only.
        self._limits = {}
        self._nodes = FleetNodes({}, False, -math.inf)
        self._order = None
        self._servers = {}
        # Times of the last requests by server id. They outlast the server's
        # record: it may return within the window.
        self._sends = {}
        self._refused_values = set()

    def set_bounds(self, overage, slack):
        """Set the overage and slack of newer settings."""
        self._overage, self._slack = overage, slack
        self._apply_limits()

    def set_services(self, services):
        """Set the services of a newer configuration.

        Parameters
        ----------
        services : dict of str to ServiceRecord
            All services by name.
        """
        self._services = services
        self._apply_limits()

    def set_nodes(self, nodes):
        """Set the `FleetNodes` that share the limits."""
        before, self._nodes = self._nodes, nodes
        if before.data_centres != nodes.data_centres:
            self._order = None
            if self._node_name in nodes.data_centres:
                self._order = NodeOrder(self._node_name, nodes.data_centres)
        if before[:2] != nodes[:2]:
            self._metrics.set_gauge('fleet_known', int(nodes.is_complete))
            self._forget_allotments()

    def record_entry(self, record, now_ms):
        """Record that a server's entry was received.

        Parameters
        ----------
        record : ServerRecord
            The entry. Its cold time counts from now on.
        now_ms : float
            Current time on the node's clock.
        """
        left_ms = self._read_entry(record)
        server = self._servers.get(record.server_id)
        if server is not None and record.born_ms > server.born_ms:
            server.is_listed = False
            self._report_warm(record.server_id, server, now_ms)
            del self._servers[record.server_id]
            server = None
        if server is None and not left_ms:
            return
        if server is None:
            server = self._servers[record.server_id] = ColdServer()
        self._update_server(server, record)
        self._set_left(
            record.server_id, server, left_ms, Evidence.ENTRY, now_ms
        )

    def record_header(self, record, text, now_ms):
        """Record the remaining cold time in a response.

        Parameters
        ----------
        record : ServerRecord
            The server.
        text : str
            The value of the header.
        now_ms : float
            Current time on the node's clock.
        """
        server_id = record.server_id
        if not _NUMBER.fullmatch(text.strip()) or float(text) > MAX_WARMUP_MS:
            self._refuse_value(server_id, 'header', text)
            return
        left_ms = float(text)
        server = self._servers.get(server_id)
        if server is not None and record.born_ms < server.born_ms:
            # The response is from before the server's restart.
            return
        if server is None:
            if not left_ms:
                return
            server = self._servers[server_id] = ColdServer()
            self._update_server(server, record)
        self._set_left(server_id, server, left_ms, Evidence.HEADER, now_ms)

    def presume_cold(self, record, now_ms):
        """Record that a server is used again after a time without requests.

        It may be cold although its entry is from before. If each node learnt
        that from the first response, it would get a request of each node at
        once. So it counts as cold for as long as its service specifies, or
        until an entry or response says otherwise.
        """
        service = self._services.get(record.service)
        if service is None or service.name not in self._limits:
            return
        server = self._servers.get(record.server_id)
        if server is None:
            server = self._servers[record.server_id] = ColdServer()
            self._update_server(server, record)
        left_ms = self._get_warmup_ms(record)
        self._set_left(
            record.server_id, server, left_ms, Evidence.RETURN, now_ms
        )

    def refuses(self, record, now_ms):
        """Return whether the allotment of a cold server is used up."""
        server = self._servers.get(record.server_id)
        if server is None or now_ms >= server.end_ms:
            return False
        return self._find_slot_ms(record.server_id, server, now_ms) > now_ms

    def free_ms(self, record, now_ms):
        """Return when a request fits next; at the latest once it is warm."""
        server = self._servers.get(record.server_id)
        if server is None or now_ms >= server.end_ms:
            return now_ms
        return self._find_slot_ms(record.server_id, server, now_ms)

    def estimate_share(self, record, now_ms):
        """Return the share of the load that suits a server, or None.

        Returns
        -------
        float or None
            None if the server wasn't cold, or its service has no limit.
        """
        server = self._servers.get(record.server_id)
        if server is None or server.service not in self._limits:
            return None
        progress = (now_ms - server.end_ms) / RAMP_MS
        return min(RAMP_START + (1.0 - RAMP_START) * max(progress, 0.0), 1.0)

    def record_send(self, record, now_ms):
        """Record that a request is written to a server."""
        server = self._servers.get(record.server_id)
        if (
            server is None
            or now_ms >= server.end_ms
            or server.service not in self._limits
        ):
            return
        self._metrics.count('cold_server_requests')
        sends = self._sends.setdefault(record.server_id, collections.deque())
        while sends and sends[0] <= now_ms - WINDOW_MS:
            sends.popleft()
        sends.append(now_ms)

    def remove_server(self, server_id):
        """Remove a server at the next check, unless its entry returns."""
        self._refused_values -= {(server_id, 'entry'), (server_id, 'header')}
        server = self._servers.get(server_id)
        if server is not None:
            server.is_listed = False

    def check(self, now_ms):
        """Report changes of state and forget what is over.

        To be called each second.
        """
        cold_count = allotment = 0
        for server_id, server in list(self._servers.items()):
            self._report_cold(server_id, server, now_ms)
            self._report_warm(server_id, server, now_ms)
            if server.is_reported:
                cold_count += 1
                allotment += self._get_allotment(server_id, server, now_ms)
            # The entry of a warm server may still say that it is cold.
            if not server.is_listed or (
                now_ms - server.end_ms > RAMP_MS and not server.entry_warmup_ms
            ):
                del self._servers[server_id]
        for server_id, sends in list(self._sends.items()):
            if sends[-1] <= now_ms - WINDOW_MS:
                del self._sends[server_id]
        self._metrics.set_gauge('cold_servers', cold_count)
        self._metrics.set_gauge('cold_server_allotment', allotment)

    def _apply_limits(self):
        self._limits = {}
        for name, service in self._services.items():
            if service.warmup_per_s > 0.0:
                limit = service.warmup_per_s * self._overage + self._slack
                self._limits[name] = max(0, math.floor(limit))
        self._forget_allotments()

    def _forget_allotments(self):
        for server in self._servers.values():
            server.allotment = None

    def _update_server(self, server, record):
        server.is_listed = True
        server.born_ms = record.born_ms
        server.service = record.service
        server.data_centre = record.data_centre
        server.entry_warmup_ms = record.warmup_ms
        server.allotment = None

    def _set_left(self, server_id, server, left_ms, source, now_ms):
        # It may have been warm since the last check.
        self._report_warm(server_id, server, now_ms)
        server.set_end(now_ms + left_ms, source, now_ms)
        self._report_cold(server_id, server, now_ms)

    def _read_entry(self, record):
        """Return the cold time in an entry, in milliseconds."""
        if 0.0 <= record.warmup_ms <= MAX_WARMUP_MS:
            return record.warmup_ms
        self._refuse_value(record.server_id, 'entry', record.warmup_ms)
        if record.warmup_ms < 0.0:
            return 0.0
        return self._get_warmup_ms(record)

    def _get_warmup_ms(self, record):
        service = self._services.get(record.service)
        if service is not None and 0.0 < service.warmup_ms <= MAX_WARMUP_MS:
            return service.warmup_ms
        return UNKNOWN_WARMUP_MS

    def _refuse_value(self, server_id, source, value):
        self._metrics.count('warmup_values_refused', source=source)
        if (server_id, source) in self._refused_values:
            return
        self._refused_values.add((server_id, source))
        _LOG.warning(
            'event=warmup_value_refused server={} source={} value="{}"',
            server_id,
            source,
            ascii(value)[:40].replace('"', "'"),
        )

    def _find_slot_ms(self, server_id, server, now_ms):
        """Return when the next request may be sent to a cold server."""
        if server.service not in self._limits:
            return now_ms
        allotment = self._get_allotment(server_id, server, now_ms)
        if not allotment:
            return server.end_ms
        sends = self._sends.get(server_id, ())
        if len(sends) < allotment:
            return now_ms
        slot_ms = max(now_ms, sends[-allotment] + WINDOW_MS)
        return min(slot_ms, server.end_ms)

    def _get_allotment(self, server_id, server, now_ms):
        if (
            not self._nodes.is_complete
            # The node was suspended and may have missed nodes that joined.
            or now_ms - self._nodes.updated_ms > MAX_ROSTER_AGE_MS
        ):
            return 0
        if server.allotment is None:
            order = self._order
            server.allotment = compute_allotment(
                self._limits[server.service],
                order.compute_rank(server_id, server.data_centre),
                order.count,
            )
        return server.allotment

    def _report_cold(self, server_id, server, now_ms):
        if (
            server.is_reported
            or now_ms >= server.end_ms
            or server.service not in self._limits
        ):
            return
        server.is_reported = True
        self._metrics.count('server_warmups')
        _LOG.notice(
            'event=server_cold server={} service={} source={} left_ms={:.0f} '
            'limit={} allotment={}',
            server_id,
            server.service,
            server.raised_by.value,
            server.end_ms - now_ms,
            self._limits[server.service],
            self._get_allotment(server_id, server, now_ms),
        )

    def _report_warm(self, server_id, server, now_ms):
        is_limited = server.service in self._limits
        if not server.is_reported or (
            server.is_listed and is_limited and now_ms < server.end_ms
        ):
            return
        server.is_reported = False
        _LOG.notice(
            'event=server_warm server={} service={} cold_ms={:.0f} cause={}',
            server_id,
            server.service,
            min(now_ms, server.end_ms) - server.cold_ms,
            'warm' if server.is_listed else 'removed',
        )


def create_warmup_limiter(node_name, overage, slack, metrics):
    """Create a limiter that knows neither servers, services nor nodes.

    Examples
    --------
    >>> from hawthornfold.directory import ServerRecord
    >>> from hawthornfold.metrics import create_metrics
    >>> limiter = create_warmup_limiter('n1', 1.5, 5.0, create_metrics())
    >>> limiter.refuses(ServerRecord('s1', 'portal', '', 'dc-a', 2), 0.0)
    False
    """
    return WarmupLimiter(node_name, overage, slack, metrics)
