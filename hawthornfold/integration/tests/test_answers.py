import contextlib
import threading
import unittest

from hawthornfold.integration import repartition
from hawthornfold.integration import trials
from hawthornfold.integration.callers import TrialQuery

PORTAL = 'voter-portal'
PAYOUT_GROUP = 'payout-ledger'
RECORDS = tuple(
    TrialQuery('clerk-desk', kind='search', text=text)
    for text in ('oakford', 's1')
)


class TrialCase(unittest.TestCase):
    """Runs one fleet for all tests of a class; each test ends its faults."""

    @classmethod
    def setUpClass(cls):
        cls.trial = cls.enterClassContext(trials.open_trial())

    def setUp(self):
        self.trial.reset_claims()

    def assert_no_violations(self):
        self.assertEqual([], self.trial.find_violations())

    @contextlib.contextmanager
    def inject_fault(self, servers, **fault):
        """Set a fault under load; require that its servers ran work."""
        before = self.trial.count_started_sub_requests(servers)
        with self.trial.run_load(payouts=2):
            self.trial.wait_for_answers(10)
            self.trial.set_fault(servers, **fault)
            self.trial.wait_for_answers(60)
            yield
            self.trial.set_fault(servers)
            self.trial.wait_for_answers(20)
        self.assertGreater(
            self.trial.count_started_sub_requests(servers), before
        )


class SnapshotTest(TrialCase):
    """Every answer comes from exactly one snapshot."""

    def test_answers_use_one_snapshot_during_rolling_upgrade(self):
        # Guards against answers merged from two snapshots while servers
        # switch to the next one in turn, every other server first.
        trial = self.trial
        trials.publish_group(trial.fleet, PORTAL, 's1', 's2')
        servers = trial.servers(PORTAL)
        with trial.run_load(workers=6):
            trial.wait_for_answers(10)
            for server in servers[::2] + servers[1::2]:
                trial.set_held_snapshots(server, 's2')
                trial.wait_for_answers(8)
            trial.wait_for_claims(
                lambda c: c.document.get('snapshot') == 's2', 20
            )
        for snapshot in trials.SNAPSHOTS:
            self.assertIn(
                snapshot, {c.document.get('snapshot') for c in trial.claims}
            )
        self.assert_no_violations()

    def test_answers_use_one_partition_during_repartition(self):
        # Guards against answers or coverage that mix shards of the old and
        # the new partition of the index while queries run.
        trial = self.trial
        repartition.start_group(trial)
        with trial.run_load(repartition.QUERIES):
            trial.wait_for_claims(_is_answer_of('s1'), 20)
            # Published before any server holds s2: s1 keeps its shards.
            repartition.publish_snapshots(trial.fleet, 's1', 's2')
            trial.wait_for_claims(_is_answer_of('s1'), 100)
            for server in repartition.SERVERS:
                trial.set_held_snapshots(server, 's1', 's2')
                trial.wait_for_answers(5)
            trial.wait_for_claims(_is_answer_of('s2'), 20)
            for server in repartition.SERVERS:
                trial.set_held_snapshots(server, 's2')
                trial.wait_for_answers(5)
            repartition.publish_snapshots(trial.fleet, 's2')
            trial.wait_for_claims(_is_answer_of('s2'), 40)
        self.assert_no_violations()

    def test_answers_from_another_snapshot_are_rejected(self):
        # Guards against merging an answer that names, and contains data of,
        # another snapshot.
        with self.inject_fault(
            ['voter-portal-1a', 'voter-portal-2b', 'payout-ledger-1'],
            wrong_snapshot=True,
        ):
            pass
        self.assert_no_violations()


def _is_answer_of(snapshot):
    return lambda claim: claim.document.get('snapshot') == snapshot


def _misses_shard(shard):
    def condition(claim):
        coverage = claim.document.get('coverage') or {}
        return claim.query.service == PORTAL and (
            shard in coverage.get('missing_shards', ())
        )

    return condition


