import random
import unittest

from hawthornfold.directory import ServerChange
from hawthornfold.directory import ServerRecord
from hawthornfold.directory import create_server_directory
from hawthornfold.gathering import Cancel
from hawthornfold.gathering import ExchangeOutcome
from hawthornfold.gathering import ExecutionTimes
from hawthornfold.gathering import OutcomeKind
from hawthornfold.gathering import Send
from hawthornfold.gathering import ServerResponse
from hawthornfold.gathering import Verdict
from hawthornfold.gathering import create_execution
from hawthornfold.gathering import merge_records
from hawthornfold.limits import create_repeat_budget
from hawthornfold.placement import create_latency_tracker
from hawthornfold.placement import create_placement
from hawthornfold.rules import Decision

WINDOW_MS = 10_000.0
ANSWER_MS = 100.0
DEADLINE_MS = 600.0
ANSWERED = ExchangeOutcome(
    OutcomeKind.ANSWERED, ServerResponse(200, (), b'', 'seal')
)
FAILED = ExchangeOutcome(
    OutcomeKind.FAILED, ServerResponse(500, (), b'', 'seal')
)
NOT_EXECUTED = ExchangeOutcome(OutcomeKind.NOT_EXECUTED)
UNREACHABLE = ExchangeOutcome(OutcomeKind.UNREACHABLE)
LOST = ExchangeOutcome(OutcomeKind.LOST)


def create_decision(**fields):
    decision = Decision(
        'r', 0, 600, True, 75, 'refuse', True, 1, 20, 'pin', ANSWER_MS
    )
    return decision._replace(**fields)


class ExecutionTestCase(unittest.TestCase):
    def create(self, shards=4, servers=2, slack=100.0, **fields):
        """Return an execution over shards with some servers each."""
        self.directory = create_server_directory()
        services = [f'shard-{number}' for number in range(shards)]
        for service in services:
            for number in range(servers):
                server_id = f'{service}-{number}'
                record = ServerRecord(
                    server_id, service, '127.0.0.1:1', 'dc-a', 2
                )
                self.directory.apply([ServerChange(server_id, record)], 0.0)
        self.repeat_budgets = [
            create_repeat_budget(0.0, slack, WINDOW_MS, -WINDOW_MS)
            for _ in services
        ]
        latency_tracker = create_latency_tracker()
        self.placement = create_placement(
            'dc-a', latency_tracker, rng=random.Random(1)
        )
        self.execution = create_execution(
            create_decision(**fields),
            services,
            ExecutionTimes(0.0, ANSWER_MS, DEADLINE_MS),
            self.directory,
            self.placement,
            self.repeat_budgets,
            latency_tracker,
        )
        return self.execution

    def finish(self, sends, outcome, now_ms=10.0):
        """End attempts; return what is to be done."""
        actions = []
        for send in sends:
            actions += self.execution.handle_outcome(
                send.attempt, outcome, now_ms
            )
        return actions


