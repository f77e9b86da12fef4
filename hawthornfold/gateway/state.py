"""The state of a gateway node: configuration, servers, repeat budgets."""

import math

import logbook

from hawthornfold.audit import create_audit_trail
from hawthornfold.directory import create_server_directory
from hawthornfold.eligibility import create_rate_limit_register
from hawthornfold.eligibility import create_rate_limiter
from hawthornfold.eligibility import create_return_schedule
from hawthornfold.eligibility import create_server_eligibility
from hawthornfold.eligibility import create_server_pauses
from hawthornfold.eligibility import create_warmup_limiter
from hawthornfold.gateway.evacuations import EVACUATED_CONNECTIONS
from hawthornfold.gateway.evacuations import EvacuationReporter
from hawthornfold.gateway.gathered_rules import create_gathered_rules
from hawthornfold.gateway.interruptions import create_interruption_handler
from hawthornfold.gateway.pools import ConnectionLimits
from hawthornfold.gateway.pools import ServerPools
from hawthornfold.gateway.pools import compute_connection_limits
from hawthornfold.gateway.response_bounds import create_response_bounds
from hawthornfold.gateway.server_signals import create_server_signal_handler
from hawthornfold.gateway.suspects import create_suspect_handler
from hawthornfold.gathering import ServerSignals
from hawthornfold.gathering import UnservedServices
from hawthornfold.gathering import create_answer_margin
from hawthornfold.gathering import create_regions
from hawthornfold.gathering import report_regions
from hawthornfold.limits import NodeCounts
from hawthornfold.limits import compute_service_share
from hawthornfold.limits import create_repeat_budget
from hawthornfold.placement import create_latency_tracker
from hawthornfold.placement import create_placement
from hawthornfold.placement import create_weighted_round_robin
from hawthornfold.quarantine import create_request_fingerprints
from hawthornfold.quarantine import create_suspect_table
from hawthornfold.rendezvous import compute_score

_LOG = logbook.Logger('gateway')

# Limits for a server whose service is not in the configuration.
_UNKNOWN_SERVICE_CONNECTIONS = ConnectionLimits(1, 1)
# A node that starts opens at most one connection to each server for this long:
# it does not know all other nodes yet, and after a loss of power servers still
# hold the connections of before.
SETTLE_MS = 3_000.0


