"""Exchanges the demand for servers with a rate limit among the nodes."""

from hawthornfold.eligibility import DemandReport
from hawthornfold.eligibility import DemandTotals
from hawthornfold.eligibility import create_demand_collector
from hawthornfold.rendezvous import choose_names

# Number of nodes that add up the demand for a service. Nodes that disagree on
# whether one node lives have another one in common, which gets all reports.
COLLECTING_COUNT = 2
# Interval of the reports, and the number of reports a second that one node
# collects at most for a service: where there are more nodes, the interval is
# longer.
REPORT_INTERVAL_MS = 250.0
MAX_REPORTS_PER_S = 300.0


class RateExchange:
    """Reports a node's demand, and adds up what other nodes report.

    Each service has a few nodes that add up the demand for its servers.

    Parameters
    ----------
    limiter : RateLimiter
        Knows the node's demand and applies the sums.
    fleet : Fleet
        Sends and receives the messages.
    clock : Clock
        The node's clock.
    """

    def __init__(self, limiter, fleet, clock):
        self._limiter = limiter
        self._fleet = fleet
        self._clock = clock
        self._collector = create_demand_collector()
        # The collecting nodes of each service, for a version of the members.
        self._collecting = {}
        self._collecting_version = None
        fleet.register(DemandReport, self._handle_report)
        fleet.register(DemandTotals, self._handle_totals)

    def run(self):
        """Report the demand endlessly; to be spawned."""
        while True:
            self._clock.sleep_ms(self.interval_ms)
            self.report()

    @property
    def interval_ms(self):
        """Time between two reports, in milliseconds."""
        node_count = len(self._fleet.list_others()) + 1
        return max(
            REPORT_INTERVAL_MS, node_count * 1_000.0 / MAX_REPORTS_PER_S
        )

    def report(self):
        """Report the node's demand, if there is any."""
        now_ms = self._clock.now_ms()
        self._limiter.expire(now_ms)
        self._collector.expire(now_ms)
        turns, reports = self._limiter.create_reports(now_ms)
        by_node = {}
        for service, demand in reports:
            for member in self._find_collecting(service):
                by_node.setdefault(member, []).append(demand)
        for member, servers in by_node.items():
            report = DemandReport(
                int(self.interval_ms * turns), tuple(servers)
            )
            if member.name == self._fleet.own_name:
                self._apply(member.name, report)
            else:
                self._fleet.send(member.name, member.address, report, True)

    def _find_collecting(self, service):
        """Return the `Member` tuples that add up the demand for a service."""
        if self._collecting_version != self._fleet.version:
            self._collecting_version = self._fleet.version
            self._collecting = {}
        collecting = self._collecting.get(service)
        if collecting is None:
            members = {x.name: x for x in self._fleet.list_live()}
            collecting = self._collecting[service] = tuple(
                members[name]
                for name in choose_names(members, service, COLLECTING_COUNT)
            )
        return collecting

    def _handle_report(self, sender, report):
        totals = self._collector.record_report(
            sender.name, report, self._clock.now_ms()
        )
        if totals.servers:
            self._fleet.send(sender.name, sender.address, totals, True)

    def _handle_totals(self, sender, totals):
        self._limiter.apply_totals(sender.name, totals, self._clock.now_ms())

    def _apply(self, name, report):
        now_ms = self._clock.now_ms()
        self._limiter.apply_totals(
            name, self._collector.record_report(name, report, now_ms), now_ms
        )
