import unittest

import hypothesis
from hypothesis import strategies

from hawthornfold.emulator import ledger
from hawthornfold.emulator import server_model
from hawthornfold.emulator import server_spec
from hawthornfold.emulator.tests import clients

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['submit', 'finish', 'close', 'deadline', 'restart', 'drain']
        ),
        strategies.integers(0, 5),
    ),
    max_size=60,
)


class _ModelHarness:
    """A model, its ledger and the records that a test saw in its slots."""

    def __init__(self, **changes):
        self.records = ledger.create_ledger()
        self.model = server_model.create_server_model(
            clients.create_spec(**changes)
        )
        self.now_ms = 0.0
        self.seen_running = set()

    def submit(self, deadline_ms=1000.0, **changes):
        fields = {'shards': ('a',), 'snapshot': 's1', **changes}
        record = self.records.open_record(
            'b1',
            self.model.incarnation,
            1,
            f'q{len(self.records.list_records())}',
            1,
            fields['shards'],
            fields['snapshot'],
            self.now_ms,
            self.now_ms + deadline_ms,
        )
        self.model.submit(record, self.now_ms)
        return record

    def apply_step(self, action, number):
        model = self.model
        self.now_ms += 1.0
        pending = (*model.running, *model.queued)
        if action == 'submit':
            self.submit(deadline_ms=number * 4.0)
        elif action == 'restart':
            model.begin_incarnation(0, self.now_ms)
        elif action == 'drain':
            faults = server_spec.Faults(draining=number % 2 == 0)
            model.set_faults(faults, self.now_ms)
        elif action == 'finish' and model.running:
            running = model.running
            model.finish(running[number % len(running)], self.now_ms)
        elif action in ('close', 'deadline') and pending:
            cause = 'closed' if action == 'close' else action
            chosen = pending[number % len(pending)]
            model.cancel(chosen, self.now_ms, cause)
        self.seen_running.update(model.running)


class ServerModelTest(unittest.TestCase):
    # Guards against work that runs without a ledger record, or that the ledger
    # and so the reply report as not run. The at-most-once experiments rely on
    # the ledger.
    @hypothesis.given(_STEPS)
    @hypothesis.settings(deadline=None, max_examples=200)
    def test_ledger_never_misses_work_that_ran(self, steps):
        harness = _ModelHarness(slots=2, queue=2)
        for action, number in steps:
            harness.apply_step(action, number)
            self.assertLessEqual(len(harness.model.running), 2)
            self.assertLessEqual(len(harness.model.queued), 2)
            if action == 'restart':
                self.assertFalse(harness.model.running or harness.model.queued)
        for record in harness.records.list_records():
            ran = record in harness.seen_running
            self.assertEqual(ran, record.started_ms is not None)
            never_ran = (ledger.REFUSED, ledger.CANCELLED_QUEUED)
            if record.outcome in never_ran:
                self.assertFalse(ran)
            elif record.outcome != ledger.QUEUED:
                self.assertTrue(ran)

    # Guards against a queue that reorders work or leaves a free slot unused.
    def test_queue_is_first_in_first_out(self):
        harness = _ModelHarness(slots=1, queue=2)
        first, second, third = (harness.submit() for _ in range(3))
        self.assertEqual('overloaded', harness.submit().reason)
        self.assertEqual((second,), harness.model.finish(first, 1.0))
        self.assertEqual((third,), harness.model.cancel(second, 2.0, 'closed'))
        self.assertEqual(ledger.CANCELLED_RUNNING, second.outcome)

    # Guards against queued work that starts after its deadline.
    def test_expired_queued_work_is_refused_when_a_slot_is_free(self):
        harness = _ModelHarness(slots=1)
        first = harness.submit()
        late = harness.submit(deadline_ms=5.0)
        self.assertEqual((late,), harness.model.finish(first, 10.0))
        self.assertEqual(
            (ledger.REFUSED, 'deadline'), _outcome_and_reason(late)
        )
        self.assertIsNone(late.started_ms)

    # Guards against empty answers for unknown shards and snapshots.
    def test_unknown_snapshot_and_shard_are_refused(self):
        harness = _ModelHarness()
        refused = (ledger.REFUSED, 'snapshot')
        self.assertEqual(
            refused, _outcome_and_reason(harness.submit(snapshot='s2'))
        )
        self.assertEqual(
            refused, _outcome_and_reason(harness.submit(shards=('z',)))
        )

    # Guards against a restart that keeps the drain state or the incarnation,
    # or that ignores the cold start.
    def test_restart_ends_draining_and_starts_cold(self):
        harness = _ModelHarness()
        before = harness.model.incarnation
        harness.model.set_faults(server_spec.Faults(draining=True), 0.0)
        harness.model.begin_incarnation(0, 1.0, cold_ms=10.0, cold_factor=5.0)
        self.assertLess(before, harness.model.incarnation)
        report = harness.model.report_health(2.0)
        self.assertEqual((False, True), (report.draining, report.cold))
        self.assertFalse(harness.model.report_health(11.0).cold)

    # Guards against health reports that ignore the lag fault or the load
    # fault.
    def test_health_report_shows_lag_and_load_faults(self):
        harness = _ModelHarness()
        lag = server_spec.Faults(draining=True, health_lag_ms=100.0)
        harness.model.set_faults(lag, 50.0)
        self.assertFalse(harness.model.report_health(149.0).draining)
        self.assertTrue(harness.model.report_health(150.0).draining)
        wrong_load = server_spec.Faults(load_report=0.5)
        harness.model.set_faults(wrong_load, 200.0)
        self.assertEqual(0.5, harness.model.report_health(200.0).load)

    # Guards against a fault share that hits all requests or none.
    def test_fault_share_hits_some_requests(self):
        harness = _ModelHarness(slots=100)
        harness.model.set_faults(server_spec.Faults(shed_share=0.3), 0.0)
        outcomes = [harness.submit().outcome for _ in range(100)]
        self.assertTrue(10 < outcomes.count(ledger.REFUSED) < 60)


def _outcome_and_reason(record):
    return record.outcome, record.reason
