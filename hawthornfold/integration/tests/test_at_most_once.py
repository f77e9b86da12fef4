from hawthornfold.integration.tests import support


def obtain_tickets(caller, amount):
    """Return `amount` tickets that ``entry-1`` issued."""
    return [caller.obtain_ticket('entry-1') for _ in range(amount)]


def submit_all(caller, node, tickets):
    """Send payouts for all tickets at once; return their futures."""
    return [caller.submit_query(node, support.PAYOUT, t) for t in tickets]


def send_all(caller, node, tickets):
    """Send payouts for the tickets one by one; return their claims."""
    return [caller.send_query(node, support.PAYOUT, t) for t in tickets]


class AtMostOnceTest(support.TrialCase):
    def test_resent_payout_runs_once(self):
        # Guards against a second run when the caller sends a payout again
        # through another node, before or after the first answer.
        with support.open_fleet_with_caller() as (fleet, caller):
            tickets = obtain_tickets(caller, 4)
            pending = [
                future
                for node in ('entry-1', 'entry-2', 'entry-3')
                for future in submit_all(caller, node, tickets)
            ]
            claims = [future.result() for future in pending]
            claims += send_all(caller, 'entry-2', tickets)
            self.assertEqual(
                {'complete'}, {c.document.get('outcome') for c in claims}
            )
            self.assert_no_violations(
                fleet, caller, support.create_reference(fleet)
            )

    def test_payouts_run_once_when_issuer_is_killed(self):
        # Guards against a second run, or a false "no", when the node that
        # runs a payout is killed and the caller retries at other nodes.
        with support.open_fleet_with_caller() as (fleet, caller):
            tickets = obtain_tickets(caller, 8)
            pending = submit_all(caller, 'entry-1', tickets)
            fleet.kill('entry-1')
            for future in pending:
                future.result()
            claims = send_all(caller, 'entry-2', tickets)
            self.assertEqual({'unknown'}, {claim.ran for claim in claims})
            fleet.start_again('entry-1')
            fleet.wait_until_ready(['entry-1'])
            claims = send_all(caller, 'entry-1', tickets)
            self.assertEqual({'unknown'}, {claim.ran for claim in claims})
            self.assert_no_violations(fleet, caller)

    def test_payouts_run_once_when_issuer_is_paused(self):
        # Guards against a paused node that, after it resumes, runs a payout
        # that was reported as not run, or runs it a second time.
        with support.open_fleet_with_caller() as (fleet, caller):
            tickets = obtain_tickets(caller, 4)
            fleet.pause('entry-1')
            pending = submit_all(caller, 'entry-1', tickets)
            others = send_all(caller, 'entry-2', tickets)
            self.assertEqual({'unknown'}, {claim.ran for claim in others})
            fleet.resume('entry-1')
            for future in pending:
                future.result()
            send_all(caller, 'entry-3', tickets)
            self.assert_no_violations(fleet, caller)

    def test_payouts_run_once_when_owner_is_killed(self):
        # Guards against an entry that sends a payout to the next owner
        # although the killed owner may have run it.
        with support.open_fleet_with_caller() as (fleet, caller):
            tickets = obtain_tickets(caller, 8)
            pending = submit_all(caller, 'entry-1', tickets)
            fleet.kill('entry-2')
            for future in pending:
                future.result()
            send_all(caller, 'entry-3', tickets)
            self.assert_no_violations(fleet, caller)

    def test_payouts_run_once_when_servers_are_silent(self):
        # Guards against a second run when an open connection or a whole
        # server becomes silent during a payout.
        with support.open_fleet_with_caller() as (fleet, caller):
            tickets = obtain_tickets(caller, 6)
            send_all(caller, 'entry-1', tickets[:2])
            for index, fault in ((1, 'stall_connections'), (2, 'silent')):
                fleet.set_server_fault(
                    f'payout-ledger-{index}', **{fault: True}
                )
            send_all(caller, 'entry-1', tickets[2:])
            send_all(caller, 'entry-2', tickets)
            self.assert_no_violations(fleet, caller)