class CoverageTest(TrialCase):
    """Coverage is correct, and answers belong to their request as a whole."""

    def test_late_answers_are_not_mixed_up(self):
        # Guards against reading the late answer to an abandoned attempt as
        # the answer to the next request on the connection, and against
        # counting it in the coverage.
        servers = ['voter-portal-1a', 'voter-portal-3b', 'payout-ledger-2']
        with self.inject_fault(servers, late_ms=1500.0):
            self.trial.set_fault(servers, slow_factor=60.0, slow_share=0.5)
            self.trial.wait_for_answers(40)
        self.assert_no_violations()

    def test_duplicate_answers_are_ignored(self):
        # Guards against reading a second copy of an answer as the answer to
        # the next request on the connection.
        with self.inject_fault(
            self.trial.servers(PORTAL)[::2], duplicate=True
        ):
            pass
        self.assert_no_violations()

    def test_replies_to_other_requests_are_rejected(self):
        # Guards against merging a reply that names another request.
        with self.inject_fault(
            ['voter-portal-3a', 'voter-portal-3b', 'payout-ledger-3'],
            crossed=True,
        ):
            # Both replicas of the shard are faulty, so it must be missing.
            self.trial.wait_for_claims(_misses_shard('shard-3'))
        self.assert_no_violations()

    def test_truncated_answers_are_rejected(self):
        # Guards against reading a truncated reply as a complete one.
        with self.inject_fault(
            ['voter-portal-4a', 'voter-portal-4b', 'payout-ledger-1'],
            truncate=True,
        ):
            self.trial.wait_for_claims(_misses_shard('shard-4'))
        self.assert_no_violations()

    def test_coverage_excludes_lost_replicas_across_restarts(self):
        # Guards against coverage that includes shards of lost servers, and
        # against answers of an earlier incarnation of a server or node that
        # reach a request of the next one.
        trial = self.trial
        with trial.run_load(workers=6, payouts=2):
            for suffix in 'ab':
                trial.fleet.control_server(
                    f'voter-portal-2{suffix}', 'POST', 'stop'
                )
            trial.wait_for_claims(_misses_shard('shard-2'))
            trial.kill('entry-2')
            for server in trial.servers(PORTAL)[:4]:
                trial.fleet.control_server(server, 'POST', 'restart', {})
                trial.wait_for_answers(5)
            trial.fleet.start_again('entry-2')
            for suffix in 'ab':
                trial.fleet.control_server(
                    f'voter-portal-2{suffix}', 'POST', 'start'
                )
            trial.wait_for_claims(
                lambda c: (
                    c.node == 'entry-2'
                    and c.document.get('outcome') == 'complete'
                )
            )
            trial.kill_backends('backends-1')
            trial.wait_for_answers(30)
            trial.fleet.start_again('backends-1')
            trial.wait_for_answers(30)
        trial.heal()
        self.assert_no_violations()


def _is_past_deadline(service):
    return lambda claim: (
        claim.query.service == service
        and claim.document.get('code_name') == 'DEADLINE_EXCEEDED'
    )


