from hawthornfold.integration.tests import support


class AtMostOnceTest(support.TrialCase):
    def test_resend_through_another_node_runs_once(self):
        # Guards against a payout that runs again when its caller sends it
        # again through another node, before and after the first answer.
        with support.open_trial() as (fleet, caller):
            tickets = [caller.obtain_ticket('entry-1') for _ in range(4)]
            pending = [
                caller.submit(node, support.PAYOUT, ticket)
                for ticket in tickets
                for node in ('entry-1', 'entry-2', 'entry-3')
            ]
            claims = [future.result() for future in pending]
            claims += [
                caller.ask('entry-2', support.PAYOUT, ticket)
                for ticket in tickets
            ]
            self.assertEqual(
                {'complete'}, {c.document.get('outcome') for c in claims}
            )
            self.assert_promises_kept(
                fleet, caller, support.create_reference(fleet)
            )

    def test_issuer_killed_while_payouts_run(self):
        # Guards against a second run, or a false "no", when the node that
        # runs a payout dies and the caller turns to other nodes.
        with support.open_trial() as (fleet, caller):
            tickets = [caller.obtain_ticket('entry-1') for _ in range(8)]
            pending = [
                caller.submit('entry-1', support.PAYOUT, ticket)
                for ticket in tickets
            ]
            fleet.kill('entry-1')
            for future in pending:
                future.result()
            for ticket in tickets:
                claim = caller.ask('entry-2', support.PAYOUT, ticket)
                self.assertEqual('unknown', claim.ran)
            fleet.start_again('entry-1')
            fleet.wait_until_ready(['entry-1'])
            for ticket in tickets:
                claim = caller.ask('entry-1', support.PAYOUT, ticket)
                self.assertEqual('unknown', claim.ran)
            self.assert_promises_kept(fleet, caller)

    def test_issuer_paused_and_woken_late(self):
        # Guards against a paused node that runs a payout on waking although
        # its caller was told otherwise, or runs it a second time.
        with support.open_trial() as (fleet, caller):
            tickets = [caller.obtain_ticket('entry-1') for _ in range(4)]
            fleet.pause('entry-1')
            pending = [
                caller.submit('entry-1', support.PAYOUT, ticket)
                for ticket in tickets
            ]
            others = [
                caller.ask('entry-2', support.PAYOUT, ticket)
                for ticket in tickets
            ]
            self.assertEqual({'unknown'}, {claim.ran for claim in others})
            fleet.resume('entry-1')
            for future in pending:
                future.result()
            for ticket in tickets:
                caller.ask('entry-3', support.PAYOUT, ticket)
            self.assert_promises_kept(fleet, caller)

    def test_owner_killed_while_payouts_run(self):
        # Guards against an entry that sends a payout to the next owner
        # although the dead one may have run it.
        with support.open_trial() as (fleet, caller):
            tickets = [caller.obtain_ticket('entry-1') for _ in range(8)]
            pending = [
                caller.submit('entry-1', support.PAYOUT, ticket)
                for ticket in tickets
            ]
            fleet.kill('entry-2')
            for future in pending:
                future.result()
            for ticket in tickets:
                caller.ask('entry-3', support.PAYOUT, ticket)
            self.assert_promises_kept(fleet, caller)

    def test_silent_connections_and_servers(self):
        # Guards against a second run when an established connection or a
        # whole server goes silent in the middle of a payout.
        with support.open_trial() as (fleet, caller):
            tickets = [caller.obtain_ticket('entry-1') for _ in range(6)]
            for ticket in tickets[:2]:
                caller.ask('entry-1', support.PAYOUT, ticket)
            for index, fault in ((1, 'stall_connections'), (2, 'silent')):
                fleet.set_server_fault(
                    f'payout-ledger-{index}', **{fault: True}
                )
            for ticket in tickets[2:]:
                caller.ask('entry-1', support.PAYOUT, ticket)
            for ticket in tickets:
                caller.ask('entry-2', support.PAYOUT, ticket)
            self.assert_promises_kept(fleet, caller)
