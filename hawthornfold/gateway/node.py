"""Assembles a gateway node: its state, its ports and its loops."""

import contextlib

import eventlet
import logbook

from hawthornfold.callers.server import serve_application
from hawthornfold.clock import create_system_clock
from hawthornfold.delegation import Capacity
from hawthornfold.delegation import QueryCostModel
from hawthornfold.directory import create_store_watcher
from hawthornfold.gateway.cooperation import create_cooperation
from hawthornfold.gateway.fleet import COUNT_INTERVAL_MS
from hawthornfold.gateway.fleet import open_fleet
from hawthornfold.gateway.handler import GatewayHandler
from hawthornfold.gateway.ingress import GatewayApplication
from hawthornfold.gateway.ingress import GatewayProtocol
from hawthornfold.gateway.ingress import IngressLimits
from hawthornfold.gateway.isolation import create_isolation_monitor
from hawthornfold.gateway.rate_exchange import RateExchange
from hawthornfold.gateway.readiness import ReadyApplication
from hawthornfold.gateway.readiness import ReadyLimits
from hawthornfold.gateway.runner import RequestRunner
from hawthornfold.gateway.settings import split_address
from hawthornfold.gateway.state import GatewayState
from hawthornfold.gateway.store_exchange import StoreExchange
from hawthornfold.gateway.suspect_exchange import create_suspect_exchange
from hawthornfold.gateway.sweep import ServerSweep
from hawthornfold.metrics import create_metrics
from hawthornfold.rules import describe_rules

_LOG = logbook.Logger('gateway')

# Operators lift the quarantine of a request with DELETE below this path.
QUARANTINE_PATH = '/quarantine/'
# Interval at which a stopping node checks whether requests are in progress.
_STOP_POLL_INTERVAL_MS = 50.0
# A node that starts waits this long before it assigns reader roles: it finds
# the other nodes first and reads the store on their behalf only then. After
# all machines have lost power, servers can register again in this time.
FIRST_ROLES_DELAY_MS = 300.0
# Interval at which the links to nodes that may be needed are kept open.
LINK_INTERVAL_MS = 5_000.0
# Delay before a loop that ended with an internal error starts again.
RESTART_DELAY_MS = 500.0
# After the stop signal the node accepts callers for this long: the balancer
# sends them until two readiness checks, one a second, have failed.
STOP_LINGER_MS = 2_600.0
# The stop ends this long before the platform kills the process.
KILL_MARGIN_MS = 400.0
# Time to write the answers to requests that are still running then.
LAST_ANSWERS_MS = 100.0
# A stopping node exits once it has had no request in progress for this long.
QUIET_MS = 300.0


