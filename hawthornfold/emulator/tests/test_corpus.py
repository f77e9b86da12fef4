import unittest

import hypothesis
from hypothesis import strategies

from hawthornfold.emulator import corpus


def _search_all(documents, shard_count, text):
    hits, total = [], 0
    parts = corpus.partition_documents(documents, shard_count)
    for number, part in enumerate(parts):
        answer = corpus.ShardIndex(str(number), part).build_answer(
            'search', text, len(documents)
        )
        hits += answer['hits']
        total += answer['total']
    return total, sorted(hits, key=lambda hit: (-hit['score'], hit['id']))


class CorpusTest(unittest.TestCase):
    # Guards against answers that change when an index is repartitioned.
    # Such a change could hide or imitate an answer that mixes snapshots.
    @hypothesis.given(
        strategies.integers(1, 12), strategies.sampled_from(corpus.VOCABULARY)
    )
    @hypothesis.settings(deadline=None, max_examples=30)
    def test_answer_does_not_depend_on_shard_count(self, shard_count, text):
        documents = corpus.create_group_documents(3, 'portal', 's1', 300)
        self.assertEqual(
            _search_all(documents, 1, text),
            _search_all(documents, shard_count, text),
        )

    # Guards against replicas whose documents differ, and against snapshots
    # whose documents are equal or all differ.
    def test_documents_depend_on_seed_and_name_their_snapshot(self):
        old = corpus.create_shard_documents(1, 'portal', 's1', 'a', 100)
        new = corpus.create_shard_documents(1, 'portal', 's2', 'a', 100)
        self.assertEqual(
            old, corpus.create_shard_documents(1, 'portal', 's1', 'a', 100)
        )
        self.assertTrue(all(d.text.endswith(' s1') for d in old))
        texts = [
            (a.text.removesuffix(' s1'), b.text.removesuffix(' s2'))
            for a, b in zip(old, new, strict=True)
        ]
        changed = sum(a != b for a, b in texts)
        self.assertTrue(0 < changed < 50)

    # Guards against planned weights that differ from the number of documents,
    # which would make the coverage wrong in every experiment.
    def test_planned_weights_match_the_documents(self):
        for shard in corpus.plan_shards(1, 'portal', 500, 7):
            index = corpus.load_shard(
                1,
                'portal',
                's2',
                shard['name'],
                shard['weight'],
                tuple(shard['part']),
                shard['documents'],
            )
            total = index.build_answer('search', 's2', 1)['total']
            self.assertEqual(shard['weight'], total)

    # Guards against lookups by id that search the text instead.
    def test_record_is_looked_up_by_id(self):
        index = corpus.load_shard(1, 'portal', 's1', 'a', 10, None, 0)
        answer = index.build_answer('record', 'portal-a-00003', 5)
        ids = [hit['id'] for hit in answer['hits']]
        self.assertEqual(['portal-a-00003'], ids)
        self.assertEqual(
            0, index.build_answer('status', 'oakford', 5)['total']
        )
