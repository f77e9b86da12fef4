import unittest

from hawthornfold import clock
from hawthornfold.owners import state as states
from hawthornfold.routing import create_rendezvous_policy
from hawthornfold.snapshots import BackendServer


class ServerStateTest(unittest.TestCase):
    def setUp(self):
        self.state = states.ServerState(
            'g',
            BackendServer('s', '127.0.0.1:1', 'dc', 6, 100),
            create_rendezvous_policy(),
            clock.create_manual_clock(),
        )
        self.state.record_report('i1', ('s1',), False, 0.0, 0.0)

    def test_cut_connections_leave_one_slot_until_the_server_answers(self):
        # Guards against use of all slots of a cold server between its restart
        # and its first answer.
        self.state.suspect_restart(10.0)
        self.assertEqual(1, self.state.queue.slots)
        self.state.record_report('i1', ('s1',), False, 20.0, 20.0)
        self.assertEqual(6, self.state.queue.slots)

    def test_a_new_incarnation_ramps_up_after_cut_connections(self):
        # Guards against a suspected restart that ends the ramp of a real one.
        self.state.suspect_restart(10.0)
        self.state.record_report('i2', ('s1',), False, 20.0, 20.0)
        self.state.record_report('i2', ('s1',), False, 30.0, 30.0)
        self.assertEqual(1, self.state.queue.slots)
        self.state.suspect_restart(40.0)
        self.state.record_report('i2', ('s1',), False, 2600.0, 2600.0)
        self.assertEqual(3, self.state.queue.slots)

    def test_reply_from_before_a_cut_does_not_end_the_suspicion(self):
        # Guards against use of all slots of a cold server because replies of
        # its former incarnation were read after its connections had closed.
        self.state.suspect_restart(10.0)
        self.state.record_report('i1', ('s1',), False, 5.0, 11.0)
        self.assertEqual(1, self.state.queue.slots)
        self.state.record_report('i2', ('s1',), False, 12.0, 20.0)
        self.assertEqual(1, self.state.queue.slots)
