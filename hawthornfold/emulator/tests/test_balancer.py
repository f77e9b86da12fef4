import unittest

from hypothesis import stateful
from hypothesis import strategies

from hawthornfold.emulator import balancer

NAMES = ('a', 'b', 'c')
LAG_MS = 100


class BalancerMachine(stateful.RuleBasedStateMachine):
    """Guards against an emulated balancer that reacts to failures too early.

    Without the lag, experiments would miss the requests that a real load
    balancer still sends to a dead node.
    """

    def __init__(self):
        super().__init__()
        targets = [balancer.Target(name, i) for i, name in enumerate(NAMES)]
        self._balancer = balancer.create_balancer(targets, LAG_MS)
        self._now_ms = 0
        self._polls = []

    @stateful.rule(
        name=strategies.sampled_from(NAMES), ready=strategies.booleans()
    )
    def poll(self, name, ready):
        self._polls.append((self._now_ms, name, ready))
        self._balancer.record_poll(name, ready, self._now_ms)

    @stateful.rule(step=strategies.integers(0, 80))
    def advance_time(self, step):
        self._now_ms += step
        self._balancer.apply_polls(self._now_ms)

    @stateful.rule()
    def send(self):
        before = self._balancer.next_target()
        ready = self._balancer.ready_targets()
        self.assert_polled_ready(before)
        self._balancer.advance_turn()
        if len(ready) > 1:
            assert self._balancer.next_target() != before

    def assert_polled_ready(self, target):
        expected = dict.fromkeys(NAMES, True)
        for at_ms, name, ready in self._polls:
            if at_ms + LAG_MS <= self._now_ms:
                expected[name] = ready
        assert expected[target.name] or not any(expected.values())


BalancerTest = BalancerMachine.TestCase


class BalancerTurnTest(unittest.TestCase):
    """Guards against load that is not spread evenly."""

    def test_requests_rotate_over_ready_nodes(self):
        targets = [balancer.Target(name, i) for i, name in enumerate(NAMES)]
        load_balancer = balancer.create_balancer(targets)
        load_balancer.record_poll('b', False, 0)
        load_balancer.apply_polls(0)
        turns = []
        for _ in range(4):
            turns.append(load_balancer.next_target().name)
            load_balancer.advance_turn()
        self.assertEqual(turns, ['a', 'c', 'a', 'c'])
