"""Serves the HTTP port of one emulated backend server."""

import eventlet
import msgspec

from hawthornfold.emulator import corpus
from hawthornfold.emulator import ledger
from hawthornfold.emulator import web

# Number of bytes by which the body of a truncated reply is shorter than its
# Content-Length.
MISSING_BYTES = 64


class SearchRequest(msgspec.Struct):
    """Body of ``POST /v1/search``."""

    request_id: str
    attempt: int
    snapshot: str
    deadline_ms: float
    shards: tuple[str, ...]
    kind: str = 'search'
    text: str = ''
    limit: int = 10


class _Answer(msgspec.Struct):
    request_id: str
    attempt: int
    snapshot: str
    held: tuple[str, ...]
    incarnation: str
    draining: bool
    answers: list[msgspec.Raw]


_DECODER = msgspec.json.Decoder(SearchRequest)
_ENCODER = msgspec.json.Encoder()


class ServerPort:
    """Serves the requests to a `ServerModel` on its TCP port.

    Parameters
    ----------
    model : ServerModel
        State of the server.
    records : Ledger
        Receives a record for each sub-request.
    clock : Clock
        Source of wall-clock and monotonic time.
    """

    def __init__(self, model, records, clock):
        self._model = model
        self._records = records
        self._clock = clock
        spec = model.spec
        self._server = web.HttpServer(
            self._handle_request, spec.port, spec.connections, spec.connect_ms
        )
        self._waiting_connections = {}
        self._previous_ids = ('none', 0)
        self._indexes = {
            (snapshot, shard.name): corpus.load_shard(
                spec.corpus_seed,
                spec.group,
                snapshot,
                shard.name,
                shard.weight,
                shard.part,
                shard.documents,
            )
            for snapshot, shards in spec.shards.items()
            for shard in shards
        }

    @property
    def model(self):
        """The state of the server."""
        return self._model

    @property
    def port(self):
        """The TCP port."""
        return self._server.port

    def counters(self):
        """Return the counts of work and of connections."""
        return {
            **self._model.counters(),
            'connections': len(self._server.connections),
            'connections_opened': self._server.opened_count,
            'connections_refused': self._server.refused_count,
            'peak_connections': self._server.peak_connections,
        }

    def start(self):
        """Listen on the port."""
        self._server.start()

    def stop(self):
        """Close the port and all connections; cancel all work."""
        self._server.stop()
        self._begin_incarnation()

    def restart(self, cold_ms=0.0, cold_factor=1.0):
        """Close all connections and begin a new incarnation."""
        self._server.close_connections()
        self._begin_incarnation(cold_ms, cold_factor)

    def set_faults(self, faults):
        """Replace the faults in force."""
        self._server.is_refusing = faults.refuse_connections
        if faults.stall_connections:
            for connection in self._server.connections:
                connection.is_stalled = True
        self._model.set_faults(faults, self._clock.now_ms())

    def set_held(self, held):
        """Replace the snapshots held."""
        self._model.set_held(held, self._clock.now_ms())

    def _begin_incarnation(self, cold_ms=0.0, cold_factor=1.0):
        dropped = self._model.begin_incarnation(
            self._clock.wall_ms(), self._clock.now_ms(), cold_ms, cold_factor
        )
        self._wake(dropped)

    def _wake(self, records):
        for record in records:
            connection = self._waiting_connections.get(record)
            if connection is not None:
                connection.wake()

    def _handle_request(self, request):
        if request.connection.is_stalled:
            self._hold_connection(request.connection)
        if request.path == '/v1/search':
            return self._handle_search(request)
        if request.path == '/v1/health':
            if self._model.faults.health_silent:
                self._hold_connection(request.connection)
            report = self._model.report_health(self._clock.now_ms())
            return web.encode_reply(report._asdict())
        return web.encode_not_found(request)

    def _hold_connection(self, connection):
        """Send no answer; abort once the client has closed the connection."""
        while connection.wait() != 'closed':
            pass
        raise web.ConnectionAborted

    def _handle_search(self, request):
        try:
            work = _DECODER.decode(request.body)
        except msgspec.DecodeError as error:
            return web.encode_reply({'ran': False, 'detail': str(error)}, 400)
        request.connection.send_pending_response()
        now_ms = self._clock.now_ms()
        record = self._records.open_record(
            self._model.spec.name,
            self._model.incarnation,
            request.connection.number,
            work.request_id,
            work.attempt,
            work.shards,
            work.snapshot,
            now_ms,
            now_ms + work.deadline_ms,
        )
        self._model.submit(record, now_ms)
        if record.is_open:
            self._waiting_connections[record] = request.connection
            try:
                self._wait_until_ended(record, request.connection)
            finally:
                del self._waiting_connections[record]
        return self._build_reply(request.connection, work, record)

    def _wait_until_ended(self, record, connection):
        """Suspend until the work ends; cancel it if the client closes."""
        while record.is_open:
            now_ms = self._clock.now_ms()
            due_ms = record.deadline_ms
            if record.outcome == ledger.RUNNING:
                due_ms = min(due_ms, self._model.due_ms(record))
            timeout_s = (due_ms - now_ms) / 1000.0
            if record.reason == 'silent':
                timeout_s = None
            event = connection.wait(timeout_s)
            now_ms = self._clock.now_ms()
            if event == 'closed':
                self._wake(self._model.cancel(record, now_ms, 'closed'))
            elif event == 'timeout' and record.is_open:
                self._end_due_work(record, now_ms)

    def _end_due_work(self, record, now_ms):
        """End work that is due to finish, or else has reached its deadline."""
        if record.outcome == ledger.RUNNING:
            due_ms = self._model.due_ms(record)
            if due_ms <= record.deadline_ms:
                if now_ms >= due_ms:
                    self._wake(self._model.finish(record, now_ms))
                return
        if now_ms >= record.deadline_ms:
            self._wake(self._model.cancel(record, now_ms, 'deadline'))

    def _build_reply(self, connection, work, record):
        if connection.is_stalled:
            self._hold_connection(connection)
        if record.outcome == ledger.RAN:
            return self._build_answer_reply(connection, work)
        if record.reason in ('closed', 'restart'):
            raise web.ConnectionAborted
        body = {
            'request_id': work.request_id,
            'attempt': work.attempt,
            'ran': record.started_ms is not None,
            'reason': record.reason,
        }
        status = 409 if record.reason == 'snapshot' else 503
        return web.Reply(
            status,
            _ENCODER.encode(body),
            _build_id_headers(work.request_id, work),
        )

    def _build_answer_reply(self, connection, work):
        faults = self._model.faults
        if faults.silent:
            self._hold_connection(connection)
        if faults.late_ms:
            # The work has run already; the fault delays only its answer.
            eventlet.sleep(faults.late_ms / 1000.0)
        request_id, attempt = work.request_id, work.attempt
        if faults.crossed:
            request_id, attempt = self._previous_ids
        self._previous_ids = (work.request_id, work.attempt)
        body = self._encode_answer(
            work, request_id, attempt, faults.wrong_snapshot
        )
        headers = (
            ('X-Request-Id', request_id),
            ('X-Attempt', str(attempt)),
        )
        extra = MISSING_BYTES if faults.truncate else 0
        if faults.duplicate:
            # A client that reads ahead discards a duplicate that follows at
            # once. Sent in front of the next response, the duplicate is read
            # as the reply to the next request.
            connection.pending_response = _encode_raw_response(headers, body)
        return web.Reply(200, body, headers, extra)

    def _encode_answer(self, work, request_id, attempt, wrong_snapshot):
        snapshot, shards = work.snapshot, work.shards
        if wrong_snapshot:
            snapshot = self._model.choose_other_snapshot(snapshot)
            names = [s.name for s in self._model.spec.shards[snapshot]]
            # A snapshot with another partition has other shards.
            shards = [s if s in names else names[0] for s in shards]
        return _ENCODER.encode(
            _Answer(
                request_id,
                attempt,
                snapshot,
                self._model.held,
                self._model.incarnation,
                self._model.reports_draining,
                [
                    self._indexes[snapshot, shard].encode_answer(
                        work.kind, work.text, work.limit
                    )
                    for shard in shards
                ],
            )
        )


def _build_id_headers(request_id, work):
    return (('X-Request-Id', request_id), ('X-Attempt', str(work.attempt)))


def _encode_raw_response(headers, body):
    lines = ['HTTP/1.1 200 OK', 'Content-Type: application/json']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body
