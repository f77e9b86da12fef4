"""Plays loads on nodes and servers in simulated time, without sockets.

The decisions are the product's: executions, placement, repeat budgets and
connection pools. Servers, connections and callers are simulated. What callers
get and what servers did are recorded.
"""

import functools
import heapq
import itertools
import random
import typing

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import create_server_directory
from hawthornfold.eligibility import create_server_eligibility
from hawthornfold.eligibility import get_demand_class
from hawthornfold.gateway.attempts import ServerAttempt
from hawthornfold.gateway.pools import ConnectionLimits
from hawthornfold.gateway.pools import ServerPool
from hawthornfold.gathering import NO_SIGNALS
from hawthornfold.gathering import Cancel
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import ExecutionTimes
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import ServerResponse
from hawthornfold.gathering import ServerSignals
from hawthornfold.gathering import Verdict
from hawthornfold.gathering import create_execution
from hawthornfold.limits import create_repeat_budget
from hawthornfold.metrics import create_metrics
from hawthornfold.placement import create_latency_tracker
from hawthornfold.placement import create_placement
from hawthornfold.rules import Decision
from hawthornfold.rules import Gather

SHARDS = tuple(f'shard-{number}' for number in range(12))
SERVERS_PER_SHARD = 2
SLOTS = 2
QUEUE_LIMIT = 12
SERVICE_MS = 8.0
NETWORK_MS = 0.5
OBJECTIVE_MS = 100.0
DEADLINE_MS = 1_000.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 20.0
WINDOW_MS = 10_000.0
SWEEP_MS = 50.0
NODES = 3
CONNECTIONS_PER_NODE = 4
DECISION = Decision(
    'query', 0, 1000, True, 75, 'refuse', True, 1, 2, 'pin', OBJECTIVE_MS
)._replace(gather=Gather(SHARDS, 5))
_RESPONSE = ServerResponse(200, (), b'', 'seal')


class Simulation:
    """Runs functions in the order of their times, in milliseconds."""

    def __init__(self, seed):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self._events = []
        self._sequence = itertools.count()

    def schedule(self, delay_ms, function):
        """Call a function after a delay."""
        heapq.heappush(
            self._events,
            (self.now_ms + delay_ms, next(self._sequence), function),
        )

    def run(self, until_ms):
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, function = heapq.heappop(self._events)
            function()
        self.now_ms = until_ms