class GatheringTest(ExecutionTestCase):
    def test_complete_answer_ends_the_request_at_once(self):
        execution = self.create()
        sends = execution.start(0.0)
        self.assertEqual([send.part for send in sends], [0, 1, 2, 3])
        self.finish(sends[:3], ANSWERED)
        self.assertIsNone(execution.determine_verdict(10.0))
        self.finish(sends[3:], ANSWERED)
        self.assertIs(execution.determine_verdict(10.0), Verdict.COMPLETE)
        self.assertEqual(execution.missing_count, 0)

    def test_partial_answer_leaves_in_time_for_the_objective(self):
        # Guards against answers that wait for a straggler until they are
        # late, and against partial answers before that.
        execution = self.create()
        sends = execution.start(0.0)
        self.finish(sends[:3], ANSWERED)
        self.assertIsNone(execution.determine_verdict(ANSWER_MS - 1.0))
        self.assertIs(execution.determine_verdict(ANSWER_MS), Verdict.PARTIAL)
        self.assertEqual(execution.missing_count, 1)

    def test_answer_below_the_least_share_waits_for_more(self):
        # Guards against an answer that the rule does not allow.
        execution = self.create()
        sends = execution.start(0.0)
        self.finish(sends[:2], ANSWERED)
        self.assertIsNone(execution.determine_verdict(ANSWER_MS + 50.0))
        self.finish(sends[2:3], ANSWERED)
        self.assertIs(
            execution.determine_verdict(ANSWER_MS + 50.0), Verdict.PARTIAL
        )

    def test_wait_for_the_least_share_is_not_lateness_of_the_node(self):
        # Guards against answers that leave ever earlier, and lack ever more
        # parts, because earlier ones had to wait for their least share.
        execution = self.create()
        sends = execution.start(0.0)
        self.assertEqual(execution.partial_due_ms, ANSWER_MS)
        self.finish(sends[:2], ANSWERED)
        self.finish(sends[2:3], ANSWERED, ANSWER_MS + 50.0)
        self.assertEqual(execution.partial_due_ms, ANSWER_MS + 50.0)

    def test_request_is_given_up_at_its_deadline(self):
        execution = self.create()
        execution.start(0.0)
        self.assertIsNone(execution.determine_verdict(DEADLINE_MS - 1.0))
        self.assertIs(
            execution.determine_verdict(DEADLINE_MS), Verdict.TIMED_OUT
        )

    def test_answer_is_not_delayed_by_shards_that_are_known_to_be_lost(self):
        # Guards against waiting when nothing more can come.
        execution = self.create(servers=1)
        sends = execution.start(0.0)
        self.finish(sends[:3], ANSWERED)
        self.finish(sends[3:], UNREACHABLE)
        self.assertIs(execution.determine_verdict(10.0), Verdict.PARTIAL)

    def test_unservable_request_is_refused_without_being_sent(self):
        # Guards against a refusal after some shards have run the request.
        execution = self.create()
        for shard in (0, 1):
            for number in (0, 1):
                server_id = f'shard-{shard}-{number}'
                self.placement.health(server_id).block(0.0)
        self.assertEqual(execution.start(0.0), [])
        self.assertIs(execution.determine_verdict(0.0), Verdict.NOT_RUN)

    def test_refusal_after_a_shard_ran_says_so(self):
        # Guards against a promise that nothing has run.
        execution = self.create(servers=1)
        sends = execution.start(0.0)
        self.finish(sends[:1], ANSWERED)
        self.finish(sends[1:3], UNREACHABLE)
        self.assertIs(execution.determine_verdict(10.0), Verdict.UNKNOWN)

    def test_failure_of_a_server_is_no_part(self):
        # Guards against a failure that counts as an answer.
        execution = self.create(servers=1)
        sends = execution.start(0.0)
        self.finish(sends[:3], ANSWERED)
        self.finish(sends[3:], FAILED)
        self.assertEqual(len(execution.answers), 3)
        self.assertIs(execution.determine_verdict(10.0), Verdict.PARTIAL)

    def test_share_is_rounded_up(self):
        # Guards against one shard too few: 89% of 20 shards are 18.
        execution = self.create(shards=20, servers=1, coverage_percent=89)
        sends = execution.start(0.0)
        self.finish(sends[:17], ANSWERED)
        self.assertIsNone(execution.determine_verdict(ANSWER_MS))
        self.finish(sends[17:18], ANSWERED)
        self.assertIs(execution.determine_verdict(ANSWER_MS), Verdict.PARTIAL)


class HedgingTest(ExecutionTestCase):
    def hedge_time(self):
        """Return when the first hedge is due."""
        now_ms = 0.0
        while now_ms < ANSWER_MS:
            now_ms = self.execution.next_wakeup_ms(now_ms)
            hedges = self.execution.start_due_hedges(now_ms)
            if hedges:
                return now_ms, hedges
        return None, []

    def test_hedge_leaves_time_for_an_ordinary_answer(self):
        # Guards against hedges that come too late to be of use.
        execution = self.create()
        sends = execution.start(0.0)
        self.finish(sends[:3], ANSWERED)
        now_ms, hedges = self.hedge_time()
        self.assertLess(now_ms, ANSWER_MS - 20.0)
        self.assertEqual([hedge.part for hedge in hedges], [3])
        self.assertNotEqual(
            hedges[0].record.server_id, sends[3].record.server_id
        )

    def test_parts_that_are_late_among_their_equals_are_hedged(self):
        # Guards against hedges that come too late to be answered, where own
        # work and pauses have made the usual time long.
        execution = self.create(shards=20)
        sends = execution.start(0.0)
        self.finish(sends[:16], ANSWERED, 18.0)
        self.assertEqual(execution.start_due_hedges(25.0), [])
        self.finish(sends[16:17], ANSWERED, 20.0)
        self.assertLessEqual(execution.next_wakeup_ms(20.0), 28.0)
        self.assertEqual(execution.start_due_hedges(27.0), [])
        hedged = {send.part for send in execution.start_due_hedges(28.1)}
        self.assertEqual(hedged, {17, 18, 19})

    def test_many_slow_servers_are_hedged_in_time(self):
        # Guards against a query that waits for 40 percent slow servers.
        execution = self.create(shards=20)
        sends = execution.start(0.0)
        self.finish(sends[:12], ANSWERED, 15.0)
        self.assertEqual(execution.start_due_hedges(32.0), [])
        self.assertEqual(len(execution.start_due_hedges(33.1)), 8)

    def test_few_parts_are_no_sample(self):
        # Guards against a hedge for each second request of a small query.
        execution = self.create(shards=3)
        sends = execution.start(0.0)
        self.finish(sends[:2], ANSWERED, 2.0)
        self.assertEqual(execution.start_due_hedges(12.0), [])

    def test_only_one_of_two_answers_of_a_shard_counts(self):
        # Guards against two seals of one shard in an answer.
        execution = self.create(shards=1)
        sends = execution.start(0.0)
        _, hedges = self.hedge_time()
        cancels = self.finish(hedges, ANSWERED)
        self.assertEqual(cancels, [Cancel(sends[0].attempt)])
        self.finish(sends, ANSWERED)
        self.assertEqual(len(execution.answers), 1)

    def test_budget_bounds_hedges(self):
        execution = self.create(slack=0.0)
        execution.start(0.0)
        self.assertEqual(self.hedge_time(), (None, []))
        self.assertGreater(execution.denied_count, 0)

    def test_non_idempotent_request_is_never_hedged(self):
        # Guards against a second run.
        execution = self.create(shards=1, idempotent=False, hedge=False)
        execution.start(0.0)
        self.assertEqual(self.hedge_time(), (None, []))

    def test_blocked_server_is_hedged_before_the_usual_time(self):
        # Guards against waiting for a server that is known to be silent.
        execution = self.create(shards=1)
        (send,) = execution.start(0.0)
        self.placement.health(send.record.server_id).block(1.0)
        self.assertEqual(len(execution.start_due_hedges(1.0)), 1)

    def test_most_servers_of_the_rule_bound_attempts(self):
        # Guards against one request that runs on more servers than allowed.
        execution = self.create(shards=1, servers=5, max_servers=2)
        sends = execution.start(0.0)
        sends += self.finish(sends, LOST)
        self.assertEqual(len(sends), 2)
        self.assertEqual(self.finish(sends[1:], LOST), [])
        self.assertIs(execution.determine_verdict(20.0), Verdict.UNKNOWN)


