"""Runs the exchanges of one request until the request has a verdict."""

import contextlib
import typing

import eventlet
import eventlet.queue

from hawthornfold.gathering import Cancel
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import Send
from hawthornfold.gathering import Verdict

# Exchanges that the answer no longer needs are cancelled after this delay. A
# server that pauses briefly can still answer, so its connection is not lost.
CANCEL_DELAY_MS = 200.0
# Maximum number of failed attempts in a log line.
MAX_LISTED_FAULTS = 12

_CALLER_LEFT = object()


class RelayResult(typing.NamedTuple):
    """How a request ended.

    Parameters
    ----------
    verdict : Verdict or None
        None if the caller disconnected first.
    faults : tuple of str
        Attempts without an answer, as service/server/kind/detail/time.
    remote : int
        Number of attempts on servers in other data centres.
    """

    verdict: Verdict | None
    faults: tuple[str, ...]
    remote: int


class _RunningExchange:
    """A running attempt; `connection` is None unless it occupies one."""

    __slots__ = ('connection', 'is_cancelled', 'record')

    def __init__(self, record):
        self.record = record
        self.connection = None
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True
        if self.connection is not None:
            self.connection.abort()


class Relay:
    """Performs the exchanges that one `Execution` asks for.

    Parameters
    ----------
    state : GatewayState
        Connection pools, placement and settings.
    clock : Clock
        The node's clock.
    metrics : Metrics
        Receives counters.
    execution : Execution
        Decides which attempts to send and when the request ends.
    decision : Decision
        The rule of the request.
    request : OutgoingRequest
        What servers receive.
    """

    def __init__(self, state, clock, metrics, execution, decision, request):
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._execution = execution
        self._decision = decision
        self._request = request
        self._outcomes = eventlet.queue.LightQueue()
        self._running = {}
        self._faults = []
        self._remote_count = 0

    def notify_caller_left(self):
        """End the request because its caller has disconnected."""
        self._outcomes.put((_CALLER_LEFT, None))

    def run(self, deadline_ms):
        """Run the request to its end.

        Parameters
        ----------
        deadline_ms : float
            When the request times out, on the node's clock.

        Returns
        -------
        RelayResult
        """
        self._deadline_ms = deadline_ms
        execution = self._execution
        verdict = None
        try:
            self._apply_actions(execution.start(self._clock.now_ms()))
            verdict = self._wait_for_verdict()
        finally:
            self._cancel_running(verdict)
        return RelayResult(verdict, tuple(self._faults), self._remote_count)

    def _wait_for_verdict(self):
        execution = self._execution
        while True:
            now_ms = self._clock.now_ms()
            verdict = execution.determine_verdict(now_ms)
            if verdict is not None:
                return verdict
            wait_ms = execution.next_wakeup_ms(now_ms) - now_ms
            with contextlib.suppress(eventlet.queue.Empty):
                attempt, outcome = self._outcomes.get(
                    timeout=max(wait_ms, 0.5) / 1000.0
                )
                if attempt is _CALLER_LEFT:
                    return None
                now_ms = self._clock.now_ms()
                self._apply_actions(
                    execution.handle_outcome(attempt, outcome, now_ms)
                )
            self._apply_actions(
                execution.start_due_hedges(self._clock.now_ms())
            )

    def _apply_actions(self, actions):
        for action in actions:
            if isinstance(action, Send):
                exchange = _RunningExchange(action.record)
                self._running[action.attempt] = exchange
                local_data_centre = self._state.settings.data_centre
                self._remote_count += (
                    action.record.data_centre != local_data_centre
                )
                eventlet.spawn_n(self._run_exchange, action, exchange)
            elif isinstance(action, Cancel):
                exchange = self._running.get(action.attempt)
                if exchange is not None:
                    eventlet.spawn_after(
                        CANCEL_DELAY_MS / 1000.0, exchange.cancel
                    )

    def _cancel_running(self, verdict):
        remaining = list(self._running.values())
        if not remaining:
            return
        if verdict in (Verdict.COMPLETE, Verdict.PARTIAL):
            for exchange in remaining:
                eventlet.spawn_after(CANCEL_DELAY_MS / 1000.0, exchange.cancel)
        else:
            for exchange in remaining:
                exchange.cancel()

    def _run_exchange(self, send, exchange):
        outcome = ExchangeOutcome(OutcomeKind.LOST, None, 'internal error')
        started_ms = self._clock.now_ms()
        waiting_count = None
        try:
            outcome, waiting_count = self._perform_exchange(exchange)
        finally:
            self._running.pop(send.attempt, None)
            self._record_outcome(
                send, exchange, outcome, waiting_count, started_ms
            )
            self._outcomes.put((send.attempt, outcome))

    def _perform_exchange(self, exchange):
        record = exchange.record
        pool = self._state.get_pool(record)
        left_ms = self._deadline_ms - self._clock.now_ms()
        connection, reason = pool.acquire(self._decision.idempotent, left_ms)
        if connection is None:
            return ExchangeOutcome(OutcomeKind.UNREACHABLE, None, reason), None
        try:
            if exchange.is_cancelled:
                outcome = ExchangeOutcome(
                    OutcomeKind.UNREACHABLE, None, 'cancelled'
                )
                return outcome, None
            exchange.connection = connection
            return connection.exchange(
                self._request, record.server_id, self._deadline_ms
            )
        finally:
            exchange.connection = None
            pool.release(connection)

    def _record_outcome(
        self, send, exchange, outcome, waiting_count, started_ms
    ):
        now_ms = self._clock.now_ms()
        placement = self._state.placement
        server_id = exchange.record.server_id
        key = self._execution.attempt_key(send.attempt)
        kind = outcome.kind
        elapsed_ms = now_ms - started_ms
        if exchange.is_cancelled:
            self._metrics.count('exchanges', outcome='cancelled')
            placement.record_cancelled(
                server_id, key, self._decision, elapsed_ms, now_ms
            )
            return
        self._metrics.count('exchanges', outcome=kind.value)
        if kind is OutcomeKind.ANSWERED:
            placement.record_answer(
                server_id,
                key,
                self._decision,
                elapsed_ms,
                waiting_count,
                now_ms,
            )
            return
        if len(self._faults) < MAX_LISTED_FAULTS:
            self._faults.append(
                f'{exchange.record.service}/{server_id}/{kind.value}/'
                f'{outcome.detail}/{elapsed_ms:.0f}ms'
            )
        health = placement.health(server_id)
        if kind is OutcomeKind.WRONG_SERVER:
            health.mark_replaced(key)
            return
        is_absent = kind in (OutcomeKind.UNREACHABLE, OutcomeKind.LOST)
        health.record_failure(key, is_absent, now_ms)
