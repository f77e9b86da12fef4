import collections
import unittest
import unittest.mock

from hawthornfold import clock
from hawthornfold import metrics
from hawthornfold.owners import health
from hawthornfold.owners import state as states
from hawthornfold.routing import create_rendezvous_policy
from hawthornfold.snapshots import BackendServer

Owner = collections.namedtuple('Owner', 'states')
Context = collections.namedtuple(
    'Context', 'clock drains metrics audit pause_guard membership'
)


class HealthMonitorTest(unittest.TestCase):
    def setUp(self):
        manual = clock.create_manual_clock()
        self.membership = unittest.mock.Mock()
        self.state = states.ServerState(
            'g',
            BackendServer('s', '127.0.0.1:1', 'dc', 2, 25),
            create_rendezvous_policy(),
            manual,
        )
        self.monitor = health.HealthMonitor(
            Owner({'s': self.state}),
            Context(
                manual,
                None,
                metrics.create_metrics(),
                None,
                None,
                self.membership,
            ),
        )

    def count_checks(self, is_confirmed):
        self.membership.is_confirmed.return_value = is_confirmed
        with unittest.mock.patch('eventlet.spawn_n') as spawn:
            self.monitor.start_due_checks(10.0)
        return spawn.call_count

    def test_checks_start_once_the_membership_is_confirmed(self):
        # Guards against nodes that start together and each open connections to
        # every server as its only owner: 27 connections at a limit of 25.
        self.assertEqual(0, self.count_checks(False))
        self.assertEqual(1, self.count_checks(True))
        self.state.is_probing = False
        self.assertEqual(1, self.count_checks(False))

    def test_a_server_that_is_no_longer_owned_is_not_checked(self):
        # Guards against former owners that still open connections: a server
        # with a limit of 100 had 63 while nine nodes joined.
        self.state.unowned_since_ms = 5.0
        self.assertEqual(0, self.count_checks(True))
