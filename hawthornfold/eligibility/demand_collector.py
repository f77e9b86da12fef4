"""Adds up the demand that nodes report for servers with a rate limit."""

import math
import typing

from hawthornfold.eligibility.demand import CLASS_COUNT
from hawthornfold.eligibility.messages import DemandTotals
from hawthornfold.eligibility.messages import ServerDemand

# A report counts for this many of its periods, so that a lost one changes
# nothing.
LIFETIME_PERIODS = 3.0
# The sum is known after this many periods: all nodes have reported then.
COLLECT_PERIODS = 2.0


class _Entry(typing.NamedTuple):
    demand: ServerDemand
    received_ms: float
    expiry_ms: float


class DemandCollector:
    """The reports on the servers that this node collects the demand of.

    A node that begins to collect has no sum at first: one of the reports of
    some nodes only would be too low, and the limit would be exceeded.
    """

    def __init__(self):
        # By server id and start: the time of the first report, and the last
        # report of each node.
        self._servers = {}

    @property
    def server_count(self):
        """Number of servers that this node collects the demand of."""
        return len(self._servers)

    def record_report(self, node_name, report, now_ms):
        """Record the report of a node and return the sums.

        Parameters
        ----------
        node_name : str
            The node that reports.
        report : DemandReport
            Its demand.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        DemandTotals
        """
        expiry_ms = now_ms + LIFETIME_PERIODS * report.period_ms
        collected_ms = now_ms - COLLECT_PERIODS * report.period_ms
        totals = []
        for demand in report.servers:
            key = (demand.server_id, demand.born_ms)
            first_ms, entries = self._servers.setdefault(key, (now_ms, {}))
            entries[node_name] = _Entry(demand, now_ms, expiry_ms)
            if first_ms <= collected_ms:
                totals.append(_sum_up(entries.values(), now_ms))
        return DemandTotals(report.period_ms, tuple(totals))

    def expire(self, now_ms):
        """Forget the reports that have not been renewed."""
        for key, (_, entries) in list(self._servers.items()):
            for name, entry in list(entries.items()):
                if entry.expiry_ms <= now_ms:
                    del entries[name]
            if not entries:
                del self._servers[key]


def _sum_up(entries, now_ms):
    """Return the total demand for a server and the limit named last."""
    demand = [0] * CLASS_COUNT
    newest, newest_age_ms = None, math.inf
    for entry in entries:
        if entry.expiry_ms <= now_ms:
            continue
        for number, rate in enumerate(entry.demand.demand_milli[:CLASS_COUNT]):
            demand[number] += max(rate, 0)
        age_ms = entry.demand.age_ms + now_ms - entry.received_ms
        if age_ms < newest_age_ms:
            newest, newest_age_ms = entry.demand, age_ms
    return newest._replace(
        age_ms=int(newest_age_ms), demand_milli=tuple(demand)
    )


def create_demand_collector():
    """Create a collector without reports.

    Examples
    --------
    >>> from hawthornfold.eligibility.messages import DemandReport
    >>> collector = create_demand_collector()
    >>> demand = ServerDemand('s1', 1, 11_000, 0, (2_000, 0, 0, 0))
    >>> report = DemandReport(500, (demand,))
    >>> for now_ms in (0.0, 500.0):
    ...     totals = collector.record_report('n1', report, now_ms)
    ...     totals = collector.record_report('n2', report, now_ms)
    >>> totals.servers
    ()
    >>> collector.record_report('n1', report, 1_000.0).servers[0].demand_milli
    (4000, 0, 0, 0)
    """
    return DemandCollector()
