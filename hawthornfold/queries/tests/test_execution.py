import collections
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hawthornfold.backends import Hit
from hawthornfold.backends import Ran
from hawthornfold.backends import ShardAnswer
from hawthornfold.codes import ResultCode
from hawthornfold.hedging import create_extra_load_budget
from hawthornfold.hedging import create_hedge_delay_estimator
from hawthornfold.queries import Cancel
from hawthornfold.queries import QueryRequest
from hawthornfold.queries import Send
from hawthornfold.queries import create_query_execution
from hawthornfold.queries.targets import create_target_chooser
from hawthornfold.routing import create_direct_policy
from hawthornfold.routing import create_rendezvous_policy
from hawthornfold.routing import create_replica_ranker
from hawthornfold.rules import Decision
from hawthornfold.snapshots import BackendServer
from hawthornfold.snapshots import Layout
from hawthornfold.snapshots import ServiceGroup
from hawthornfold.snapshots import Shard
from hawthornfold.snapshots import create_snapshot_selector

SHARDS = 4
Member = collections.namedtuple('Member', 'name data_centre')


def create_group():
    servers = {
        f's{i}{r}': BackendServer(f's{i}{r}', '127.0.0.1:1', 'dc1', 2, 25)
        for i in range(SHARDS)
        for r in 'ab'
    }
    layouts = tuple(
        Layout(
            name,
            tuple(
                Shard(f'shard{i}', 10 + i, (f's{i}a', f's{i}b'))
                for i in range(SHARDS)
            ),
        )
        for name in ('old', 'new')
    )
    return ServiceGroup('group', servers, layouts)


def create_decision(**fields):
    values = {
        'rule': 'r',
        'urgency': 0,
        'deadline_ms': 80,
        'idempotent': True,
        'coverage_percent': 100,
        'below_coverage': 'partial',
        'hedge': True,
        'max_retries': 1,
        'extra_load_percent': 5,
        'snapshot_policy': 'restart',
    }
    return Decision(**{**values, **fields})


class Harness:
    """Drives one execution; all servers hold `old`, the pinned snapshot."""

    def __init__(self, policy=None, last_reply_ms=(), **fields):
        self.group = create_group()
        self.selector = create_snapshot_selector(self.group)
        for name in self.group.servers:
            self.selector.record_held_snapshots(name, ('old',), 0.0)
        self.selector.update_choice(0.0)
        policy = policy or create_direct_policy('n1')
        self.execution = create_query_execution(
            QueryRequest('q1', 'group', 'search', 'x', 10, 7),
            create_decision(**fields),
            self.group,
            self.selector,
            create_target_chooser(
                self.group,
                self.selector,
                create_replica_ranker(1),
                policy,
                dict(last_reply_ms),
            ),
            create_extra_load_budget(initial=10.0),
            create_hedge_delay_estimator(),
            0.0,
        )
        self.sends = []
        self.cancels = []
        self.record_actions(self.execution.start(0.0))

    def record_actions(self, actions):
        self.sends += [a for a in actions if isinstance(a, Send)]
        self.cancels += [a for a in actions if isinstance(a, Cancel)]
        return actions

    def answer(self, send, now_ms, snapshot=None):
        answers = [
            ShardAnswer(name, 1, (Hit(f'{name}-{send.snapshot}', 1, ''),))
            for name in send.shards
        ]
        return self.record_actions(
            self.execution.on_reply(
                send.attempt, snapshot or send.snapshot, answers, now_ms
            )
        )

    def fail(self, send, code, ran, now_ms):
        return self.record_actions(
            self.execution.on_failure(send.attempt, code, ran, now_ms)
        )


