"""One attempt of a request at a server."""

import logbook

from hawthornfold.gateway.pools import ConnectionUser
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import OutcomeKind

_LOG = logbook.Logger('request')


class ServerAttempt(ConnectionUser):
    """A running attempt, which waits for a connection or occupies one.

    Parameters
    ----------
    relay : Relay
        Sends the request once there is a connection; is notified of the end.
    send : Send
        The server, part and number of the attempt.
    pool : ServerPool
        Connections to the server.
    decision : Decision
        The rule of the request.
    arrived_ms : float
        When the node started the request.
    started_ms : float
        When the attempt starts.
    """

    __slots__ = (
        'connection',
        'is_cancelled',
        'is_idempotent',
        'pool',
        'priority',
        'relay',
        'send',
        'started_ms',
    )

    def __init__(self, relay, send, pool, decision, arrived_ms, started_ms):
        # While requests have to wait, the newest goes first. After a backlog
        # of requests that are late already, those that can still be answered
        # in time would become late otherwise. All servers order the parts of a
        # request alike, so that it is either answered or waits as a whole.
        self.priority = (decision.urgency, -arrived_ms)
        self.relay = relay
        self.send = send
        self.pool = pool
        self.is_idempotent = decision.idempotent
        self.started_ms = started_ms
        self.connection = None
        self.is_cancelled = False

    def handle_connection(self, connection, reason):
        """Send the request, or end the attempt without a connection."""
        if connection is None:
            self._end_unreachable(reason)
            return
        self.connection = connection
        try:
            self.relay.send_request(self)
        except Exception as error:  # noqa: BLE001
            # In the event loop, or in the release of another attempt's
            # connection, it would leave this attempt without an end.
            _LOG.exception('event=send_failed')
            connection.close()
            self.handle_end(
                ExchangeOutcome(OutcomeKind.LOST, None, repr(error)), None
            )

    def withhold(self, detail):
        """End the attempt before it is sent."""
        connection, self.connection = self.connection, None
        if connection is not None:
            self.pool.release(connection)
        self.handle_end(
            ExchangeOutcome(OutcomeKind.WITHHELD, None, detail), None
        )

    def handle_end(self, outcome, waiting_count):
        """Release the connection and report the end of the exchange."""
        # Before the release: the next request that waits for the connection
        # is sent within it, but not to a server that wants no more requests.
        self.relay.handle_signals(self, outcome)
        if self.connection is not None:
            self.pool.release(self.connection)
        self.relay.handle_end(self, outcome, waiting_count)

    def cancel(self):
        """Break the exchange off, or stop waiting for a connection."""
        self.is_cancelled = True
        if self.connection is not None:
            self.connection.abort()
        else:
            self._end_unreachable('cancelled')

    def give_up(self, detail):
        """End the attempt as failed, because the node's links have failed."""
        if self.connection is not None:
            self.connection.reset(detail)
            return
        self.handle_end(
            ExchangeOutcome(OutcomeKind.UNREACHABLE, None, detail), None
        )
        # The pool is not to hand over a connection any more.
        self.is_cancelled = True

    def elapsed_ms(self, now_ms):
        """Return how long the attempt has taken, in milliseconds.

        Once there is a connection, neither the node's own work nor opening the
        connection counts.
        """
        if self.connection is None:
            return now_ms - self.started_ms
        return now_ms - self.connection.sent_ms

    def record_outcome(
        self,
        placement,
        key,
        decision,
        outcome,
        waiting_count,
        now_ms,
        requests_pause=False,
    ):
        """Record in a `Placement` what the end of the attempt shows.

        Parameters
        ----------
        placement : Placement
            Tracks the health of the servers.
        key : tuple
            Unique among the attempts of all requests.
        decision : Decision
            The rule of the request.
        outcome, waiting_count : ExchangeOutcome, int or None
            As for `handle_end`.
        now_ms : float
            Current time on the node's clock.
        requests_pause : bool
            Whether the server's response requests a pause.
        """
        server_id = self.send.record.server_id
        elapsed_ms = self.elapsed_ms(now_ms)
        kind = outcome.kind
        if kind.has_response:
            placement.isolation.record_contact(now_ms)
        elif not self.is_cancelled and kind is OutcomeKind.LOST:
            placement.isolation.record_lost(server_id)
        elif not self.is_cancelled and kind is OutcomeKind.UNREACHABLE:
            placement.isolation.record_unreachable(server_id)
        if kind is OutcomeKind.WITHHELD:
            placement.health(server_id).discard(key)
        elif self.is_cancelled:
            placement.record_cancelled(
                server_id, key, decision, elapsed_ms, now_ms
            )
        elif kind is OutcomeKind.ANSWERED:
            placement.record_answer(
                server_id, key, decision, elapsed_ms, waiting_count, now_ms
            )
        elif requests_pause and kind is not OutcomeKind.LOST:
            placement.health(server_id).record_refusal(key, now_ms)
        elif kind is OutcomeKind.WRONG_SERVER:
            placement.health(server_id).record_replaced(key, now_ms)
        else:
            is_absent = kind in (OutcomeKind.UNREACHABLE, OutcomeKind.LOST)
            placement.health(server_id).record_failure(key, is_absent, now_ms)

    def describe(self, now_ms):
        """Return service/server/state/time, for the log."""
        state = 'waiting' if self.connection is None else 'sent'
        record = self.send.record
        return (
            f'{record.service}/{record.server_id}/{state}/'
            f'{self.elapsed_ms(now_ms):.0f}ms'
        )

    def _end_unreachable(self, reason):
        self.handle_end(
            ExchangeOutcome(OutcomeKind.UNREACHABLE, None, reason), None
        )
