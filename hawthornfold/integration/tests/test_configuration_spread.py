import contextlib
import json

from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.integration import callers
from hawthornfold.integration import revisions
from hawthornfold.integration import waiting
from hawthornfold.integration.tests import support

NODES = 5


class ConfigurationSpreadTest(support.TrialCase):
    @contextlib.contextmanager
    def open_sampled_fleet(self):
        """Run nodes of one data centre, two of them watchers, and sample them.

        Fails if a node's revision in force decreases.
        """
        deployment = deployments.create_small()._replace(
            data_centres=('zilina-1',)
        )
        self.rules = list(deployment.rules)
        extra = {'platform': {'watch_wait_ms': 2000}}
        with fleets.open_fleet(
            deployment, NODES, settings_extra=extra
        ) as fleet:
            self.wait_for_watchers(fleet)
            with revisions.open_sampler(fleet) as sampler:
                yield fleet
                waiting.wait_for(
                    lambda: min(sampler.samples.values()) > 10,
                    'more than 10 samples of every node',
                )
            self.assertEqual([], sampler.decreases)

    def wait_for_watchers(self, fleet):
        """Wait until only two nodes watch; every node does at its start."""

        def count_watches():
            reads = fleet.control_platform('GET', '/control/reads')[1]
            return reads['waiting']

        waiting.wait_for(
            lambda: (
                len(revisions.list_watchers(fleet)) == 2
                and count_watches() == 2
            ),
            'two watchers',
        )

    def publish(self, fleet, text=None):
        """Publish rules (valid ones by default); return the revision."""
        if text is None:
            self.rules = revisions.extend_rules(self.rules)
            text = json.dumps({'default': None, 'rules': self.rules})
        return fleet.publish('rules', text)[1]['revision']

    def set_platform_fault(self, fleet, **fault):
        fleet.control_platform('PUT', '/control/fault', fault)

    def restart_nodes(self, fleet, names):
        for name in names:
            fleet.start_again(name)
        fleet.wait_until_ready(names, timeout_s=waiting.TIMEOUT_S)

    def test_change_spreads_after_loss_of_platform_or_watchers(self):
        # Guards against a change that reaches only some nodes because the
        # platform or all watchers are lost, and against a restarted node
        # that serves an older configuration than its peers, or none.
        with self.open_sampled_fleet() as fleet:
            revision = self.publish(fleet)
            waiting.wait_for(
                lambda: any(
                    revisions.read_revision(fleet, name) >= revision
                    for name in fleet.nodes
                ),
                'the change at a watcher',
            )
            self.set_platform_fault(fleet, down=True)
            revisions.wait_until_in_force(fleet, revision)
            self.set_platform_fault(fleet)
            watchers = revisions.list_watchers(fleet)
            # Paused before the change, so that no watcher spreads it.
            for name in watchers:
                fleet.pause(name)
            revision = self.publish(fleet)
            for name in watchers:
                fleet.kill(name)
            others = [name for name in fleet.nodes if name not in watchers]
            revisions.wait_until_in_force(fleet, revision, others)
            self.set_platform_fault(fleet, down=True)
            self.restart_nodes(fleet, watchers)
            revisions.wait_until_in_force(fleet, revision)

    def test_nodes_never_return_to_older_revisions(self):
        # Guards against a node that returns to an older revision, either
        # from a stale platform replica after a restart or from its memory
        # after a pause during several changes; and against a document that
        # some nodes refuse and others apply.
        with self.open_sampled_fleet() as fleet:
            stale = fleet.control_platform('GET', '/control/state')[1]
            fleet.pause('entry-2')
            for _ in range(3):
                revision = self.publish(fleet)
                revisions.wait_until_in_force(
                    fleet, revision, [n for n in fleet.nodes if n != 'entry-2']
                )
            fleet.resume('entry-2')
            revisions.wait_until_in_force(fleet, revision)
            refused = self.publish(fleet, '{"rules": [{"name": 1}]}')

            def read_refusals():
                found = [
                    revisions.read_configuration(fleet, name)['refused']
                    for name in fleet.nodes
                ]
                return found if all('rules' in f for f in found) else None

            refusals = waiting.wait_for(
                read_refusals, 'the refusal at every node'
            )
            self.assertEqual(
                {refused}, {found['rules']['revision'] for found in refusals}
            )
            self.assertEqual(
                1,
                len({found['rules']['code'] for found in refusals}),
                refusals,
            )
            self.assertEqual(
                {revision},
                {revisions.read_revision(fleet, name) for name in fleet.nodes},
            )
            # The stale reply is also delayed: a node that received a newer
            # revision from its peers first must not apply it.
            self.set_platform_fault(
                fleet, stale_revision=stale['revision'], delay_ms=700.0
            )
            for index, name in enumerate(fleet.nodes):
                # The last two nodes start while the platform is down.
                if index == NODES - 2:
                    self.set_platform_fault(fleet, down=True)
                fleet.kill(name)
                self.restart_nodes(fleet, [name])
                self.assertEqual(
                    revision, revisions.read_revision(fleet, name)
                )
            self.set_platform_fault(fleet)
            revision = self.publish(fleet)
            revisions.wait_until_in_force(fleet, revision)

    def test_new_node_gets_configuration_from_peers(self):
        # Guards against a node that answers before it has a configuration,
        # and against one that never gets it because the platform is down.
        with self.open_sampled_fleet() as fleet:
            revision = self.publish(fleet)
            revisions.wait_until_in_force(fleet, revision)
            self.set_platform_fault(fleet, down=True)
            new, *peers = reversed(fleet.nodes)
            fleet.kill(new)
            for name in peers:
                fleet.pause(name)
            fleet.start_again(new)
            waiting.wait_for(
                lambda: callers.read_operator_page(fleet, new, 'status'),
                'the start of the new node',
            )
            caller = callers.create_trial_caller(fleet)
            for _ in range(20):
                claim = caller.send_query(new, support.SEARCH)
                self.assertEqual(
                    ('NOT_READY', 'no'),
                    (claim.document.get('code_name'), claim.ran),
                )
                self.assertFalse(fleet.is_ready(new))
            for name in peers:
                fleet.resume(name)
            fleet.wait_until_ready([new], timeout_s=waiting.TIMEOUT_S)
            self.assertEqual(revision, revisions.read_revision(fleet, new))
            waiting.wait_for(
                lambda: (
                    caller.send_query(new, support.SEARCH).document.get(
                        'outcome'
                    )
                    == 'complete'
                ),
                'a complete answer of the new node',
            )
            caller.close()