class QueryExecutionTest(unittest.TestCase):
    def test_answers_completely_from_one_snapshot(self):
        # Guards against a shard that is never sent or is counted twice.
        harness = Harness()
        self.assertEqual(SHARDS, len(harness.sends))
        for send in list(harness.sends):
            harness.answer(send, 5.0)
        outcome = harness.execution.outcome
        self.assertEqual('complete', outcome.outcome)
        self.assertEqual('old', outcome.snapshot)
        self.assertEqual(46, outcome.coverage.answered_weight)

    def test_drops_an_answer_of_another_snapshot(self):
        # Guards against answers that mix two versions of the index.
        harness = Harness(hedge=False, max_retries=0)
        for send in list(harness.sends[1:]):
            harness.answer(send, 5.0)
        harness.answer(harness.sends[0], 6.0, snapshot='new')
        outcome = harness.execution.outcome
        self.assertEqual('partial', outcome.outcome)
        self.assertEqual(('shard0',), outcome.coverage.missing_shards)

    def test_counts_a_duplicate_answer_once(self):
        # Guards against reporting more coverage than was reached.
        harness = Harness()
        harness.answer(harness.sends[0], 5.0)
        harness.answer(harness.sends[0], 6.0)
        self.assertIsNone(harness.execution.outcome)
        harness.record_actions(harness.execution.on_timer(80.0))
        self.assertEqual(
            10, harness.execution.outcome.coverage.answered_weight
        )

    def test_hedges_a_straggler_and_cancels_the_slower_attempt(self):
        # Guards against a straggler that determines the latency of the query,
        # and against a superseded attempt that keeps its slot at the server.
        harness = Harness()
        for send in list(harness.sends[1:]):
            harness.answer(send, 5.0)
        harness.record_actions(harness.execution.on_timer(40.0))
        hedge = harness.sends[-1]
        self.assertNotEqual(harness.sends[0].server, hedge.server)
        harness.answer(hedge, 50.0)
        self.assertEqual('complete', harness.execution.outcome.outcome)
        self.assertEqual([1], [c.attempt for c in harness.cancels])

    def test_hedges_through_another_owner_when_one_is_unresponsive(self):
        # Guards against hedges sent to the same dead owner: the membership
        # removes it only seconds after the deadline.
        policy = create_rendezvous_policy()
        policy.update_members([Member('n1', 'dc1'), Member('n2', 'dc1')])
        harness = Harness(policy, {'n1': -1.0, 'n2': 5.0})
        primary = list(harness.sends)
        self.assertIn('n1', {send.owner for send in primary})
        for send in primary:
            if send.owner == 'n2':
                harness.answer(send, 5.0)
        harness.record_actions(harness.execution.on_timer(40.0))
        hedges = harness.sends[len(primary) :]
        self.assertTrue(hedges)
        self.assertEqual({'n2'}, {send.owner for send in hedges})

    def test_non_idempotent_is_not_sent_again_if_it_may_have_run(self):
        # Guards against a payout that is executed twice.
        harness = Harness(idempotent=False, hedge=False, max_retries=0)
        count = len(harness.sends)
        harness.fail(
            harness.sends[0], ResultCode.BACKEND_SILENT, Ran.UNKNOWN, 9.0
        )
        harness.record_actions(harness.execution.on_owner_lost('n1', 10.0))
        self.assertEqual(count, len(harness.sends))
        self.assertIs(Ran.UNKNOWN, harness.execution.outcome.ran)

    def test_non_idempotent_is_sent_elsewhere_after_a_refusal(self):
        # Guards against refusing a payout that another replica could run.
        harness = Harness(idempotent=False, hedge=False, max_retries=0)
        count = len(harness.sends)
        harness.fail(
            harness.sends[0], ResultCode.BACKEND_DRAINING, Ran.NO, 9.0
        )
        self.assertEqual(count + 1, len(harness.sends))

    def test_refused_everywhere_is_reported_as_not_run(self):
        # Guards against reporting "unknown" although no attempt ran, and
        # against waiting for the deadline when no target is left.
        harness = Harness(hedge=False)
        pending = list(harness.sends)
        while pending:
            before = len(harness.sends)
            harness.fail(
                pending.pop(0), ResultCode.BACKEND_DRAINING, Ran.NO, 9.0
            )
            pending += harness.sends[before:]
        outcome = harness.execution.outcome
        self.assertEqual('refused', outcome.outcome)
        self.assertIs(Ran.NO, outcome.ran)

    def test_restarts_when_servers_no_longer_hold_the_pinned_snapshot(self):
        # Guards against an answer that mixes two snapshots, and against a
        # query that fails although another snapshot is complete.
        harness = Harness()
        for send in list(harness.sends[1:]):
            harness.answer(send, 5.0)
        for name in harness.group.servers:
            harness.selector.record_held_snapshots(name, ('new',), 5.0)
        before = len(harness.sends)
        harness.fail(
            harness.sends[0], ResultCode.BACKEND_SNAPSHOT, Ran.NO, 6.0
        )
        restarted = harness.sends[before:]
        self.assertEqual({'new'}, {send.snapshot for send in restarted})
        for send in restarted:
            harness.answer(send, 7.0)
        outcome = harness.execution.outcome
        self.assertEqual(('complete', 'new'), outcome[0:1] + outcome[4:5])
        ids = {hit.id for a in outcome.answers for hit in a.hits}
        self.assertTrue(all(name.endswith('-new') for name in ids), ids)

    def test_stops_early_at_the_required_coverage(self):
        # Guards against waiting for a straggler that the rule does not need.
        harness = Harness(coverage_percent=70, hedge=False)
        for send in list(harness.sends[1:]):
            harness.answer(send, 5.0)
        self.assertEqual(64.0, harness.execution.next_timer_ms(5.0))
        harness.record_actions(harness.execution.on_timer(64.0))
        self.assertEqual('partial', harness.execution.outcome.outcome)

    def test_refuses_below_the_required_coverage(self):
        # Guards against an incomplete payout list that looks complete.
        harness = Harness(below_coverage='refuse', hedge=False)
        harness.answer(harness.sends[0], 5.0)
        harness.record_actions(harness.execution.on_timer(80.0))
        outcome = harness.execution.outcome
        self.assertEqual(ResultCode.COVERAGE_TOO_LOW, outcome.code)
        self.assertEqual((), outcome.answers)
        self.assertIs(Ran.YES, outcome.ran)