class RetryTest(ExecutionTestCase):
    def retry(self, outcome, **fields):
        """Return what follows the first failure of a single request."""
        self.create(shards=1, **fields)
        sends = self.execution.start(0.0)
        return self.finish(sends, outcome)

    def test_unsent_request_moves_without_budget(self):
        # Guards against a dead server that uses up the budget.
        actions = self.retry(UNREACHABLE, slack=0.0)
        self.assertIsInstance(actions[0], Send)

    def test_rejected_request_moves_within_the_budget(self):
        self.assertEqual(self.retry(NOT_EXECUTED, slack=0.0), [])
        self.assertIs(self.execution.determine_verdict(10.0), Verdict.NOT_RUN)
        self.assertEqual(len(self.retry(NOT_EXECUTED)), 1)

    def test_non_idempotent_request_moves_only_if_it_did_not_run(self):
        # Guards against a second run after an answer that was lost.
        once = {'idempotent': False, 'hedge': False}
        self.assertEqual(len(self.retry(NOT_EXECUTED, **once)), 1)
        self.assertEqual(len(self.retry(UNREACHABLE, **once)), 1)
        self.assertEqual(self.retry(LOST, **once), [])
        self.assertIs(self.execution.determine_verdict(10.0), Verdict.UNKNOWN)
        self.assertEqual(self.retry(FAILED, **once), [])
        self.assertIs(
            self.execution.determine_verdict(10.0), Verdict.PASSED_FAILURE
        )

    def test_rejections_leave_the_servers_of_the_rule(self):
        # Guards against a full server that counts as one that ran.
        self.create(shards=1, servers=4, max_servers=1)
        sends = self.execution.start(0.0)
        sends = self.finish(sends, NOT_EXECUTED)
        self.assertEqual(len(sends), 1)
        self.assertEqual(self.finish(sends, LOST), [])

    def test_request_without_any_server_has_not_run(self):
        self.create(shards=1, servers=0)
        self.assertEqual(self.execution.start(0.0), [])
        self.assertIs(self.execution.determine_verdict(0.0), Verdict.NOT_RUN)


class MergingTest(unittest.TestCase):
    def test_greatest_records_of_all_parts_in_order(self):
        # Compares with sorting everything.
        rng = random.Random(4)
        bodies = [
            bytes(rng.randrange(4) for _ in range(rng.randrange(0, 200)))
            for _ in range(30)
        ]
        records = []
        for body in bodies:
            for start in range(0, len(body) - 15, 16):
                records.append(body[start : start + 16])
        expected = sorted(records, reverse=True)[:20]
        self.assertEqual(merge_records(bodies, 20), b''.join(expected))

    def test_equal_records_all_count(self):
        self.assertEqual(merge_records([b'a' * 16, b'a' * 16], 5), b'a' * 32)
