import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hawthornfold.membership import LEASE_MS
from hawthornfold.membership import gossip
from hawthornfold.membership import simulation
from hawthornfold.membership.actions import Options
from hawthornfold.membership.confirmation import Confirmation
from hawthornfold.peers import Sender
from hawthornfold.peers import messages

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ['kill', 'restart', 'pause', 'resume', 'leave', 'cut', 'heal']
        ),
        st.integers(0, 6),
        st.integers(50, 6000),
    ),
    max_size=12,
)


def start(count, **arguments):
    fleet = simulation.Simulation(**arguments)
    vms = simulation.list_vms(count)
    for vm in vms:
        fleet.start(vm.name, vms)
    return fleet


def start_converged(count, **arguments):
    fleet = start(count, **arguments)
    assert fleet.run_until(fleet.is_converged)
    return fleet


def list_member_names(fleet, name):
    return {member.name for member in fleet.nodes[name].state.members}


class FleetTest(unittest.TestCase):
    def test_nodes_that_start_together_find_each_other(self):
        # Guards against a cold start that ends in several small fleets.
        for count in (1, 2, 9, 40):
            with self.subTest(count=count):
                fleet = start(count, seed=count)
                self.assertTrue(fleet.run_until(fleet.is_converged))
                self.assertTrue(fleet.run_until(fleet.is_confirmed))

    def test_single_node_joins_through_seeds(self):
        # Guards against join answers that are dropped because their sender
        # is in the VM list but has no member record yet.
        fleet = start_converged(8)
        vms = simulation.list_vms(9)
        fleet.start('entry-8', vms)
        fleet.set_listed_vms(vms)
        fleet.run_for(500)
        self.assertEqual(len(list_member_names(fleet, 'entry-8')), 9)

    def test_killed_node_is_removed_everywhere(self):
        # Guards against failures that are not detected, or detected but not
        # spread to the other nodes.
        fleet = start_converged(8)
        fleet.kill('entry-3')
        self.assertTrue(fleet.run_until(fleet.is_converged))
        kinds = {
            (observation.change.kind, observation.change.subject)
            for observation in fleet.observations
        }
        self.assertIn(('member-suspect', 'entry-3'), kinds)
        self.assertIn(('member-removed', 'entry-3'), kinds)

    def test_each_member_is_probed_within_two_rounds(self):
        # Guards against members that random choices leave out, whose failure
        # a small fleet detects late.
        count = 10
        for share in (0.0, 0.8):
            for seed in range(20):
                options = Options(local_probe_share=share)
                fleet = start_converged(count, seed=seed, options=options)
                before = len(fleet.observations)
                for number in range(1, count):
                    fleet.kill(f'entry-{number}')
                probes = 2 * (count - 1)
                if share:
                    # The rest of the probes is not counted on.
                    probes /= share
                # An unanswered probe takes up to one interval.
                fleet.run_for((probes + 1) * options.probe_interval_ms)
                suspects = {
                    observation.change.subject
                    for observation in fleet.observations[before:]
                    if observation.change.kind == 'member-suspect'
                }
                with self.subTest(share=share, seed=seed):
                    self.assertEqual(len(suspects), count - 1)

    def test_planned_leave_needs_no_timeout(self):
        # Guards against planned stops that other nodes treat as failures.
        fleet = start_converged(8)
        before = len(fleet.observations)
        fleet.leave('entry-2')
        fleet.run_for(10)
        self.assertTrue(fleet.is_converged())
        kinds = {
            observation.change.kind
            for observation in fleet.observations[before:]
        }
        self.assertEqual(kinds, {'member-left'})

    def test_restart_replaces_the_old_incarnation(self):
        # Guards against a restarted node that joins only after its old
        # process is removed, and against effects of the old process's late
        # messages.
        fleet = start_converged(8)
        fleet.start('entry-1', simulation.list_vms(8), incarnation=2)
        self.assertTrue(fleet.run_until(fleet.is_converged))
        kinds = {observation.change.kind for observation in fleet.observations}
        self.assertIn('member-replaced', kinds)
        self.assertNotIn('member-suspect', kinds)
        old = Sender('entry-1', 1, simulation.create_address('entry-1'))
        table = fleet.nodes['entry-0'].state.table
        before = table.get('entry-1')
        count = len(fleet.observations)
        false_update = table.get('entry-5')._replace(status=3)
        for body in (
            messages.Ping(1, 'zilina-1', 9, (false_update,)),
            messages.Leave(9),
            messages.SyncRecords((), (false_update,), True, False),
        ):
            fleet.inject(old, 'entry-0', body)
        self.assertIs(table.get('entry-1'), before)
        self.assertEqual(len(fleet.observations), count)

    def test_process_with_an_older_incarnation_is_superseded(self):
        # Guards against two processes of the same name that are both active.
        fleet = start_converged(3)
        newer = fleet.nodes['entry-1'].state.own._replace(incarnation=7)
        sender = fleet.nodes['entry-0'].sender
        body = messages.Ping(1, 'zilina-1', 0, (newer,))
        fleet.inject(sender, 'entry-1', body)
        state = fleet.nodes['entry-1'].state
        self.assertTrue(state.is_superseded)
        self.assertFalse(state.is_confirmed(fleet.clock.now_ms()))

    def test_false_suspicion_is_refuted(self):
        # Guards against the removal of a member that answers.
        fleet = start_converged(8)
        suspicion = fleet.nodes['entry-4'].state.own._replace(status=1)
        fleet.inject(
            fleet.nodes['entry-0'].sender,
            'entry-1',
            messages.Ping(1, 'zilina-1', 0, (suspicion,)),
        )
        before = len(fleet.observations)
        self.assertFalse(fleet.is_converged())
        self.assertTrue(fleet.run_until(fleet.is_converged))
        self.assertGreater(fleet.nodes['entry-4'].state.own.counter, 0)
        kinds = {
            observation.change.kind
            for observation in fleet.observations[before:]
        }
        self.assertNotIn('member-removed', kinds)

    def test_partitioned_sides_rejoin(self):
        # Guards against a fleet that stays split after a partition heals.
        fleet = start_converged(9)
        side = {'entry-0', 'entry-1', 'entry-2', 'entry-3'}
        fleet.partition(side)
        split = fleet.run_until(
            lambda: (
                all(
                    len(list_member_names(fleet, name)) == len(side)
                    for name in side
                )
                and len(list_member_names(fleet, 'entry-8')) == 9 - len(side)
            )
        )
        self.assertTrue(split)
        fleet.run_for(60_000)
        before = len(fleet.observations)
        fleet.partition(())
        self.assertTrue(fleet.run_until(fleet.is_converged))
        # Guards against one side applying the other side's removals, which
        # would change all owners at once.
        kinds = {
            observation.change.kind
            for observation in fleet.observations[before:]
        }
        self.assertNotIn('member-removed', kinds)


