"""Simulates a fleet whose nodes send to one cold server whenever they may."""

import heapq
import random
import types
import typing

from hawthornfold.directory import ServerRecord
from hawthornfold.directory import ServiceRecord
from hawthornfold.eligibility import create_node_roster
from hawthornfold.eligibility import create_warmup_limiter
from hawthornfold.metrics import create_metrics

# Longest times until a node knows of a change of another one, from
# docs/decisions/membership.md.
JOIN_DELAY_MS = 8_000.0
LOSS_DELAY_MS = 18_000.0
HEAL_DELAY_MS = 37_000.0
# Requests arrive up to this much later than they are sent.
MAX_TRAVEL_MS = 240.0
UPDATE_MS = 1_000.0
# Nodes try to send this often on average.
ATTEMPT_MS = 40.0
# The server remains cold for the whole simulation.
RECORD = ServerRecord('s1', 'portal', '', 'dc-0', 2, False, 600_000.0)


class Plan(typing.NamedTuple):
    """What happens to one node; times in milliseconds.

    `part` is the side of the partition that the node is on. Without a
    `frozen_ms` or `ended_ms` the node is neither suspended nor stopped. A node
    that leaves announces its end.
    """

    started_ms: float
    ended_ms: float
    leaves: bool
    frozen_ms: float
    thawed_ms: float
    part: int


class _Node:
    def __init__(self, name, data_centre, plan, limit):
        self.name, self.data_centre, self.plan = name, data_centre, plan
        self.roster = create_node_roster(
            {'n0', 'n1'} - {name}, plan.started_ms
        )
        self.limiter = create_warmup_limiter(name, 1.0, 0.0, create_metrics())
        service = ServiceRecord('portal', '/', 1, 3_000.0, float(limit))
        self.limiter.set_services({'portal': service})
        self.limiter.record_entry(RECORD, plan.started_ms)
        # What it knows of other nodes, and when it learns of changes.
        self.live = {name}
        self.learns_ms = {}

    def runs(self, now_ms):
        plan = self.plan
        return (
            plan.started_ms <= now_ms < plan.ended_ms
            and not plan.frozen_ms <= now_ms < plan.thawed_ms
        )


class FleetSimulation:
    """Runs nodes that may be partitioned once, and counts what arrives.

    Parameters
    ----------
    plans : list of Plan
        One for each node.
    partition : tuple of (float, float)
        Start and end of the partition.
    limit : int
        The limit of the server.
    seed : int
        Seed of the random times.
    """

    def __init__(self, plans, partition, limit, seed):
        self._rng = random.Random(seed)
        self._partition = partition
        self._nodes = [
            _Node(f'n{number}', f'dc-{number % 3}', plan, limit)
            for number, plan in enumerate(plans)
        ]
        self.arrivals = []

    def run(self, end_ms):
        """Run until a time."""
        rng = self._rng
        events = []
        for index, node in enumerate(self._nodes):
            start_ms = node.plan.started_ms + rng.uniform(0.0, UPDATE_MS)
            heapq.heappush(events, (start_ms, index, True))
            heapq.heappush(events, (start_ms, index, False))
        while events[0][0] < end_ms:
            now_ms, index, is_update = heapq.heappop(events)
            node = self._nodes[index]
            delay_ms = UPDATE_MS
            if node.runs(now_ms):
                if is_update:
                    self._update(node, now_ms)
                else:
                    self._send(node, now_ms)
            if not is_update:
                delay_ms = rng.expovariate(1.0 / ATTEMPT_MS)
            heapq.heappush(events, (now_ms + delay_ms, index, is_update))

    def find_worst_second(self):
        """Return the greatest number of arrivals in a sliding second."""
        arrivals = sorted(self.arrivals)
        worst = first = 0
        for last, arrived_ms in enumerate(arrivals):
            while arrived_ms - arrivals[first] > 1_000.0:
                first += 1
            worst = max(worst, last + 1 - first)
        return worst

    def count_arrivals(self, start_ms, end_ms):
        """Return the number of arrivals between two times."""
        return sum(start_ms <= x < end_ms for x in self.arrivals)

    def _send(self, node, now_ms):
        if not node.limiter.refuses(RECORD, now_ms):
            node.limiter.record_send(RECORD, now_ms)
            self.arrivals.append(
                now_ms + self._rng.uniform(0.0, MAX_TRAVEL_MS)
            )

    def _update(self, node, now_ms):
        self._learn(node, now_ms)
        node.roster.update(
            [
                types.SimpleNamespace(
                    name=x.name, address=x.name, data_centre=x.data_centre
                )
                for x in self._nodes
                if x.name in node.live
            ],
            lambda name: self._has_left(name, now_ms),
            now_ms,
        )
        node.limiter.set_nodes(node.roster.nodes)

    def _learn(self, node, now_ms):
        start_ms, end_ms = self._partition
        for other in self._nodes:
            if other is node:
                continue
            is_cut = (
                start_ms <= now_ms < end_ms
                and node.plan.part != other.plan.part
            )
            is_live = other.runs(now_ms) and not is_cut
            if is_live == (other.name in node.live):
                node.learns_ms.pop(other.name, None)
                continue
            delay_ms = JOIN_DELAY_MS
            if not is_live:
                delay_ms = LOSS_DELAY_MS
            elif end_ms <= now_ms < end_ms + HEAL_DELAY_MS:
                delay_ms = HEAL_DELAY_MS
            due_ms = node.learns_ms.setdefault(
                other.name, now_ms + self._rng.uniform(0.0, delay_ms - 1_000.0)
            )
            if now_ms >= due_ms:
                node.live ^= {other.name}

    def _has_left(self, name, now_ms):
        plan = self._nodes[int(name[1:])].plan
        return plan.leaves and now_ms >= plan.ended_ms
