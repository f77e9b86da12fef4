"""How fast all nodes know which requests end servers, and what it costs."""

import types
import unittest

import msgspec

from hawthornfold.audit import create_audit_trail
from hawthornfold.clock import create_manual_clock
from hawthornfold.gateway.suspect_exchange import EXCHANGE_INTERVAL_MS
from hawthornfold.gateway.suspect_exchange import create_suspect_exchange
from hawthornfold.gateway.suspects import create_suspect_handler
from hawthornfold.gateway.tests import loads
from hawthornfold.gateway.tests.fleets import SimulatedFleet
from hawthornfold.metrics import create_metrics
from hawthornfold.quarantine import create_request_fingerprints
from hawthornfold.quarantine import create_suspect_table

# The bound of the users: all nodes in touch know so long after the third end.
STABLE_WINDOW_MS = 4_000.0
# What a node may send for control.
MAX_BYTES_PER_S = 4_000.0


class Node:
    """The part of a node that knows about suspects."""

    def __init__(self, fleets, simulation, name):
        self.fleet = SimulatedFleet(fleets, simulation, name)
        fleets[name] = self.fleet
        clock = types.SimpleNamespace(now_ms=lambda: simulation.now_ms)
        self.handler = create_suspect_handler(
            create_suspect_table(name),
            create_request_fingerprints('key'),
            create_audit_trail(create_manual_clock(0)),
            clock,
            create_metrics(),
        )
        self._exchange = create_suspect_exchange(
            self.handler, self.fleet, clock, simulation.rng
        )
        self._simulation = simulation
        self._run()

    def end(self, target, server, is_alone=True):
        """Record that a server has ended under a request."""
        record = types.SimpleNamespace(
            server_id=f's{server}', born_ms=1, service='a'
        )
        request = create_request(target)._replace_id(server)
        self.handler.record_end(request, 'rule', record, is_alone)

    def knows(self, target):
        """Return whether the node refuses a request."""
        return self.handler.is_quarantined(create_request(target))

    def _run(self):
        self._exchange.exchange()
        self._simulation.schedule(self._exchange.interval_ms, self._run)


class _Request(types.SimpleNamespace):
    def _replace_id(self, number):
        return _Request(**{**vars(self), 'request_id': f'r{number}'})


def create_request(target):
    head = f'GET /{target} HTTP/1.1\r\nHost: x\r\n'.encode()
    return _Request(head=head, body=b'', request_id='r')


class SuspectExchangeTest(unittest.TestCase):
    def create_fleet(self, node_count):
        self.simulation = loads.Simulation(1)
        self.fleets = {}
        self.nodes = [
            Node(self.fleets, self.simulation, f'n{number}')
            for number in range(node_count)
        ]

    def play(self, duration_ms):
        self.simulation.run(self.simulation.now_ms + duration_ms)

    def quarantine(self, target='x'):
        # At three nodes, as the callers' repeats reach other ones.
        for number in range(3):
            self.nodes[number].end(target, number)
            self.play(20.0)

    def count_knowing(self, target='x'):
        return sum(node.knows(target) for node in self.nodes)

    def test_small_fleet_knows_at_once(self):
        self.create_fleet(9)
        self.quarantine()
        self.assertEqual(self.count_knowing(), 9)

    def test_200_nodes_know_within_the_window(self):
        # Guards against news that end with the nodes that are told first.
        self.create_fleet(200)
        self.play(12_000.0)
        self.quarantine()
        self.assertGreater(self.count_knowing(), 0.9 * 200)
        self.play(STABLE_WINDOW_MS)
        self.assertGreaterEqual(self.count_knowing(), 0.99 * 200)
        self.play(4.0 * EXCHANGE_INTERVAL_MS)
        self.assertEqual(self.count_knowing(), 200)

    def test_2000_nodes_know_within_the_window(self):
        self.create_fleet(2_000)
        self.play(12_000.0)
        self.quarantine()
        self.play(STABLE_WINDOW_MS)
        self.assertGreaterEqual(self.count_knowing(), 0.99 * 2_000)

    def test_node_that_starts_later_learns_it(self):
        self.create_fleet(9)
        self.play(12_000.0)
        self.quarantine()
        self.nodes.append(Node(self.fleets, self.simulation, 'late'))
        self.play(STABLE_WINDOW_MS)
        self.assertTrue(self.nodes[-1].knows('x'))

    def test_both_sides_of_a_partition_know_after_it(self):
        self.create_fleet(9)
        self.play(12_000.0)
        for node in self.nodes[:4]:
            node.fleet.is_cut = True
        self.quarantine()
        self.assertEqual(self.count_knowing(), 4)
        for node in self.nodes:
            node.fleet.is_cut = False
        self.play(6.0 * EXCHANGE_INTERVAL_MS)
        self.assertEqual(self.count_knowing(), 9)

    def test_storm_of_suspects_stays_within_the_traffic_of_a_node(self):
        # Guards against messages that grow with the number of requests that
        # ran on the servers that ended.
        self.create_fleet(200)
        self.play(12_000.0)
        for node in self.nodes:
            node.fleet.sent.clear()
        duration_s = 10
        for second in range(duration_s):
            for number in range(40):
                node = self.simulation.rng.choice(self.nodes)
                node.end(f'{second}-{number}', number, False)
            self.play(1_000.0)
        sizes = [
            sum(len(msgspec.msgpack.encode(x)) for x in node.fleet.sent)
            for node in self.nodes
        ]
        mean = sum(sizes) / len(sizes) / duration_s
        self.assertLessEqual(mean, MAX_BYTES_PER_S)

    def test_malformed_news_change_nothing(self):
        self.create_fleet(2)
        first, second = self.nodes
        first.end('x', 1)
        (report,) = first.handler.create_reports(1)
        bad = report._replace(fingerprint='x'), report._replace(age_ms=-5)
        self.assertEqual(second.handler.apply_reports('n0', bad), [])
        self.assertFalse(second.handler.describe())