class PauseTest(unittest.TestCase):
    def test_paused_node_is_unconfirmed_until_members_answer(self):
        # Guards against a node that acts on an outdated member list after a
        # pause.
        fleet = start_converged(8)
        fleet.run_for(5000)
        state = fleet.nodes['entry-5'].state
        self.assertTrue(state.is_confirmed(fleet.clock.now_ms()))
        fleet.pause('entry-5')
        fleet.run_for(LEASE_MS + 2 * simulation.TICK_MS)
        self.assertFalse(state.is_confirmed(fleet.clock.now_ms()))
        fleet.loss = 1.0
        fleet.resume('entry-5')
        fleet.run_for(3000)
        self.assertFalse(state.is_confirmed(fleet.clock.now_ms()))
        fleet.loss = 0.0
        confirmed = fleet.run_until(
            lambda: state.is_confirmed(fleet.clock.now_ms())
        )
        self.assertTrue(confirmed)

    def test_short_pause_keeps_the_confirmation(self):
        # Guards against a node that refuses work after each short pause,
        # such as a garbage collection.
        fleet = start_converged(8)
        fleet.run_for(5000)
        state = fleet.nodes['entry-5'].state
        fleet.pause('entry-5')
        fleet.run_for(LEASE_MS - 200)
        fleet.resume('entry-5')
        self.assertTrue(state.is_confirmed(fleet.clock.now_ms()))

    def test_single_node_is_confirmed_after_one_round(self):
        # Guards against a fleet of one node that never serves again after a
        # pause.
        fleet = start_converged(1)
        fleet.run_for(5000)
        state = fleet.nodes['entry-0'].state
        fleet.pause('entry-0')
        fleet.run_for(5000)
        fleet.resume('entry-0')
        fleet.run_for(100)
        self.assertFalse(state.is_confirmed(fleet.clock.now_ms()))
        fleet.run_for(1100)
        self.assertTrue(state.is_confirmed(fleet.clock.now_ms()))

    def test_resumed_node_suspects_nobody(self):
        # Guards against a resumed node that treats probes left unanswered
        # during its own pause as failures of other nodes. The periods differ
        # in the stage of the probe when the pause starts.
        for period_ms in (1000, 1500, 1900):
            with self.subTest(period_ms=period_ms):
                fleet = start_converged(8)
                fleet.loss = 1.0
                fleet.run_for(period_ms)
                fleet.loss = 0.0
                fleet.pause('entry-5')
                fleet.run_for(20_000)
                before = len(fleet.observations)
                fleet.nodes['entry-5'].inbox.clear()
                fleet.resume('entry-5')
                fleet.run_for(500)
                suspecting_nodes = {
                    observation.observer
                    for observation in fleet.observations[before:]
                    if observation.change.kind == 'member-suspect'
                }
                self.assertNotIn('entry-5', suspecting_nodes)
                self.assertTrue(fleet.run_until(fleet.is_converged))


