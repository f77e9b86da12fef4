import unittest

from hypothesis import given
from hypothesis import strategies

from hawthornfold.emulator import naive

HITS = strategies.lists(
    strategies.builds(
        lambda number, score: {'id': f'd{number:03}', 'score': score},
        strategies.integers(0, 999),
        strategies.integers(0, 5),
    ),
    max_size=12,
)
ANSWERS = strategies.lists(
    strategies.builds(
        lambda hits, more: {'total': len(hits) + more, 'hits': hits},
        HITS,
        strategies.integers(0, 3),
    ),
    max_size=6,
)


class MergeAnswersTest(unittest.TestCase):
    """Tests the merge that serves as reference for the merge of the tier."""

    @given(ANSWERS, strategies.integers(0, 20), strategies.randoms())
    def test_order_of_answers_does_not_matter(self, answers, limit, source):
        merged = naive.merge_answers(answers, limit)
        source.shuffle(answers)
        self.assertEqual(naive.merge_answers(answers, limit), merged)

    @given(ANSWERS, strategies.integers(0, 20))
    def test_no_omitted_hit_ranks_above_a_returned_one(self, answers, limit):
        total, hits = naive.merge_answers(answers, limit)
        self.assertEqual(total, sum(a['total'] for a in answers))
        all_hits = [hit for answer in answers for hit in answer['hits']]
        self.assertEqual(len(hits), min(limit, len(all_hits)))
        remaining = [hit for hit in all_hits if hit not in hits]
        for omitted in remaining:
            for hit in hits:
                self.assertLessEqual(
                    (-hit['score'], hit['id']),
                    (-omitted['score'], omitted['id']),
                )
