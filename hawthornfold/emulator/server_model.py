"""Model of one emulated backend server, a state machine without sockets.

The model decides which sub-requests are queued, run or refused. It updates the
ledger record in the same step in which work takes a slot, so that no work runs
without a record.
"""

import collections
import math
import random
import typing

import msgspec
import xxhash

from hawthornfold.emulator import ledger
from hawthornfold.emulator import server_spec

# Maximum number of past health reports, from which the health_lag_ms fault
# answers. Each change of state adds one.
MAX_HEALTH_REPORTS = 4096
# Changes of load add a report only if the previous one is at least this old.
MIN_LOAD_REPORT_INTERVAL_MS = 20.0


class HealthReport(typing.NamedTuple):
    """Body of ``GET /v1/health``.

    `load` is the number of running and queued sub-requests per slot.
    """

    incarnation: str
    draining: bool
    held: tuple[str, ...]
    load: float
    slots: int
    cold: bool


class ServerModel:
    """Slots, queue, deadlines, incarnation and faults of one server."""

    def __init__(self, spec, started_wall_ms, now_ms):
        self._spec = spec
        self._faults = server_spec.Faults()
        self._held = tuple(spec.held)
        self._random = random.Random(f'{spec.seed}/{spec.name}')
        self._log_mean = (
            math.log(max(spec.service_ms, 1e-3)) - spec.sigma**2 / 2
        )
        self._incarnation_count = 0
        self._incarnation = ''
        self._cold_until_ms = 0.0
        self._cold_factor = 1.0
        self._queue = collections.OrderedDict()
        self._due_ms = {}
        self._counts = collections.Counter()
        self._peak_running = 0
        self._health_history = collections.deque(maxlen=MAX_HEALTH_REPORTS)
        self.begin_incarnation(started_wall_ms, now_ms)

    @property
    def spec(self):
        """Properties of the server."""
        return self._spec

    @property
    def faults(self):
        """Faults in force."""
        return self._faults

    @property
    def held(self):
        """Names of the snapshots held."""
        return self._held

    @property
    def incarnation(self):
        """Name of the incarnation; later names sort after earlier ones."""
        return self._incarnation

    @property
    def reports_draining(self):
        """Whether replies and health reports state that the server drains."""
        return self._faults.draining

    @property
    def running(self):
        """Records of the sub-requests that occupy slots."""
        return tuple(self._due_ms)

    @property
    def queued(self):
        """Records of the sub-requests that wait for a slot, oldest first."""
        return tuple(self._queue)

    def counters(self):
        """Return the counts of work since the process started."""
        return {
            **{name: self._counts[name] for name in _COUNTERS},
            **{k: v for k, v in self._counts.items() if k.startswith('ref')},
            'peak_running': self._peak_running,
            'running': len(self._due_ms),
            'queued': len(self._queue),
        }

    def due_ms(self, record):
        """Return when the running `record` finishes, in monotonic ms."""
        return self._due_ms[record]

    def set_faults(self, faults, now_ms):
        """Replace the faults in force."""
        self._faults = faults
        self._record_health(now_ms)

    def set_held(self, held, now_ms):
        """Replace the snapshots held, as in a rolling upgrade."""
        self._held = tuple(held)
        self._record_health(now_ms)

    def begin_incarnation(self, wall_ms, now_ms, cold_ms=0.0, cold_factor=1.0):
        """Restart: cancel all work, stop draining, and start cold if asked.

        Parameters
        ----------
        wall_ms : int
            Start time, which is part of the incarnation's name.
        cold_ms : float
            Duration for which service times are multiplied by `cold_factor`.

        Returns
        -------
        tuple of Record
            Records of the cancelled work.
        """
        dropped = (*self._queue, *self._due_ms)
        for record in dropped:
            self._mark_cancelled(record, now_ms, 'restart')
        self._incarnation_count += 1
        self._incarnation = f'{wall_ms:013d}-{self._incarnation_count:04d}'
        self._cold_until_ms = now_ms + cold_ms
        self._cold_factor = cold_factor
        self._faults = msgspec.structs.replace(
            self._faults, draining=False, drain_flag_hidden=False
        )
        self._record_health(now_ms)
        return dropped

    def submit(self, record, now_ms):
        """Start, queue or refuse a sub-request that has just been received."""
        self._counts['received'] += 1
        reason = self._find_refusal_reason(record, now_ms)
        if reason:
            self._mark_refused(record, now_ms, reason)
        elif self._faults.silent is True:
            # A silent server never answers the request; it takes no slot.
            record.reason = 'silent'
        elif len(self._due_ms) < self._spec.slots:
            self._start(record, now_ms)
        else:
            self._queue[record] = None
        self._record_load(now_ms)

    def finish(self, record, now_ms):
        """Mark a running sub-request as run; ignore one that is not running.

        Returns
        -------
        tuple of Record
            Queued records that were started or refused as slots became free.
        """
        if record not in self._due_ms:
            return ()
        del self._due_ms[record]
        record.outcome = ledger.RAN
        record.finished_ms = now_ms
        self._counts['finished'] += 1
        return self._fill_slots(now_ms)

    def cancel(self, record, now_ms, reason):
        """End a queued or running sub-request, unless it has ended already.

        Returns
        -------
        tuple of Record
            Queued records that were started or refused as slots became free.
        """
        if not record.is_open:
            return ()
        if reason == 'deadline' and record.outcome == ledger.QUEUED:
            self._queue.pop(record, None)
            self._mark_refused(record, now_ms, reason)
            return ()
        self._mark_cancelled(record, now_ms, reason)
        return self._fill_slots(now_ms)

    def report_health(self, now_ms):
        """Return the `HealthReport` to send under the faults in force."""
        report = self._build_health_report(now_ms)
        if self._faults.health_lag_ms:
            limit = now_ms - self._faults.health_lag_ms
            report = self._health_history[0][1]
            for recorded_ms, recorded in reversed(self._health_history):
                if recorded_ms <= limit:
                    report = recorded
                    break
        if self._faults.load_report is not None:
            report = report._replace(load=self._faults.load_report)
        return report

    def choose_other_snapshot(self, snapshot):
        """Return another snapshot, or `snapshot` if it is the only one."""
        names = list(self._spec.shards)
        return names[(names.index(snapshot) + 1) % len(names)]

    def _find_refusal_reason(self, record, now_ms):
        """Return the reason to refuse `record`, or an empty string."""
        if self._faults.draining or self._faults.drain_flag_hidden:
            return 'draining'
        if record.snapshot not in self._held or not self._has_shards(record):
            return 'snapshot'
        if record.deadline_ms <= now_ms:
            return 'deadline'
        if self._is_selected(record, 'shed', self._faults.shed_share):
            return 'overloaded'
        is_full = len(self._due_ms) >= self._spec.slots
        if is_full and len(self._queue) >= self._spec.queue:
            return 'overloaded'
        return ''

    def _has_shards(self, record):
        specs = self._spec.shards.get(record.snapshot, ())
        names = {shard.name for shard in specs}
        return names.issuperset(record.shards)

    def _is_selected(self, record, purpose, share):
        """Return whether a fault that hits `share` of requests hits `record`.

        The choice depends only on the seed, the server and the request.
        """
        if share <= 0.0:
            return False
        key = (
            f'{purpose}/{self._spec.seed}/{self._spec.name}/'
            f'{record.request_id}/{record.attempt}'
        )
        return xxhash.xxh64_intdigest(key.encode()) < share * 2.0**64

    def _draw_service_ms(self, record, now_ms):
        duration = self._random.lognormvariate(
            self._log_mean, self._spec.sigma
        )
        if now_ms < self._cold_until_ms:
            duration *= self._cold_factor
        if self._is_selected(record, 'slow', self._faults.slow_share):
            duration *= self._faults.slow_factor
        return duration

    def _start(self, record, now_ms):
        record.outcome = ledger.RUNNING
        record.started_ms = now_ms
        self._due_ms[record] = now_ms + self._draw_service_ms(record, now_ms)
        self._peak_running = max(self._peak_running, len(self._due_ms))
        self._counts['started'] += 1

    def _mark_refused(self, record, now_ms, reason):
        record.outcome = ledger.REFUSED
        record.reason = reason
        record.finished_ms = now_ms
        self._counts['refused'] += 1
        self._counts[f'refused_{reason}'] += 1

    def _mark_cancelled(self, record, now_ms, reason):
        self._queue.pop(record, None)
        if self._due_ms.pop(record, None) is not None:
            record.outcome = ledger.CANCELLED_RUNNING
            self._counts['cancelled_running'] += 1
        else:
            record.outcome = ledger.CANCELLED_QUEUED
            self._counts['cancelled_queued'] += 1
        record.reason = reason
        record.finished_ms = now_ms

    def _fill_slots(self, now_ms):
        """Start queued work in free slots; refuse it after its deadline."""
        changed = []
        while self._queue and len(self._due_ms) < self._spec.slots:
            record, _ = self._queue.popitem(last=False)
            if record.deadline_ms <= now_ms:
                self._mark_refused(record, now_ms, 'deadline')
            else:
                self._start(record, now_ms)
            changed.append(record)
        self._record_load(now_ms)
        return tuple(changed)

    def _build_health_report(self, now_ms):
        held = len(self._due_ms) + len(self._queue)
        return HealthReport(
            self._incarnation,
            self.reports_draining,
            self._held,
            round(held / self._spec.slots, 3),
            self._spec.slots,
            now_ms < self._cold_until_ms,
        )

    def _record_health(self, now_ms):
        self._health_history.append(
            (now_ms, self._build_health_report(now_ms))
        )

    def _record_load(self, now_ms):
        if now_ms - self._health_history[-1][0] >= MIN_LOAD_REPORT_INTERVAL_MS:
            self._record_health(now_ms)


_COUNTERS = (
    'received',
    'started',
    'finished',
    'refused',
    'cancelled_queued',
    'cancelled_running',
)


def create_server_model(spec, started_wall_ms=0, now_ms=0.0):
    """Create the model of one server.

    Examples
    --------
    >>> shards = {'s1': [server_spec.ShardSpec('x', 1)]}
    >>> spec = server_spec.ServerSpec('a1', 'a', 0, shards, ['s1'])
    >>> create_server_model(spec).report_health(0.0).load
    0.0
    """
    return ServerModel(spec, started_wall_ms, now_ms)