class ConfirmationTest(unittest.TestCase):
    def test_needs_a_majority_of_the_probed_members(self):
        # Guards against confirmation by a single member on this side of a
        # partition, or by a member that was not probed.
        confirmation = Confirmation(0.0, 1000.0)
        confirmation.start_round(0.0, ['a', 'b', 'c'])
        for name in ('d', 'a', 'a'):
            confirmation.record_answer(name)
            self.assertFalse(confirmation.is_confirmed(1.0))
        confirmation.record_answer('c')
        self.assertTrue(confirmation.is_confirmed(1.0))
        self.assertFalse(confirmation.is_confirmed(LEASE_MS + 1.0))


class AdmissionTest(unittest.TestCase):
    def ping_from_unlisted_node(self, is_authenticated):
        options = Options(is_authenticated=is_authenticated)
        fleet = start_converged(3, options=options)
        sender = Sender('entry-7', 1, simulation.create_address('entry-7'))
        false_update = fleet.nodes['entry-1'].state.own._replace(status=3)
        body = messages.Ping(1, 'zilina-1', 0, (false_update,))
        fleet.inject(sender, 'entry-0', body)
        return fleet

    def test_unlisted_node_is_ignored(self):
        # Guards against a fleet that any process on the network can join.
        fleet = self.ping_from_unlisted_node(is_authenticated=False)
        self.assertTrue(fleet.is_converged())

    def test_authenticated_node_is_admitted_before_it_is_listed(self):
        # Guards against a lagging VM list that delays the join of a new node.
        fleet = self.ping_from_unlisted_node(is_authenticated=True)
        self.assertIn('entry-7', list_member_names(fleet, 'entry-0'))

    def test_wrong_address_is_not_admitted(self):
        # Guards against an unauthenticated process that uses a listed name.
        fleet = start_converged(3)
        sender = Sender('entry-1', 99, '10.9.9.9:7000')
        fleet.inject(sender, 'entry-0', messages.Join('zilina-1', 0))
        fleet.inject(sender, 'entry-0', messages.Leave(0))
        self.assertTrue(fleet.is_converged())

    def test_unlisted_member_that_answers_is_kept(self):
        # Guards against a stale or empty VM list that removes live members.
        fleet = start_converged(5)
        fleet.set_listed_vms(())
        fleet.run_for(30_000)
        self.assertTrue(fleet.is_converged())

    def test_member_listed_as_leaving_has_that_state(self):
        # Guards against choosing a VM that is about to stop as a new owner.
        fleet = start_converged(3)
        state = fleet.nodes['entry-0'].state
        version = state.version
        vms = [
            vm._replace(state='leaving') if vm.name == 'entry-1' else vm
            for vm in simulation.list_vms(3)
        ]
        fleet.set_listed_vms(vms)
        states = {member.name: member.state for member in state.members}
        self.assertEqual(states['entry-1'], 'leaving')
        self.assertEqual(states['entry-2'], 'live')
        self.assertGreater(state.version, version)


class PropertyTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(events=EVENTS, seed=st.integers(0, 1 << 32))
    def test_fleet_agrees_after_any_faults(self, events, seed):
        # Guards against sequences of faults after which the members' tables
        # never converge. Throughout, 10% of the messages are lost and others
        # are reordered.
        fleet = start(7, seed=seed, loss=0.1, max_delay_ms=80.0)
        vms = simulation.list_vms(7)
        incarnation = 1
        for kind, number, wait_ms in events:
            name = f'entry-{number}'
            if kind in ('kill', 'pause', 'resume', 'leave'):
                getattr(fleet, kind)(name)
            elif kind == 'restart':
                incarnation += 1
                fleet.start(name, vms, incarnation=incarnation)
            else:
                cut = ('entry-0', 'entry-1', name) if kind == 'cut' else ()
                fleet.partition(cut)
            fleet.run_for(wait_ms)
        fleet.partition(())
        for name in fleet.nodes:
            fleet.resume(name)
        fleet.loss = 0.0
        self.assertTrue(fleet.run_until(fleet.is_converged))
        self.assertTrue(fleet.run_until(fleet.is_confirmed))

    def test_number_of_updates_in_a_message_is_bounded(self):
        # Guards against probes whose size grows with the number of changes.
        fleet = start_converged(60)
        for number in range(20, 60):
            fleet.kill(f'entry-{number}')
        fleet.run_for(8000)
        for node in fleet.list_running():
            updates = node.state.collect_updates('entry-59')
            self.assertLessEqual(len(updates), gossip.MAX_MESSAGE_COST + 1)