class GatewayState:
    """The configuration, server directory and limits of one node.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the node.
    names : HeaderNames
        The deployment's header names.
    clock : Clock
        The node's clock.
    metrics : Metrics
        Receives counters.
    """

    def __init__(self, settings, names, clock, metrics):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._configuration = None
        self._node_counts = NodeCounts({settings.data_centre: 1})
        self._gathered_share = None
        # Number that increases when the shares of the limits change.
        self._shares_version = 0
        self._gathered_rules = create_gathered_rules()
        self._repeat_budgets = {}
        self._started_ms = clock.now_ms()
        self._is_settled = False
        self._stop_ends_ms = None
        self.audit = create_audit_trail(clock)
        self._warmup = create_warmup_limiter(
            settings.node_name,
            settings.warmup_overage,
            settings.warmup_slack,
            metrics,
        )
        self._evacuation_reporter = EvacuationReporter(self.audit, metrics)
        self.directory = create_server_directory(
            self._handle_evacuations, self._warmup.record_entry
        )
        self.latency_tracker = create_latency_tracker()
        self.response_bounds = create_response_bounds(
            settings.memory_bytes, clock, metrics
        )
        self.pools = ServerPools(
            names, clock, metrics, self._record_connect, self.response_bounds
        )
        self.suspects = create_suspect_handler(
            create_suspect_table(settings.node_name),
            create_request_fingerprints(settings.store_address),
            self.audit,
            clock,
            metrics,
        )
        self.interruptions = create_interruption_handler(
            self.suspects, self.pools, self.directory, metrics
        )
        self.pauses = create_server_pauses()
        self.rate_limits = create_rate_limit_register()
        self.rate_limiter = create_rate_limiter(self.rate_limits, metrics)
        self.return_schedule = create_return_schedule()
        self.eligibility = create_server_eligibility(
            (self._warmup, self.pauses), self.rate_limiter
        )
        self.signals = create_server_signal_handler(
            self.directory,
            self.pauses,
            self.rate_limits,
            self.handle_server_events,
            clock,
            metrics,
        )
        self.placement = create_placement(
            settings.data_centre,
            self.latency_tracker,
            self.pools.has_idle,
            eligibility=self.eligibility,
        )
        self.unserved = UnservedServices()
        self.service_rotation = create_weighted_round_robin()
        self.answer_margin = create_answer_margin()
        self.regions = create_regions(settings.region, settings.regions)

    @property
    def settings(self):
        """The node's `GatewaySettings`."""
        return self._settings

    @property
    def configuration(self):
        """The `RoutingConfiguration` in force, or None."""
        return self._configuration

    @property
    def is_stopping(self):
        """Whether the node is stopping."""
        return self._stop_ends_ms is not None

    def can_finish(self, duration_ms):
        """Return whether a request of this duration ends before a stop does.

        Parameters
        ----------
        duration_ms : float
            How long it takes from now on.
        """
        return (
            self._stop_ends_ms is None
            or self._clock.now_ms() + duration_ms <= self._stop_ends_ms
        )

    @property
    def node_count(self):
        """Number of nodes that share the servers' limits, with this one."""
        return self._node_counts.total

    def begin_stop(self, ends_ms=math.inf):
        """Mark the node as stopping.

        The readiness check fails from now on, and callers' connections are
        closed after their next answer.

        Parameters
        ----------
        ends_ms : float
            When the requests that still run are ended.
        """
        self._stop_ends_ms = ends_ms

    def set_settings(self, settings):
        """Apply settings that were read again."""
        self._settings = settings
        self.regions.set_table(settings.region, settings.regions)
        self._report_regions()
        self.response_bounds.set_memory(settings.memory_bytes)
        self._warmup.set_bounds(settings.warmup_overage, settings.warmup_slack)
        self._apply_shares()

    def set_shares(self, counts, gathered_share):
        """Divide the servers' limits among the nodes.

        Parameters
        ----------
        counts : NodeCounts
            The nodes of the fleet. They have equal shares of services to which
            requests are forwarded.
        gathered_share : float or None
            This node's share, 0 to 1, of services whose answers are gathered.
            None if it depends on the data centres of nodes and servers.
        """
        now_ms = self._clock.now_ms()
        is_settled = now_ms - self._started_ms >= SETTLE_MS
        shares = (counts, gathered_share, is_settled)
        before = (self._node_counts, self._gathered_share, self._is_settled)
        if shares == before:
            return
        self._node_counts, self._gathered_share, self._is_settled = shares
        _LOG.notice(
            'event=shares_changed nodes_before={} nodes={} '
            'gathered_share_before={} gathered_share={} settled={}',
            before[0].total,
            counts.total,
            _describe_share(before[1]),
            _describe_share(gathered_share),
            is_settled,
        )
        self._apply_shares()

    def set_fleet_nodes(self, nodes):
        """Set the `FleetNodes`; to be called each second."""
        self._warmup.set_nodes(nodes)
        self._warmup.check(self._clock.now_ms())

    def set_configuration(self, configuration):
        """Apply a newer `RoutingConfiguration`."""
        before = self._configuration
        self._warmup.set_services(configuration.services)
        self._configuration = configuration
        self._gathered_rules.set_rules(configuration.rules.rules)
        self.latency_tracker.retain_rules(
            rule.name for rule in configuration.rules.rules
        )
        self._apply_shares()
        self._report_regions()
        self._metrics.count('configurations_applied')
        self.audit.record(
            'configuration',
            'version',
            None if before is None else before.version,
            configuration.version,
            f'{len(configuration.rules.rules)} rules published',
        )

    def get_digest(self, decision):
        """Return a digest of the decision of a rule that gathers.

        Nodes with the same digest agree on the shards of a query.
        """
        return self._gathered_rules.get_digest(decision)

    def find_gathering(self, rule, digest):
        """Return the decision of a rule with a digest, or None."""
        return self._gathered_rules.find(rule, digest)

    def handle_server_events(self, events):
        """Update pools and placement from a list of `DirectoryEvent`."""
        for event in events:
            server_id = event.record.server_id
            self.audit.record(
                'server', server_id, '', event.kind, event.record.service
            )
            if event.kind in ('restarted', 'moved'):
                # The id now belongs to another process.
                self._remove_server(server_id)
                # The entry of the new process was received just before.
                current = self.directory.get(server_id)
                if current is not None:
                    self._warmup.record_entry(current, self._clock.now_ms())
            elif event.kind == 'removed':
                self._remove_server(server_id)
            elif event.kind == 'added':
                # What was observed after its removal, as a last resort, may
                # be of another server at its former address.
                self.placement.remove_server(server_id)
            elif event.kind in ('draining', 'ready'):
                pool = self.pools.find(server_id)
                if pool is not None:
                    # Closes the idle connections of a server that leaves.
                    pool.set_limits(self._connection_limits(event.record))

    def handle_signals(self, record, signals, now_ms):
        """Apply what a response says about its server.

        Parameters
        ----------
        record : ServerRecord
            The server.
        signals : ServerSignals
            What it says.
        now_ms : float
            Current time on the node's clock.
        """
        if signals.is_leaving:
            self.signals.handle_leaving(record, now_ms)
        if signals.is_full:
            self.signals.handle_full(record, signals.retry_after, now_ms)
        if signals.rate_limit is not None:
            self.signals.handle_limit(record, signals.rate_limit, now_ms)
        if signals.warmup:
            self._warmup.record_header(record, signals.warmup, now_ms)

    def handle_server_notice(self, notice):
        """Apply what a `ServerNotice` says about a server.

        Parameters
        ----------
        notice : ServerNotice
            From the node that has received the response.
        """
        record = self.directory.get(notice.server_id)
        if record is not None and record.born_ms == notice.born_ms:
            self.handle_signals(
                record,
                ServerSignals(
                    is_leaving=notice.is_leaving, rate_limit=notice.rate_limit
                ),
                self._clock.now_ms(),
            )

    def may_send(self, record, now_ms):
        """Return whether a request may be sent to a server now."""
        return self.directory.is_available(
            record, now_ms
        ) and self.eligibility.allows(record, now_ms)

    def get_pool(self, record):
        """Return the `ServerPool` for the server of a directory record."""
        return self.pools.get(record, self._connection_limits)

    def get_repeat_budget(self, service):
        """Return the repeat budget of a service, creating it when missing."""
        key = (self.directory.version, self._shares_version)
        budget, known_key = self._repeat_budgets.get(service, (None, None))
        if known_key == key:
            return budget
        settings = self._settings
        slack = settings.repeat_slack * self._service_share(service)
        if budget is None:
            budget = create_repeat_budget(
                settings.repeat_ratio,
                slack,
                settings.repeat_window_ms,
                self._started_ms,
            )
        else:
            budget.set_slack(slack)
        self._repeat_budgets[service] = (budget, key)
        return budget

    def _handle_evacuations(self, events):
        """Stop using the connections to servers in evacuated data centres."""
        in_force = self.directory.evacuations.in_force
        self._evacuation_reporter.report(events, in_force)
        for server_id, record in self.directory.records.items():
            pool = self.pools.find(server_id)
            if pool is not None and record.data_centre in in_force:
                pool.withhold_waiting('the data centre is evacuated')
        # Closes the idle connections, or allows them again.
        self._apply_shares()
        for event in events:
            if event.data_centre not in in_force:
                self._presume_cold(event.data_centre)

    def _presume_cold(self, data_centre):
        """Limit servers that get requests again after an evacuation."""
        now_ms = self._clock.now_ms()
        for record in self.directory.records.values():
            if record.data_centre == data_centre:
                self._warmup.presume_cold(record, now_ms)

    def _remove_server(self, server_id):
        self.pools.close_pool(server_id)
        self.placement.remove_server(server_id)
        self.eligibility.remove_server(server_id)
        self.rate_limits.remove_server(server_id)

    def _record_connect(self, elapsed_ms):
        self.placement.record_connect(elapsed_ms)
        self.placement.isolation.record_contact(self._clock.now_ms())

    def _connection_limits(self, record):
        if record.data_centre in self.directory.evacuations.in_force:
            return EVACUATED_CONNECTIONS
        services = self._configuration.services if self._configuration else {}
        known = services.get(record.service)
        if known is None:
            return _UNKNOWN_SERVICE_CONNECTIONS
        limits = compute_connection_limits(
            known.max_connections,
            self._service_share(record.service),
            compute_score(self._settings.node_name, record.server_id) / 2**64,
        )
        if not self._is_settled:
            limits = ConnectionLimits(min(limits.kept, 1), 1)
        if self.directory.is_leaving(record):
            # A connection is closed after its request.
            limits = limits._replace(kept=0)
        return limits

    def _service_share(self, service):
        """Return this node's share of the limits of a service, 0 to 1."""
        if not self._gathered_rules.covers(service):
            return 1.0 / self._node_counts.total
        if self._gathered_share is not None:
            return self._gathered_share
        servers = self.directory.available_servers(
            service, self._clock.now_ms()
        )
        return compute_service_share(
            self._settings.data_centre,
            self._node_counts,
            {record.data_centre for record in servers},
        )

    def _report_regions(self):
        if self._configuration is not None:
            report_regions(
                self.regions,
                [x.decision for x in self._configuration.rules.rules],
                self._metrics,
            )

    def _apply_shares(self):
        self._shares_version += 1
        for server_id, record in self.directory.records.items():
            pool = self.pools.find(server_id)
            if pool is not None:
                pool.set_limits(self._connection_limits(record))


def _describe_share(share):
    return '-' if share is None else f'{share:.4f}'
