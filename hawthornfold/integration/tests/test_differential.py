import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec

from hawthornfold.backends import Ran
from hawthornfold.backends import SubRequest
from hawthornfold.backends import codec
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
    # With equal counts, both snapshots have the same shard names.
    counts=strategies.tuples(
        strategies.integers(1, 6), strategies.integers(1, 6)
    )
    | strategies.integers(2, 6).map(lambda count: (count, count)),
    server_count=strategies.integers(1, 6),
    replicas=strategies.integers(1, 3),
)
QUERIES = strategies.builds(
    QueryRequest,
    request_id=strategies.just('q'),
    service=strategies.just(indexes.GROUP),
    kind=strategies.just('search'),
    # The name of a snapshot matches every document of that snapshot.
    text=strategies.sampled_from(indexes.SNAPSHOTS + corpus.VOCABULARY[:8]),
    limit=strategies.integers(1, 30),
    order=strategies.just(1),
)
# What happens to an attempt: its index among the open attempts, the event,
# and the time in ms until then.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 40),
        strategies.sampled_from(
            ['answer'] * 8
            + ['wrong snapshot', 'refuse', 'silent', 'lost', 'again']
            + ['moved'] * 3
        ),
        strategies.integers(0, 4),
    ),
    min_size=4,
    max_size=40,
)


REQUESTS = strategies.builds(
    SubRequest,
    request_id=strategies.sampled_from(['q1', 'q2']),
    attempt=strategies.integers(1, 2),
    snapshot=strategies.sampled_from(indexes.SNAPSHOTS),
    deadline_ms=strategies.just(50),
    shards=strategies.sets(strategies.sampled_from('abc'), min_size=1).map(
        lambda names: tuple(sorted(names))
    ),
    kind=strategies.just('search'),
    text=strategies.just(''),
    limit=strategies.just(1),
)


class ReplyTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(REQUESTS, REQUESTS)
    def test_only_the_reply_to_the_request_counts(self, request, other):
        # Guards against accepting a reply that names another request,
        # attempt, snapshot or set of shards.
        reply = {
            'request_id': other.request_id,
            'attempt': other.attempt,
            'snapshot': other.snapshot,
            'held': [],
            'incarnation': 'i1',
            'draining': False,
            'answers': [
                {'shard': name, 'total': 0, 'hits': []}
                for name in other.shards
            ],
        }
        decoded = codec.decode_reply(request, msgspec.json.encode(reply))
        self.assertEqual(request == other, decoded.is_ok())


class MergeTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        INDEXES,
        QUERIES,
        strategies.sampled_from(indexes.SNAPSHOTS),
        strategies.data(),
    )
    def test_merge_equals_the_naive_merge(self, index, query, snapshot, data):
        # Guards against a merged answer that depends on the order of
        # arrival, or handles ties or limits wrongly.
        names = data.draw(
            strategies.lists(
                strategies.sampled_from([*index.weights(snapshot)]),
                unique=True,
            )
        )
        merged = merge_answers(
            [
                indexes.decode_answer(
                    index.build_answer(snapshot, name, query)
                )
                for name in names
            ],
            query.limit,
        )
        self.assertEqual(
            index.merge_naively(snapshot, names, query),
            (merged.total, [hit._asdict() for hit in merged.hits]),
        )


class ExecutionTest(unittest.TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(INDEXES, QUERIES, EVENTS, strategies.booleans())
    def test_outcome_equals_the_naive_merge(
        self, index, query, events, idempotent
    ):
        # Guards against an answer that is not exactly the naive merge of the
        # covered shards of one snapshot, and against coverage that is not
        # their weight. Partitions, order of events, losses, duplicates and
        # changes to another snapshot are generated.
        selector = create_snapshot_selector(index.build_group())
        for name in index.servers:
            selector.record_held_snapshots(name, ('s1',), 0.0)
        selector.update_choice(0.0)
        execution = indexes.create_execution(
            index, query, idempotent, selector
        )
        sends = {}
        ended_attempts = set()
        refused_attempts = set()
        now_ms = 0.0

        def record_sends(actions):
            for action in actions:
                if isinstance(action, Send):
                    sends[action.attempt] = action

        def deliver_answer(send, snapshot):
            # The answer contains data of the snapshot that it names.
            names = [*index.weights(snapshot)]
            documents = [
                index.build_answer(
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

        def report_failure(number, code, has_run):
            ended_attempts.add(number)
            if has_run is Ran.NO:
                refused_attempts.add(number)
            record_sends(execution.on_failure(number, code, has_run, now_ms))

        record_sends(execution.start(0.0))
        ran_attempts = set()
        for choice, kind, delay in events:
            now_ms += delay
            record_sends(execution.on_timer(now_ms))
            open_sends = [
                send
                for number, send in sends.items()
                if number not in ended_attempts
                # 'again' duplicates an answer. A refused attempt never ran,
                # so no answer follows.
                or (kind == 'again' and number not in refused_attempts)
            ]
            if not open_sends:
                continue
            send = open_sends[choice % len(open_sends)]
            if kind == 'moved' and send.snapshot == 's2':
                kind = 'answer'
            ended_attempts.add(send.attempt)
            if kind not in ('refuse', 'moved'):
                ran_attempts.add(send.attempt)
            if kind in ('answer', 'again'):
                record_sends(deliver_answer(send, send.snapshot))
            elif kind == 'wrong snapshot':
                record_sends(
                    deliver_answer(
                        send, 's2' if send.snapshot == 's1' else 's1'
                    )
                )
            elif kind == 'lost':
                ended_attempts |= {
                    n for n, s in sends.items() if s.owner == send.owner
                }
                record_sends(execution.on_owner_lost(send.owner, now_ms))
            elif kind == 'moved':
                # All servers change at once, so that the query restarts.
                for name in index.servers:
                    selector.record_held_snapshots(name, ('s2',), now_ms)
                for number in sorted(
                    sends.keys() - ended_attempts | {send.attempt}
                ):
                    report_failure(number, ResultCode.BACKEND_SNAPSHOT, Ran.NO)
            elif kind == 'refuse':
                report_failure(
                    send.attempt, ResultCode.BACKEND_REFUSED, Ran.NO
                )
            else:
                report_failure(
                    send.attempt, ResultCode.BACKEND_SILENT, Ran.UNKNOWN
                )
        record_sends(execution.on_timer(1000.0))
        self._check_outcome(index, query, execution.outcome, ran_attempts)

    def _check_outcome(self, index, query, outcome, ran_attempts):
        if outcome.ran is Ran.NO:
            self.assertEqual(set(), ran_attempts)
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
            index.merge_naively(outcome.snapshot, covered, query),
            (merged.total, [hit._asdict() for hit in merged.hits]),
        )
        self.assertEqual(outcome.coverage.is_complete, covered == [*weights])
