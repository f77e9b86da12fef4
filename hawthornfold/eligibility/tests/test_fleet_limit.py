"""Plays fleets that send to a cold server whenever their allotments allow."""

import math
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hawthornfold.eligibility.node_roster import LOST_RETENTION_MS
from hawthornfold.eligibility.tests.fleets import FleetSimulation
from hawthornfold.eligibility.tests.fleets import Plan

STEADY = Plan(0.0, math.inf, False, math.inf, math.inf, 0)
# When the fleet is settled, and when the changes of nodes happen.
SETTLED_MS = 15_000.0
NO_PARTITION = (math.inf, math.inf)
END_MS = 200_000.0
TIMES = st.floats(SETTLED_MS, 150_000.0)


@st.composite
def create_plans(draw, parts=1):
    """Draw the plans of nodes, of which some stay until the end."""
    plans = [
        STEADY._replace(part=draw(st.integers(0, parts - 1)))
        for _ in range(draw(st.integers(2, 8)))
    ]
    for _ in range(draw(st.integers(0, 4))):
        plan = STEADY._replace(part=draw(st.integers(0, parts - 1)))
        kind = draw(st.sampled_from(('ends', 'leaves', 'freezes', 'starts')))
        at_ms = draw(TIMES)
        if kind == 'freezes':
            thawed_ms = at_ms + draw(st.floats(100.0, 90_000.0))
            plan = plan._replace(frozen_ms=at_ms, thawed_ms=thawed_ms)
        elif kind == 'starts' and parts == 1:
            plan = plan._replace(started_ms=at_ms)
        else:
            plan = plan._replace(ended_ms=at_ms, leaves=kind == 'leaves')
        plans.append(plan)
    return plans


class FleetLimitTest(unittest.TestCase):
    @settings(max_examples=15, deadline=None)
    @given(create_plans(), st.integers(1, 30), st.integers())
    def test_limit_holds_while_nodes_start_end_and_freeze(
        self, plans, limit, seed
    ):
        # Guards against nodes that count themselves before others do, that
        # stop counting others too early, or that miss changes while frozen.
        fleet = FleetSimulation(plans, NO_PARTITION, limit, seed)
        fleet.run(END_MS)
        self.assertLessEqual(fleet.find_worst_second(), limit)

    @settings(max_examples=15, deadline=None)
    @given(
        create_plans(parts=3),
        TIMES,
        st.floats(500.0, 150_000.0),
        st.integers(1, 30),
        st.integers(),
    )
    def test_limit_holds_under_a_partition_and_after_it(
        self, plans, start_ms, duration_ms, limit, seed
    ):
        # Guards against sides of a partition that divide the limit anew among
        # themselves while another side still sends, or sends again.
        partition = (start_ms, start_ms + duration_ms)
        fleet = FleetSimulation(plans, partition, limit, seed)
        fleet.run(partition[1] + 80_000.0)
        self.assertLessEqual(fleet.find_worst_second(), limit)

    def test_limit_is_used_by_steady_fleets_and_by_the_larger_part(self):
        # Guards against limits that hold because hardly anything is sent.
        plans = [STEADY._replace(part=part) for part in (0, 0, 0, 0, 1, 1)]
        fleet = FleetSimulation(plans, (30_000.0, 150_000.0), 12, 1)
        fleet.run(150_000.0)
        self.assertGreater(fleet.count_arrivals(20_000.0, 25_000.0), 35)
        later_ms = 30_000.0 + LOST_RETENTION_MS + 20_000.0
        self.assertGreater(
            fleet.count_arrivals(later_ms, later_ms + 5_000.0), 35
        )

    def test_limit_holds_with_more_nodes_than_the_limit(self):
        # Guards against a bound that only holds if each node has an allotment.
        plans = [STEADY._replace(part=number % 3) for number in range(60)]
        plans += [
            STEADY._replace(ended_ms=20_000.0 + 500.0 * number)
            for number in range(10)
        ]
        fleet = FleetSimulation(plans, (40_000.0, 60_000.0), 35, 1)
        fleet.run(100_000.0)
        self.assertLessEqual(fleet.find_worst_second(), 35)
        self.assertGreater(fleet.count_arrivals(15_000.0, 20_000.0), 100)

    def test_single_started_node_of_an_unreachable_fleet_sends_nothing(self):
        # Guards against a node that takes itself for the whole fleet.
        fleet = FleetSimulation([STEADY], NO_PARTITION, 12, 1)
        fleet.run(END_MS)
        self.assertEqual(fleet.arrivals, [])
