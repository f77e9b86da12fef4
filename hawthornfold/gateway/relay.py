"""Runs the exchanges of one request until the request has a verdict."""

import itertools

from eventlet import hubs
import eventlet.event
import logbook

from hawthornfold.eligibility import get_demand_class
from hawthornfold.gateway.attempts import ServerAttempt
from hawthornfold.gateway.relay_result import RelayResult
from hawthornfold.gathering import NO_SIGNALS
from hawthornfold.gathering import Cancel
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import Send
from hawthornfold.gathering import SendGroup
from hawthornfold.gathering import Verdict

# Exchanges that the answer no longer needs are cancelled after this delay. A
# server that pauses briefly can still answer, so its connection is not lost.
CANCEL_DELAY_MS = 200.0
# Maximum number of failed attempts, and of pending ones, in a log line.
MAX_LISTED_FAULTS = 12

_LOG = logbook.Logger('request')


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
    group_calls : GroupCalls, optional
        The groups of parts that other nodes gather.
    observer : RelayObserver, optional
        Reports the progress.
    """

    def __init__(
        self,
        state,
        clock,
        metrics,
        execution,
        decision,
        request,
        group_calls=None,
        observer=None,
    ):
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._execution = execution
        self._decision = decision
        self._request = request
        self._deadline_ms = 0.0
        self._data_centre = state.settings.data_centre
        self._group_calls = group_calls
        self._observer = observer
        self._running = {}
        self._faults = []
        self._signals = []
        self._started_ms = 0.0
        self._sent_parts = 0
        self._send_ms = 0.0
        self._remote_count = 0
        self._hub = hubs.get_hub()
        self._timer = None
        self._timer_due_ms = 0.0
        self._end = eventlet.event.Event()

    def end(self, verdict=None):
        """End the request, without a verdict if its caller disconnected."""
        self._end_request(verdict)

    def end_attempts(self, detail):
        """End the running attempts, since they cannot be answered."""
        for attempt, exchange in tuple(self._running.items()):
            # The end of one attempt may end the request and the others.
            if attempt in self._running:
                exchange.give_up(detail)

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
        verdict = None
        try:
            if not self._end.ready():
                self._start()
            verdict = self._end.wait()
        finally:
            self._end_request(None)
            pending = self._describe_pending()
            self._cancel_running(verdict)
        helpers = ()
        if self._group_calls is not None:
            helpers = self._group_calls.describe()
        return RelayResult(
            verdict,
            tuple(self._faults),
            self._remote_count,
            helpers,
            self._sent_parts,
            self._send_ms,
            pending,
            tuple(self._signals),
        )

    def _describe_pending(self):
        now_ms = self._clock.now_ms()
        return tuple(
            exchange.describe(now_ms)
            for exchange in itertools.islice(
                self._running.values(), MAX_LISTED_FAULTS
            )
        )

    def _start(self):
        started_ms = self._started_ms = self._clock.now_ms()
        actions = self._execution.start(started_ms)
        self._apply_actions(actions, started_ms)
        now_ms = self._clock.now_ms()
        self._execution.record_sent(now_ms)
        self._sent_parts = len(self._running)
        self._send_ms = now_ms - started_ms
        self._check_verdict(now_ms)

    def handle_group_answers(self, attempt, reply):
        """Record answers that another node has gathered.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `SendGroup`.
        reply : PartsReply
            The answers.
        """
        self._handle_group(self._record_group_answers, attempt, reply)

    def handle_group_not_run(self, attempt, reply):
        """Record parts of a group that another node will not run.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `SendGroup`.
        reply : PartsReply
            The parts.
        """
        self._handle_group(
            self._execution.handle_group_not_run,
            attempt,
            reply.unsent,
            reply.not_executed,
        )

    def may_resend_group(self, attempt):
        """Return whether the parts of a group may be sent again now."""
        return not self._end.ready() and self._execution.may_resend_group(
            attempt, self._clock.now_ms()
        )

    def handle_group_end(self, attempt, end):
        """Record that another node gathers a group of parts no longer."""
        self._handle_group(self._execution.handle_group_end, attempt, end)

    def _record_group_answers(self, attempt, reply, now_ms):
        answers = tuple(zip(reply.parts, reply.seals, strict=True))
        return self._execution.handle_group_answers(
            attempt, answers, reply.records, now_ms
        )

    def _handle_group(self, handle, *arguments):
        """Continue the request after a report of another node.

        Parameters
        ----------
        handle : callable
            Method of the execution; takes the arguments and the current time,
            and returns what to send.
        """
        if self._end.ready():
            return
        try:
            now_ms = self._clock.now_ms()
            self._apply_actions(handle(*arguments, now_ms), now_ms)
            self._check_verdict(now_ms)
        except Exception as error:  # noqa: BLE001
            self._end_with_error(error)

    def _end_request(self, verdict):
        if not self._end.ready():
            self._end.send(verdict)
        self._cancel_timer()

    def _check_verdict(self, now_ms):
        """End the request, or schedule the next check of it."""
        verdict = self._execution.determine_verdict(now_ms)
        if verdict is not None:
            self._end_request(verdict)
            return
        if self._observer is not None:
            self._observer.handle_progress(self._execution, now_ms)
        due_ms = self._execution.next_wakeup_ms(now_ms)
        if self._observer is not None:
            report_ms = self._observer.next_report_ms(now_ms)
            if report_ms is not None:
                due_ms = min(due_ms, report_ms)
        # A timer that fires early schedules the next one. Replacing it after
        # each outcome would cost more.
        if self._timer is None or due_ms < self._timer_due_ms:
            self._cancel_timer()
            self._timer_due_ms = due_ms
            self._timer = self._hub.schedule_call_global(
                max(due_ms - now_ms, 0.5) / 1000.0, self._handle_timer
            )

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timer(self):
        # The loop runs timers before it reads sockets. What has arrived while
        # it was busy is handled first, so that no part is hedged whose
        # response is only unread.
        self._timer = self._hub.schedule_call_global(0, self._handle_due)

    def _handle_due(self):
        self._timer = None
        try:
            now_ms = self._clock.now_ms()
            self._repeat_parts(
                self._execution.start_due_hedges(now_ms), now_ms
            )
            self._check_verdict(now_ms)
        except Exception as error:  # noqa: BLE001
            self._end_with_error(error)

    def _end_with_error(self, error):
        """Pass an error of a callback to the green thread of the request."""
        if self._end.ready():
            _LOG.exception('event=relay_failed')
        else:
            self._end.send_exception(error)

    def _apply_actions(self, actions, now_ms):
        for action in actions:
            if isinstance(action, Send):
                self._start_exchange(action, now_ms)
            elif isinstance(action, Cancel):
                self._cancel_later(self._running.get(action.attempt))
            elif isinstance(action, SendGroup):
                self._group_calls.start(action, self)

    def _start_exchange(self, send, now_ms):
        state = self._state
        record = send.record
        if record.data_centre != self._data_centre:
            self._remote_count += 1
        pool = state.get_pool(record)
        exchange = self._running[send.attempt] = ServerAttempt(
            self, send, pool, self._decision, self._started_ms, now_ms
        )
        pool.acquire(exchange)

    def send_request(self, exchange):
        """Send the request on the connection of an exchange.

        It may have waited for the connection, so the server is checked again.
        """
        record = exchange.send.record
        now_ms = self._clock.now_ms()
        if not (
            self._state.may_send(record, now_ms)
            and self._state.rate_limiter.admits_waiting(
                record,
                exchange.started_ms,
                get_demand_class(
                    self._decision.urgency, exchange.send.is_repeat
                ),
                now_ms,
            )
        ):
            # Releasing the connection at once would serve the next request
            # that waits for it within this call, and so on for all of them.
            self._hub.schedule_call_global(
                0, exchange.withhold, 'not available now'
            )
            return
        self._state.eligibility.record_send(record, now_ms)
        if self._state.rate_limiter.is_limited(record.server_id):
            self._count_limited(exchange)
        exchange.connection.start_exchange(
            self._request,
            record.server_id,
            self._deadline_ms,
            exchange.handle_end,
        )

    def _count_limited(self, exchange):
        kind = 'first'
        if exchange.send.is_repeat:
            kind = 'repeat'
        elif self._observer is not None:
            kind = 'group'
        self._metrics.count('limited_server_requests', kind=kind)

    def handle_signals(self, exchange, outcome):
        """Apply what a response says about its server."""
        record, signals = exchange.send.record, outcome.signals
        try:
            if outcome.kind.has_response and signals.rate_limit is None:
                self._state.signals.handle_no_limit(
                    record, exchange.connection.sent_ms, self._clock.now_ms()
                )
            if signals.is_leaving or signals.rate_limit is not None:
                self._signals.append((record, signals))
            if signals.is_leaving and self._observer is not None:
                self._observer.handle_leaving(record)
            if signals is not NO_SIGNALS:
                self._state.handle_signals(
                    record, signals, self._clock.now_ms()
                )
        except Exception as error:  # noqa: BLE001
            self._end_with_error(error)

    def handle_end(self, exchange, outcome, waiting_count):
        """Continue the request after the end of an exchange."""
        attempt = exchange.send.attempt
        self._running.pop(attempt, None)
        try:
            now_ms = self._clock.now_ms()
            self._record_outcome(exchange, outcome, waiting_count, now_ms)
            if outcome.is_interrupted and not exchange.is_cancelled:
                self._state.interruptions.handle(
                    self._request,
                    self._decision,
                    exchange.send.record,
                    self._execution.is_testing,
                    lambda has_ended: self._handle_checked(
                        attempt, outcome, has_ended
                    ),
                )
            else:
                self._continue_request(attempt, outcome)
        except Exception as error:  # noqa: BLE001
            self._end_with_error(error)

    def _handle_checked(self, attempt, outcome, has_server_ended):
        try:
            self._continue_request(attempt, outcome, has_server_ended)
        except Exception as error:  # noqa: BLE001
            self._end_with_error(error)

    def _continue_request(self, attempt, outcome, has_server_ended=False):
        if self._end.ready():
            return
        now_ms = self._clock.now_ms()
        if has_server_ended:
            actions = self._execution.handle_server_end(attempt, now_ms)
        else:
            actions = self._execution.handle_outcome(attempt, outcome, now_ms)
        self._repeat_parts(actions, now_ms)
        self._check_verdict(now_ms)

    def _repeat_parts(self, actions, now_ms):
        """Apply actions after the first attempts."""
        if self._observer is not None and any(
            isinstance(action, Send) for action in actions
        ):
            self._observer.handle_repeats(self._execution)
        self._apply_actions(actions, now_ms)

    def _cancel_running(self, verdict):
        remaining = list(self._running.values())
        if verdict in (Verdict.COMPLETE, Verdict.PARTIAL):
            for exchange in remaining:
                self._cancel_later(exchange)
        else:
            for exchange in remaining:
                self._cancel(exchange)
        if self._group_calls is not None:
            self._group_calls.cancel()

    def _cancel_later(self, exchange):
        if exchange is not None:
            self._hub.schedule_call_global(
                CANCEL_DELAY_MS / 1000.0, self._cancel, exchange
            )

    def _cancel(self, exchange):
        if exchange.send.attempt in self._running:
            exchange.cancel()

    def _record_outcome(self, exchange, outcome, waiting_count, now_ms):
        key = self._execution.attempt_key(exchange.send.attempt)
        record = exchange.send.record
        current = self._state.directory.get(record.server_id)
        if current is not None and record.is_replaced_by(current):
            # It says nothing about the process that has the id now.
            self._state.placement.health(record.server_id).discard(key)
        else:
            exchange.record_outcome(
                self._state.placement,
                key,
                self._decision,
                outcome,
                waiting_count,
                now_ms,
                self._state.signals.requests_pause(outcome.signals),
            )
        if exchange.is_cancelled:
            self._metrics.count('exchanges', outcome='cancelled')
            return
        kind = outcome.kind
        self._metrics.count('exchanges', outcome=kind.value)
        if (
            kind is not OutcomeKind.ANSWERED
            and len(self._faults) < MAX_LISTED_FAULTS
        ):
            record = exchange.send.record
            self._faults.append(
                f'{record.service}/{record.server_id}/{kind.value}/'
                f'{outcome.detail}/{exchange.elapsed_ms(now_ms):.0f}ms'
            )