EVENT = strategies.tuples(
    strategies.sampled_from(['answer', 'stray', 'refuse', 'silent', 'lost']),
    strategies.integers(0, 30),
    strategies.integers(0, 12),
)


class QueryExecutionPropertyTest(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(strategies.lists(EVENT, max_size=30), strategies.booleans())
    def test_invariants_hold_for_any_sequence(self, events, idempotent):
        # Guards against any order of replies, refusals and lost owners that
        # mixes snapshots, runs a payout twice or reports a wrong coverage.
        harness = Harness(
            idempotent=idempotent,
            hedge=idempotent,
            max_retries=1 if idempotent else 0,
        )
        now_ms = 0.0
        # Number of attempts of each shard that may have run, counted here
        # independently of the execution.
        possible_runs = {}
        for kind, index, delay in events:
            now_ms += delay
            send = harness.sends[index % len(harness.sends)]
            before = len(harness.sends)
            is_open = send.attempt in {
                a.number for a in harness.execution.attempts if a.is_open
            }
            if kind == 'answer':
                harness.answer(send, now_ms)
            elif kind == 'stray':
                harness.answer(send, now_ms, snapshot='elsewhere')
            elif kind == 'refuse':
                harness.fail(send, ResultCode.BACKEND_DRAINING, Ran.NO, now_ms)
            elif kind == 'silent':
                harness.fail(
                    send, ResultCode.BACKEND_SILENT, Ran.UNKNOWN, now_ms
                )
            else:
                harness.record_actions(
                    harness.execution.on_owner_lost('n1', now_ms)
                )
            if is_open and kind != 'refuse':
                for shard in send.shards:
                    possible_runs[shard] = possible_runs.get(shard, 0) + 1
            harness.record_actions(harness.execution.on_timer(now_ms))
            if not idempotent:
                resent = [s for x in harness.sends[before:] for s in x.shards]
                self.assertFalse([s for s in resent if possible_runs.get(s)])
        harness.record_actions(harness.execution.on_timer(1e9))
        outcome = harness.execution.outcome
        self.assertIsNotNone(outcome)
        answered = {answer.shard for answer in outcome.answers}
        self.assertEqual(len(answered), len(outcome.answers))
        for answer in outcome.answers:
            for hit in answer.hits:
                self.assertTrue(hit.id.endswith(outcome.snapshot))
        if outcome.coverage is not None:
            weights = {f'shard{i}': 10 + i for i in range(SHARDS)}
            self.assertEqual(
                sum(weights[name] for name in answered),
                outcome.coverage.answered_weight,
            )
        if outcome.ran is Ran.NO:
            self.assertFalse(possible_runs)
