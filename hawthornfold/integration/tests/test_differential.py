import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hawthornfold.backends import Ran
from hawthornfold.codes import ResultCode
from hawthornfold.emulator import corpus
from hawthornfold.integration import indexes
from hawthornfold.queries import QueryRequest
from hawthornfold.queries import Send
from hawthornfold.queries import merge_answers
from hawthornfold.snapshots import create_snapshot_selector

INDEXES = strategies.builds(
    indexes.create_index,
    seed=strategies.integers(0, 5),
    documents=strategies.integers(10, 60),
    counts=strategies.tuples(
        strategies.integers(1, 6), strategies.integers(1, 6)
    ),
    server_count=strategies.integers(1, 6),
    replicas=strategies.integers(1, 3),
)
QUERIES = strategies.builds(
    QueryRequest,
    request_id=strategies.just('q'),
    service=strategies.just(indexes.GROUP),
    kind=strategies.just('search'),
    # The snapshots' names match every document of one snapshot.
    text=strategies.sampled_from(indexes.SNAPSHOTS + corpus.VOCABULARY[:8]),
    limit=strategies.integers(1, 30),
    order=strategies.just(1),
)
# What becomes of an attempt: its index among the open ones, its end, and
# the time until then.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 40),
        strategies.sampled_from(
            ['answer'] * 6
            + ['wrong snapshot', 'refuse', 'silent', 'lost', 'moved', 'again']
        ),
        strategies.integers(0, 15),
    ),
    max_size=40,
)


class MergeTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        INDEXES,
        QUERIES,
        strategies.sampled_from(indexes.SNAPSHOTS),
        strategies.data(),
    )
    def test_merge_equals_the_naive_merge(self, index, query, snapshot, data):
        # Guards against an order of arrival, ties or limits that change the
        # answer.
        names = data.draw(
            strategies.lists(
                strategies.sampled_from([*index.weights(snapshot)]),
                unique=True,
            )
        )
        merged = merge_answers(
            [
                indexes.decode_answer(index.answer(snapshot, name, query))
                for name in names
            ],
            query.limit,
        )
        self.assertEqual(
            index.answer_naively(snapshot, names, query),
            (merged.total, [hit._asdict() for hit in merged.hits]),
        )


class ExecutionTest(unittest.TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(INDEXES, QUERIES, EVENTS, strategies.booleans())
    def test_outcome_equals_the_naive_merge(
        self, index, query, events, idempotent
    ):
        # Guards against any partition, order, loss, repetition or move to
        # another snapshot after which the answer is not exactly that of
        # the covered shards of one snapshot, and coverage not their weight.
        selector = create_snapshot_selector(index.build_group())
        for name in index.servers:
            selector.observe(name, 'i1', ('s1',), 0.0)
        selector.advance(0.0)
        execution = indexes.start_execution(index, query, idempotent, selector)
        sends = {}
        ended = set()
        refused = set()
        now_ms = 0.0

        def note(actions):
            for action in actions:
                if isinstance(action, Send):
                    sends[action.attempt] = action

        def answer(send, snapshot):
            # A server answers with data of the snapshot that it names.
            names = [*index.weights(snapshot)]
            documents = [
                index.answer(
                    snapshot, name if name in names else names[0], query
                )
                for name in send.shards
            ]
            return execution.on_reply(
                send.attempt,
                snapshot,
                [indexes.decode_answer(d) for d in documents],
                now_ms,
            )

        note(execution.start(0.0))
        ran = set()
        for choice, kind, delay in events:
            now_ms += delay
            note(execution.on_timer(now_ms))
            open_sends = [
                send
                for number, send in sends.items()
                if number not in ended
                # A copy of an answer; a refusal is true and never followed
                # by an answer.
                or (kind == 'again' and number not in refused)
            ]
            if not open_sends:
                continue
            send = open_sends[choice % len(open_sends)]
            ended.add(send.attempt)
            if kind not in ('refuse', 'moved'):
                ran.add(send.attempt)
            if kind in ('answer', 'again'):
                note(answer(send, send.snapshot))
            elif kind == 'wrong snapshot':
                note(answer(send, 's2' if send.snapshot == 's1' else 's1'))
            elif kind == 'lost':
                ended |= {n for n, s in sends.items() if s.owner == send.owner}
                note(execution.on_owner_lost(send.owner, now_ms))
            else:
                code = ResultCode.BACKEND_SILENT
                if kind == 'refuse':
                    code = ResultCode.BACKEND_REFUSED
                if kind == 'moved':
                    code = ResultCode.BACKEND_SNAPSHOT
                    for name in index.servers:
                        selector.observe(name, 'i2', ('s2',), now_ms)
                is_refusal = kind in ('refuse', 'moved')
                if is_refusal:
                    refused.add(send.attempt)
                note(
                    execution.on_failure(
                        send.attempt,
                        code,
                        Ran.NO if is_refusal else Ran.UNKNOWN,
                        now_ms,
                    )
                )
        note(execution.on_timer(1000.0))
        self._check(index, query, execution.outcome, ran)

    def _check(self, index, query, outcome, ran):
        if outcome.ran is Ran.NO:
            self.assertEqual(set(), ran)
        if outcome.coverage is None:
            self.assertEqual((), outcome.answers)
            return
        weights = index.weights(outcome.snapshot)
        covered = [
            name
            for name in weights
            if name not in outcome.coverage.missing_shards
        ]
        self.assertEqual(
            (sum(weights[name] for name in covered), sum(weights.values())),
            outcome.coverage[:2],
        )
        merged = merge_answers(outcome.answers, query.limit)
        self.assertEqual(
            index.answer_naively(outcome.snapshot, covered, query),
            (merged.total, [hit._asdict() for hit in merged.hits]),
        )
        self.assertEqual(outcome.coverage.is_complete, covered == [*weights])
