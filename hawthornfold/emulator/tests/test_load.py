import collections
import unittest

from hypothesis import given
from hypothesis import strategies

from hawthornfold.emulator import deployments
from hawthornfold.emulator import load
from hawthornfold.emulator import mixes
from hawthornfold.emulator import recorder

MIX = mixes.build_mix(deployments.create_small())


class ScheduleTest(unittest.TestCase):
    """Guards against comparing two versions under different load."""

    @given(strategies.integers(0, 2**32), strategies.floats(10, 500))
    def test_same_seed_gives_same_schedule(self, seed, rate):
        first = load.build_schedule(seed, rate, 1.0, MIX)
        self.assertEqual(first, load.build_schedule(seed, rate, 1.0, MIX))

    def test_seeds_differ(self):
        first = load.build_schedule(1, 100, 1.0, MIX)
        self.assertNotEqual(first, load.build_schedule(2, 100, 1.0, MIX))

    def test_rate_and_mix_match_the_spec(self):
        # With 20,000 arrivals, six standard deviations are about 850 arrivals
        # or a share of 0.02.
        schedule = load.build_schedule(1, 1000, 20.0, MIX)
        self.assertLess(abs(len(schedule) - 20_000), 850)
        counts = collections.Counter(arrival.kind for arrival in schedule)
        for index, kind in enumerate(MIX):
            share = counts[index] / len(schedule)
            self.assertLess(abs(share - kind.weight), 0.021)

    def test_arrivals_are_sorted_and_within_the_run(self):
        times = [a.at_ms for a in load.build_schedule(3, 300, 2.0, MIX)]
        self.assertEqual(times, sorted(times))
        self.assertLess(times[-1], 2000.0)


class RecorderTest(unittest.TestCase):
    """Guards against counting bad answers as good ones."""

    def test_merged_counts_and_percentiles(self):
        parts = [recorder.Recorder(), recorder.Recorder()]
        answer = {
            'request_id': 'q',
            'outcome': 'partial',
            'code': 1,
            'coverage': {'answered_weight': 9, 'total_weight': 10},
        }
        # The rule of this kind requires 95 percent coverage within 400 ms.
        parts[0].record_answer(MIX[0], answer, 20.0)
        answer['coverage']['answered_weight'] = 10
        parts[1].record_answer(MIX[0], answer, 30.0)
        parts[1].record_answer(MIX[0], answer, 401.0)
        parts[1].record_drop(MIX[0], 'entry-1', 5.0, 'ProtocolError')
        merged = recorder.merge_results(part.results() for part in parts)
        counts = merged['counts']['urgent']
        self.assertEqual(
            (counts['sent'], counts['good'], counts['full']), (4, 1, 2)
        )
        self.assertEqual(counts['dropped'], 1)
        latencies = merged['histograms']['urgent']
        self.assertEqual(latencies.get_total_count(), 4)
        self.assertEqual(latencies.get_value_at_percentile(100) // 1000, 401)