class GatewayNode:
    """A gateway node: its state, its ports and its background loops.

    Parameters
    ----------
    settings : GatewaySettings
        The settings to start with.
    load_settings : callable
        Reads the settings again; raises ValueError or OSError with a reason
        if they cannot be read.
    open_store : callable
        Takes a function that returns the store's address, and the clock;
        returns a `PublishedStore`.
    names : HeaderNames
        The deployment's header names.
    ready_path : str
        Path of the readiness check.
    """

    def __init__(self, settings, load_settings, open_store, names, ready_path):
        self._load_settings = load_settings
        self._ready_path = ready_path
        self._settings = settings
        self._clock = create_system_clock()
        self._metrics = create_metrics()
        self._state = GatewayState(
            self._settings, names, self._clock, self._metrics
        )
        self._watcher = create_store_watcher(
            open_store(lambda: self._settings.store_address, self._clock),
            self._state.directory,
            self._clock,
            self._metrics,
            self._state.handle_server_events,
            self._state.set_configuration,
            # The exchange with other nodes exists once the node is open.
            lambda update: self._store_exchange.send_update(update),
            lambda: self._store_exchange.query_snapshots(),
        )
        self._cost_model = QueryCostModel(
            Capacity(self._settings.link_mbps, self._settings.cores)
        )
        self._runner = RequestRunner(
            self._state,
            self._watcher,
            self._cost_model,
            self._clock,
            self._metrics,
        )
        self._isolation_monitor = create_isolation_monitor(
            self._state, self._runner.end_attempts, self._clock, self._metrics
        )
        self._handler = GatewayHandler(
            self._state,
            names,
            self._watcher,
            self._runner,
            self._clock,
            self._metrics,
        )
        self._limits = IngressLimits(self._state)
        self._application = GatewayApplication(
            self._handler,
            self._state,
            self._clock,
            self._metrics,
            self._limits,
        )

    @property
    def settings(self):
        """The `GatewaySettings` in force."""
        return self._settings

    def is_ready(self):
        """Return whether callers should be sent to this node."""
        return (
            not self._state.is_stopping
            and self._state.configuration is not None
            and self._watcher.is_loaded
        )

    def describe(self):
        """Return the node's status as a dictionary, for operators."""
        state = self._state
        configuration = state.configuration
        now_ms = self._clock.now_ms()
        position = self._watcher.position
        return {
            'node': self._settings.node_name,
            'ready': self.is_ready(),
            'version': configuration.version if configuration else None,
            'store_era': position.era if position else None,
            'store_revision': position.revision if position else None,
            'store_age_ms': self._watcher.age_ms(now_ms),
            'nodes': state.node_count,
            'servers': len(state.directory.records),
            'blocked_servers': state.placement.blocked_server_ids(),
            'isolated': state.placement.is_isolated,
            'rate_limits': state.rate_limits.describe(),
            'suspect_requests': state.suspects.describe(),
            'evacuated_data_centres': sorted(
                state.directory.evacuations.in_force
            ),
            'requests_in_progress': self._application.in_progress,
        }

    def describe_rules(self):
        """Return the rules in force, as a document for ``check``."""
        configuration = self._state.configuration
        if configuration is None:
            return {'rules': [], 'default': None}
        return describe_rules(configuration.document)

    def describe_changes(self):
        """Return the audit trail, oldest change first."""
        return [entry._asdict() for entry in self._state.audit.entries()]

    @contextlib.contextmanager
    def open(self):
        """Serve while the context is active.

        Yields
        ------
        callable
            Stops accepting callers.
        """
        settings = self._settings
        with contextlib.ExitStack() as stack:
            self._fleet = stack.enter_context(
                open_fleet(
                    settings, self._clock, self._metrics, self._state.audit
                )
            )
            self._store_exchange = StoreExchange(
                self._fleet, self._watcher, self._clock, settings.link_mbps
            )
            self._cooperation = create_cooperation(
                self._state,
                self._handler,
                self._runner,
                self._cost_model,
                self._fleet,
                self._clock,
                self._metrics,
            )
            loops = [
                eventlet.spawn(self._run_with_restarts, loop)
                for loop in (
                    self._watcher.run,
                    self._watcher.run_expiry,
                    self._store_exchange.run_heartbeats,
                    RateExchange(
                        self._state.rate_limiter, self._fleet, self._clock
                    ).run,
                    create_suspect_exchange(
                        self._state.suspects, self._fleet, self._clock
                    ).run,
                    ServerSweep(
                        self._state,
                        self._clock,
                        self._metrics,
                        self._isolation_monitor,
                    ).run,
                    self._run_count,
                    self._run_room_queries,
                    self._run_links,
                    self._store_exchange.run_snapshots,
                )
            ]
            stack.callback(lambda: [loop.kill() for loop in loops])
            stack.callback(self._state.pools.close)
            pages = {
                '/status': self.describe,
                '/rules': self.describe_rules,
                '/audit': self.describe_changes,
            }
            ready = ReadyApplication(
                self._ready_path,
                self.is_ready,
                pages,
                {QUARANTINE_PATH: self._state.suspects.lift},
                self._metrics,
            )
            addresses = [split_address(settings.ready_address)]
            if settings.metrics_port:
                host = split_address(settings.ready_address)[0]
                addresses.append((host, settings.metrics_port))
            for host, port in addresses:
                stack.enter_context(
                    serve_application(host, port, ready, ReadyLimits())
                )
            host, port = split_address(settings.caller_address)
            yield stack.enter_context(
                serve_application(
                    host,
                    port,
                    self._application,
                    self._limits,
                    GatewayProtocol,
                )
            )

    def reload(self, cause):
        """Read the settings again; keep the last valid ones on an error.

        Parameters
        ----------
        cause : str
            What triggered the reload, for the log.
        """
        try:
            settings = self._load_settings()
        except (ValueError, OSError) as error:
            self._metrics.count('settings_refused')
            _LOG.error('event=settings_refused cause={} {}', cause, error)
            return
        if settings != self._settings:
            self._settings = settings
            self._state.set_settings(settings)
        _LOG.notice('event=settings_loaded cause={}', cause)

    def stop(self, stop_accepting):
        """Finish the requests in progress, then leave the fleet.

        Parameters
        ----------
        stop_accepting : callable
            Stops accepting callers, as yielded by `open`.

        Returns
        -------
        int
            Number of requests that are still in progress, and are aborted.
        """
        started_ms = self._clock.now_ms()
        limit_ms = self._settings.stop_grace_ms - KILL_MARGIN_MS
        ends_ms = started_ms + limit_ms - LAST_ANSWERS_MS
        self._state.begin_stop(ends_ms)
        _LOG.notice(
            'event=stopping in_progress={}', self._application.in_progress
        )
        self._clock.sleep_ms(min(STOP_LINGER_MS, limit_ms / 2.0))
        stop_accepting()
        quiet_since_ms = self._clock.now_ms()
        while self._clock.now_ms() < ends_ms:
            now_ms = self._clock.now_ms()
            if self._count_in_progress():
                quiet_since_ms = now_ms
            elif now_ms - quiet_since_ms >= QUIET_MS:
                break
            self._clock.sleep_ms(_STOP_POLL_INTERVAL_MS)
        if self._count_in_progress():
            self._end_requests_early()
        self._fleet.leave()
        return self._count_in_progress()

    def _end_requests_early(self):
        """Answer the requests that would be aborted, as at their deadlines."""
        _LOG.notice(
            'event=requests_ended_early count={}', self._count_in_progress()
        )
        self._runner.end_early()
        self._cooperation.delegations.end_early()
        self._clock.sleep_ms(LAST_ANSWERS_MS)

    def _run_with_restarts(self, loop):
        """Run a loop; restart it when it returns or raises an error."""
        while True:
            try:
                loop()
            except Exception:  # noqa: BLE001
                self._metrics.count('internal_errors', loop=loop.__name__)
                _LOG.exception('event=loop_failed loop={}', loop.__name__)
            self._clock.sleep_ms(RESTART_DELAY_MS)

    def _run_room_queries(self):
        self._cooperation.delegations.run_room_queries(self._list_decisions)

    def _list_decisions(self):
        configuration = self._state.configuration
        rules = configuration.rules.rules if configuration else ()
        return [rule.decision for rule in rules]

    def _count_in_progress(self):
        return (
            self._application.in_progress
            + self._cooperation.delegations.accepted_count
            + self._cooperation.group_helper.running_count
        )

    def _run_links(self):
        """Keep the links open that the next queries may need."""
        while True:
            self._clock.sleep_ms(LINK_INTERVAL_MS)
            self._cooperation.group_caller.open_links(
                self._cooperation.division.list_helpers(
                    self._list_decisions(), self._clock.now_ms()
                )
            )

    def _run_count(self):
        self._update_shares()
        self._clock.sleep_ms(FIRST_ROLES_DELAY_MS)
        while True:
            self._update_shares()
            self._assign_roles()
            self._clock.sleep_ms(COUNT_INTERVAL_MS)

    def _update_shares(self):
        counts = self._fleet.count_nodes()
        policy = self._cooperation.delegations.policy
        share = policy.compute_limit_share(counts.total, self._clock.now_ms())
        self._state.set_shares(counts, share)
        self._state.rate_limiter.set_nodes(
            len(self._fleet.list_others()) + 1, counts.total
        )
        self._fleet.update_nodes()
        self._state.set_fleet_nodes(self._fleet.nodes)

    def _assign_roles(self):
        policy = self._cooperation.delegations.policy
        self._fleet.assign_roles(
            policy.list_delegate_names(self._clock.now_ms())
        )
        roles = self._fleet.roles
        self._watcher.set_reader(roles.is_reader)
        # This node may also be a reader.
        self._watcher.set_reader_count(len(roles.readers) + 1)