class SimulatedServer:
    """A server with slots and a queue, which sheds what exceeds them."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.factor = 1.0
        self.shed_share = 0.0
        # Requests a second that the server's responses name, or None.
        self.rate_limit = None
        self.is_gone = False
        self.data_centre = 'dc'
        self.executed = set()
        self.arrived = []
        self.arrived_ms = []
        # The nodes that the arrived requests are from.
        self.origins = []
        self._running = set()
        self._queue = []

    def receive(self, connection):
        """Receive a request on a connection."""
        request_id = connection.request_id
        self.arrived.append(request_id)
        self.arrived_ms.append(self._simulation.now_ms)
        self.origins.append(connection.origin)
        is_free = len(self._running) < SLOTS
        if self._simulation.rng.random() < self.shed_share or (
            not is_free and len(self._queue) >= QUEUE_LIMIT
        ):
            connection.reply_later(OutcomeKind.NOT_EXECUTED, len(self._queue))
        elif is_free:
            self._start(connection)
        else:
            self._queue.append(connection)

    def cancel(self, connection):
        """Drop the request of a connection that was closed."""
        if connection in self._queue:
            self._queue.remove(connection)
        elif connection in self._running:
            self._finish(connection, is_dropped=True)

    def _start(self, connection):
        self._running.add(connection)
        self.executed.add(connection.request_id)
        service_ms = self._simulation.rng.lognormvariate(0.0, 0.35)
        self._simulation.schedule(
            SERVICE_MS * self.factor * service_ms,
            functools.partial(self._finish, connection),
        )

    def _finish(self, connection, is_dropped=False):
        if connection not in self._running:
            return
        self._running.discard(connection)
        if not is_dropped:
            connection.reply_later(OutcomeKind.ANSWERED, len(self._queue))
        while self._queue and len(self._running) < SLOTS:
            self._start(self._queue.pop(0))


class SimulatedConnection:
    """A connection of a pool to a simulated server."""

    connect_ms = 6.0

    def __init__(self, simulation, server, origin):
        self._simulation, self._server = simulation, server
        self.origin = origin
        self._on_outcome = None
        self.request_id = None
        self.sent_ms = 0.0
        self.is_reusable = True

    def can_carry_request(self, is_idempotent):
        return not self._server.is_gone

    def open(self, timeout_ms, on_end):
        error = 'refused' if self._server.is_gone else None
        self._simulation.schedule(self.connect_ms, lambda: on_end(error))

    def send(self, request_id, on_outcome):
        self.request_id, self._on_outcome = request_id, on_outcome
        self.sent_ms = self._simulation.now_ms
        self._simulation.schedule(
            NETWORK_MS, lambda: self._server.receive(self)
        )

    def reply_later(self, kind, waiting):
        self._simulation.schedule(
            NETWORK_MS, lambda: self._reply(kind, waiting)
        )

    def abort(self):
        self.is_reusable = False
        self._server.cancel(self)
        self._reply(OutcomeKind.LOST, None)

    def close(self):
        self.is_reusable = False

    def _reply(self, kind, waiting):
        on_outcome, self._on_outcome = self._on_outcome, None
        if on_outcome is not None:
            response = _RESPONSE if kind is OutcomeKind.ANSWERED else None
            signals = NO_SIGNALS
            if kind.has_response and self._server.rate_limit is not None:
                signals = ServerSignals(
                    rate_limit=str(self._server.rate_limit)
                )
            on_outcome(ExchangeOutcome(kind, response, '', signals), waiting)


class CallerResult(typing.NamedTuple):
    """What a caller got for one request."""

    request_id: str
    urgency: int
    elapsed_ms: float
    verdict: Verdict
    retry_after_ms: float | None = None

    @property
    def is_served(self):
        """Whether the caller got an answer, in time or late."""
        return self.verdict in (Verdict.COMPLETE, Verdict.PARTIAL)


class _Request:
    """Carries out what an `Execution` asks for, as `Relay` does."""

    def __init__(self, node, request_id, decision, on_end):
        self._node, self._simulation = node, node.simulation
        self._request_id, self._decision = request_id, decision
        now_ms = self._arrived_ms = self._simulation.now_ms
        shards = decision.gather.shards
        self._on_end = on_end
        self._running = {}
        self._has_ended = False
        self._execution = create_execution(
            decision,
            shards,
            ExecutionTimes(
                now_ms, now_ms + OBJECTIVE_MS - 5.0, now_ms + DEADLINE_MS
            ),
            node.directory,
            node.placement,
            [node.budgets[shard] for shard in shards],
            node.latency_tracker,
        )

    def start(self):
        now_ms = self._simulation.now_ms
        self._apply(self._execution.start(now_ms))
        self._execution.record_sent(now_ms)
        self._check()

    def send_request(self, attempt):
        eligibility, now_ms = self._node.eligibility, self._simulation.now_ms
        limiter = eligibility.rate_limiter
        if not eligibility.allows(attempt.send.record, now_ms) or (
            limiter is not None
            and not limiter.admits_waiting(
                attempt.send.record,
                attempt.started_ms,
                get_demand_class(
                    self._decision.urgency, attempt.send.is_repeat
                ),
                now_ms,
            )
        ):
            self._simulation.schedule(0.0, lambda: attempt.withhold(''))
            return
        eligibility.record_send(attempt.send.record, now_ms)
        attempt.connection.send(self._request_id, attempt.handle_end)

    def handle_signals(self, attempt, outcome):
        """Pass on what the response says about its server."""
        if outcome.kind.has_response:
            self._node.handle_response(
                attempt.send.record,
                outcome.signals,
                attempt.connection.sent_ms,
            )

    def handle_end(self, attempt, outcome, waiting):
        now_ms = self._simulation.now_ms
        number = attempt.send.attempt
        if self._running.pop(number, None) is None:
            return
        attempt.record_outcome(
            self._node.placement,
            self._execution.attempt_key(number),
            self._decision,
            outcome,
            waiting,
            now_ms,
        )
        if not self._has_ended:
            self._apply(
                self._execution.handle_outcome(number, outcome, now_ms)
            )
            self._check()

    def _apply(self, actions):
        now_ms = self._simulation.now_ms
        for action in actions:
            if isinstance(action, Cancel):
                if action.attempt in self._running:
                    self._running[action.attempt].cancel()
                continue
            pool = self._node.pools[action.record.server_id]
            attempt = self._running[action.attempt] = ServerAttempt(
                self, action, pool, self._decision, self._arrived_ms, now_ms
            )
            pool.acquire(attempt)

    def _check(self):
        if self._has_ended:
            return
        now_ms = self._simulation.now_ms
        verdict = self._execution.determine_verdict(now_ms)
        if verdict is None:
            due_ms = self._execution.next_wakeup_ms(now_ms)
            self._simulation.schedule(
                max(due_ms - now_ms, 0.5), self._handle_timer
            )
            return
        self._has_ended = True
        for attempt in list(self._running.values()):
            attempt.cancel()
        urgency, elapsed_ms = self._decision.urgency, now_ms - self._arrived_ms
        free_ms = None
        if verdict is Verdict.NOT_RUN:
            free_ms = self._execution.free_ms(now_ms)
        self._on_end(
            CallerResult(
                self._request_id,
                urgency,
                elapsed_ms,
                verdict,
                self._execution.rate_wait_ms(now_ms)
                or (None if free_ms is None else free_ms - now_ms),
            )
        )

    def _handle_timer(self):
        if not self._has_ended:
            now_ms = self._simulation.now_ms
            self._apply(self._execution.start_due_hedges(now_ms))
            self._check()


class SimulatedNode:
    """A node with the product's placement, budgets and pools."""

    def __init__(
        self,
        simulation,
        servers,
        data_centre='dc',
        restrictions=(),
        rate_limiter=None,
        on_record=lambda record, now_ms: None,
    ):
        self.simulation = simulation
        self.eligibility = create_server_eligibility(
            restrictions, rate_limiter
        )
        self.directory = create_server_directory(on_record=on_record)
        for server_id in servers:
            shard = server_id.rpartition('/')[0]
            record = ServerRecord(server_id, shard, '', 'dc', SLOTS)
            self.directory.apply([ServerChange(server_id, record)], 0.0)
        self.budgets = {
            shard: create_repeat_budget(
                BUDGET_RATIO, BUDGET_SLACK / NODES, WINDOW_MS, -WINDOW_MS
            )
            for shard in SHARDS
        }
        self.latency_tracker = create_latency_tracker()
        metrics = create_metrics()
        limits = ConnectionLimits(CONNECTIONS_PER_NODE, CONNECTIONS_PER_NODE)
        self.pools = {
            server_id: ServerPool(
                server_id,
                limits,
                lambda _, on_idle_end, server=server: SimulatedConnection(
                    simulation, server, self
                ),
                metrics,
                lambda elapsed_ms: None,
            )
            for server_id, server in servers.items()
        }
        self.placement = create_placement(
            data_centre,
            self.latency_tracker,
            lambda server_id: self.pools[server_id].has_idle,
            simulation.rng,
            self.eligibility,
        )
        simulation.schedule(SWEEP_MS, self._sweep)

    def handle_response(self, record, signals, sent_ms):
        """Handle what a response says about its server."""

    def _sweep(self):
        self.placement.block_silent_servers(self.simulation.now_ms)
        self.simulation.schedule(SWEEP_MS, self._sweep)


