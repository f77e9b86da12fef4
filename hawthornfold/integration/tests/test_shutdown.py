import json
import signal
import threading

from hawthornfold.emulator import deployments
from hawthornfold.integration import loads
from hawthornfold.integration import waiting
from hawthornfold.integration.callers import read_operator_page
from hawthornfold.integration.tests import support

LAG_MS = 400.0
# Longer than the lag of the balancer plus the time between two polls.
LINGER_MS = 1500
PAYOUT_SERVERS = [f'payout-ledger-{index}' for index in range(1, 5)]


class ShutdownTest(support.TrialCase):
    def open_fleet(self, **shutdown):
        return support.open_fleet_with_caller(
            settings_extra={'shutdown': shutdown}, start_nodes=False
        )

    def start_fleet(self, fleet, deadline_ms):
        """Start the nodes with a deadline that a busy machine can meet."""
        rules = [
            rule | {'then': rule['then'] | {'deadline_ms': deadline_ms}}
            for rule in deployments.create_small().rules
        ]
        fleet.publish_document('rules', {'default': None, 'rules': rules})
        fleet.start_nodes()
        fleet.wait_until_ready()
        waiting.wait_for(
            lambda: (
                {
                    len(read_operator_page(fleet, name, 'status')['members'])
                    for name in fleet.nodes
                }
                == {len(fleet.nodes)}
            ),
            'all nodes in every member list',
        )

    def submit_payouts(self, fleet, caller, nodes):
        """Send a payout to each node; wait until servers receive them all."""
        tickets = [caller.obtain_ticket(node) for node in nodes]
        pending = [
            caller.submit_query(node, support.PAYOUT, ticket)
            for node, ticket in zip(nodes, tickets, strict=True)
        ]
        waiting.wait_for(
            lambda: (
                set(tickets)
                <= {record['request_id'] for record in fleet.collect_ledger()}
            ),
            'the payouts at the servers',
        )
        return pending

    def count_running(self, fleet, node):
        """Return the number of sub-requests that a node runs as an owner."""
        servers = read_operator_page(fleet, node, 'status')['servers']
        return sum(server['running'] for server in servers.values())

    def assert_complete(self, claims):
        self.assertTrue(claims)
        bad = [
            (claim.node, claim.status, claim.document)
            for claim in claims
            if claim.document.get('outcome') != 'complete'
        ]
        self.assertEqual([], bad[:5])

    def test_rolling_restart_loses_no_request(self):
        # Guards against requests that are cut, lost, refused or run twice
        # while nodes restart one by one behind a balancer that detects this
        # with a lag.
        with self.open_fleet(linger_ms=LINGER_MS) as (fleet, caller):
            self.start_fleet(fleet, 5000)
            with loads.open_balancer(fleet, LAG_MS) as balancer:
                with (
                    loads.open_load(
                        caller, balancer.choose_node, support.SEARCH, 6
                    ) as searches,
                    loads.open_load(
                        caller, balancer.choose_node, support.PAYOUT, 2, True
                    ) as payouts,
                ):
                    for name in fleet.nodes:
                        self.assertEqual(0, fleet.terminate(name))
                        fleet.start_again(name)
                        waiting.wait_for(
                            lambda name=name: (
                                fleet.is_ready(name)
                                and balancer.sends_to(name)
                            ),
                            f'{name} ready again',
                        )
            self.assert_complete(searches)
            self.assert_complete(payouts)
            self.assert_no_violations(fleet, caller)

    def test_stopping_owner_finishes_work_of_other_entries(self):
        # Guards against a shutdown that cuts sub-requests which the node runs
        # for other entries, and against entries that abandon them.
        with self.open_fleet(linger_ms=200) as (fleet, caller):
            self.start_fleet(fleet, 5000)
            for server in PAYOUT_SERVERS:
                # A sub-request takes about 0.9 s, far above the linger time.
                fleet.set_server_fault(server, slow_factor=60.0)
            # Enough payouts that every owner has work.
            pending = self.submit_payouts(fleet, caller, 4 * ['entry-1'])
            waiting.wait_for(
                lambda: all(
                    self.count_running(fleet, name)
                    for name in ('entry-2', 'entry-3')
                ),
                'work at the owners that will stop',
            )
            statuses = {}
            stops = [
                threading.Thread(
                    target=lambda name=name: statuses.update(
                        {name: fleet.terminate(name)}
                    )
                )
                for name in ('entry-2', 'entry-3')
            ]
            for stop in stops:
                stop.start()
            for stop in stops:
                stop.join()
            self.assertEqual({'entry-2': 0, 'entry-3': 0}, statuses)
            self.assert_complete([future.result() for future in pending])
            self.assert_no_violations(fleet, caller)

    def test_forced_stop_logs_cut_requests(self):
        # Guards against a shutdown that never ends, and against one that cuts
        # requests without logging it.
        with self.open_fleet(linger_ms=100, drain_limit_ms=60_000) as (
            fleet,
            caller,
        ):
            self.start_fleet(fleet, 7000)
            path = fleet.plan.directory / 'entry-3.json'
            settings = json.loads(path.read_text())
            settings['shutdown']['drain_limit_ms'] = 500
            path.write_text(json.dumps(settings))
            self.assertEqual(0, fleet.terminate('entry-3'))
            fleet.start_again('entry-3')
            fleet.wait_until_ready(['entry-3'])
            for server in PAYOUT_SERVERS:
                fleet.set_server_fault(server, silent=True)
            pending = self.submit_payouts(
                fleet, caller, ['entry-2', 'entry-3']
            )
            for name, signals in (('entry-2', 2), ('entry-3', 1)):
                process = fleet.process(name)
                process.send_signal(signal.SIGTERM)
                if signals == 2:
                    waiting.wait_for(
                        lambda name=name: not fleet.is_ready(name),
                        'the effect of the first signal',
                    )
                    process.send_signal(signal.SIGTERM)
                self.assertEqual(1, process.wait(15.0))
                self.assertRegex(process.read_output(), r'cut_requests=[1-9]')
            for future in pending:
                self.assertNotEqual('no', future.result().ran)
            self.assert_no_violations(fleet, caller)