class NotRunTest(TrialCase):
    """A query whose response says that it did not run has not run."""

    def test_shed_queries_did_not_run(self):
        # Guards against "no" for a shed query when some of its sub-requests
        # ran, also when the others were evicted or expired in a queue.
        trial = self.trial
        trial.set_fault(trial.servers(PORTAL), slow_factor=12.0)
        trial.set_fault(trial.servers('clerk-desk'), shed_share=0.6)
        # Sub-requests that are not shed exceed the deadline of payouts.
        trial.set_fault(
            trial.servers(PAYOUT_GROUP), shed_share=0.7, slow_factor=100.0
        )
        with trial.run_load(trials.SEARCHES + RECORDS, workers=12, payouts=4):
            trial.wait_for_claims(lambda c: c.ran == 'no', 5)
            trial.wait_for_claims(_is_past_deadline(PAYOUT_GROUP), 5)
        self.assert_no_violations()

    def test_cancelled_hedge_does_not_hide_the_run_of_the_winner(self):
        # Guards against "no" for a query because its losing attempt was
        # cancelled in a queue, although the winning attempt ran.
        trial = self.trial
        servers = trial.servers(PORTAL)[::2]
        status = tuple(
            TrialQuery(PORTAL, kind='status', text=f'{PORTAL}-shard-1-0000{i}')
            for i in range(4)
        )
        trial.set_fault(servers, slow_factor=15.0, slow_share=0.3)
        with trial.run_load(status, workers=8):
            trial.wait_for_answers(100)
            # Slower than the deadline: no attempt wins, although all ran.
            trial.set_fault(trial.servers(PORTAL), slow_factor=40.0)
            trial.wait_for_claims(_is_past_deadline(PORTAL), 5)
        self.assertTrue(
            any(
                counts['cancelled_queued'] + counts['cancelled_running']
                for counts in trial.fleet.collect_counters().values()
            )
        )
        self.assert_no_violations()

    def test_refusal_of_one_server_does_not_hide_runs_at_others(self):
        # Guards against "no" for a payout when one server refused its part
        # but another server ran its own.
        trial = self.trial
        servers = ['payout-ledger-1', 'payout-ledger-2']
        with trial.run_load(payouts=6):
            trial.wait_for_answers(10)
            trial.set_fault(servers[:1], draining=True)
            trial.set_fault(servers[1:], drain_flag_hidden=True)
            trial.wait_for_claims(
                lambda c: c.document.get('outcome') == 'partial'
            )
            trial.wait_for_answers(20)
            # The other servers now exceed the deadline.
            trial.set_fault(
                ['payout-ledger-3', 'payout-ledger-4'], slow_factor=100.0
            )
            trial.wait_for_claims(_is_past_deadline(PAYOUT_GROUP), 5)
        trial.heal()
        self.assert_no_violations()

    def test_draining_entry_does_not_deny_earlier_runs(self):
        # Guards against "no" from a stopping node for a ticket when an
        # earlier query with the ticket ran.
        trial = self.trial
        with trial.run_load(payouts=6):
            trial.wait_for_answers(20)
            stopping = threading.Thread(
                target=trial.terminate, args=('entry-3',)
            )
            stopping.start()
            trial.wait_for_answers(30)
            stopping.join()
        trial.heal()
        self.assert_no_violations()

    def test_killed_processes_do_not_cause_false_denials(self):
        # Guards against "no" for work that a killed node or process had
        # sent, or was about to send; the kills hit requests at different
        # stages.
        trial = self.trial
        trial.set_fault(trial.servers(PAYOUT_GROUP), slow_factor=4.0)
        with trial.run_load(workers=3, payouts=5):
            for step in range(3):
                trial.wait_for_answers(7 + 4 * step)
                # The node is the entry of a third of the queries, and owns a
                # third of the servers that the other queries need.
                trial.kill('entry-1')
                trial.wait_for_answers(10)
                trial.fleet.start_again('entry-1')
                trial.fleet.wait_until_ready(['entry-1'])
            trial.kill_backends('backends-2')
            trial.wait_for_answers(20)
        trial.heal()
        self.assert_no_violations()

    def test_node_without_configuration_runs_nothing(self):
        # Guards against a node that starts work, or reports it as refused,
        # before it has the rules and servers.
        trial = self.trial
        for name in trial.fleet.nodes:
            trial.kill(name)
        trial.fleet.control_platform('PUT', '/control/fault', {'down': True})
        trial.fleet.start_again('entry-1')
        with trial.run_load(payouts=2):
            trial.wait_for_claims(
                lambda c: c.document.get('code_name') == 'NOT_READY', 10
            )
            trial.heal()
            trial.wait_for_answers(20)
        self.assert_no_violations()