class Load:
    """Callers that send queries at given rates to nodes with equal shares."""

    def __init__(self, seed):
        self.simulation = Simulation(seed)
        self.servers = {
            f'{shard}/{number}': SimulatedServer(self.simulation)
            for shard in SHARDS
            for number in range(SERVERS_PER_SHARD)
        }
        self.nodes = [
            SimulatedNode(self.simulation, self.servers) for _ in range(NODES)
        ]
        self.results = []
        self._ids = itertools.count()

    def play(self, load, duration_ms, repeats=0):
        """Play a load, as a multiple of what the servers' slots execute.

        Callers repeat a query that was not served at once, `repeats` times.
        Returns the results of the queries that ended meanwhile.
        """
        rng, simulation = self.simulation.rng, self.simulation
        started_ms, first = simulation.now_ms, len(self.results)
        per_ms = load * SERVERS_PER_SHARD * SLOTS / SERVICE_MS
        delay_ms = 0.0
        while delay_ms < duration_ms:
            send = functools.partial(self._send, rng.choice((0, 2)), repeats)
            simulation.schedule(delay_ms, send)
            delay_ms += rng.expovariate(per_ms)
        simulation.run(started_ms + duration_ms)
        return self.results[first:]

    def finish(self):
        """Let all requests end."""
        self.simulation.run(self.simulation.now_ms + 3.0 * DEADLINE_MS)

    def executed_ids(self):
        """Return the ids of all requests that any server has executed."""
        return set().union(*(s.executed for s in self.servers.values()))

    def count_repeats(self, shard):
        """Return how often a shard's servers got a request again."""
        arrived = [
            request_id
            for server_id, server in self.servers.items()
            if server_id.startswith(f'{shard}/')
            for request_id in server.arrived
        ]
        return len(arrived) - len(set(arrived))

    def _send(self, urgency, repeats):
        def end(caller_result):
            self.results.append(caller_result)
            if repeats and not caller_result.is_served:
                self._send(urgency, repeats - 1)

        decision = DECISION._replace(rule=f'query-{urgency}', urgency=urgency)
        node = self.simulation.rng.choice(self.nodes)
        _Request(node, f'request-{next(self._ids)}', decision, end).start()
