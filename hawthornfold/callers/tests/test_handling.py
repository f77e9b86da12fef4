import types
import unittest
from unittest import mock

from hawthornfold.audit import create_request_journal
from hawthornfold.backends import Ran
from hawthornfold.callers.handling import RequestHandler
from hawthornfold.callers.requests import CallerRequest
from hawthornfold.clock import create_manual_clock
from hawthornfold.codes import ResultCode
from hawthornfold.metrics import create_metrics
from hawthornfold.queries.outcomes import QueryOutcome
from hawthornfold.rules import compile_rules
from hawthornfold.tickets.service import create_ticket_service

BODY = b'{"service": "payout-ledger", "kind": "record"}'


class TicketTest(unittest.TestCase):
    """Guards P4 and P5 at the node that issued the ticket.

    A request with a ticket runs at most once, and one that ran is never
    reported as not run.
    """

    def setUp(self):
        clock = create_manual_clock()
        context = types.SimpleNamespace(
            settings=mock.Mock(),
            incarnation=1,
            clock=clock,
            metrics=create_metrics(),
            journal=create_request_journal(clock),
            configuration=mock.Mock(is_ready=True),
            pause_guard=mock.Mock(),
            query_runner=mock.Mock(),
            links=None,
            membership=None,
        )
        context.settings.node.name = 'entry-1'
        context.ticket_service = create_ticket_service(context, b'secret')
        context.configuration.revision.return_value = 1
        context.pause_guard.is_stale.return_value = False
        self.guard = context.pause_guard
        self.runner = context.query_runner
        self.configuration = context.configuration
        self.set_rules(b'{"default": {"idempotent": false}, "rules": []}')
        self.set_outcome('complete', ResultCode.OK, Ran.YES)
        self.handler = RequestHandler(context)
        self.ticket = self.ask(None).document['ticket']

    def set_rules(self, data):
        rules = compile_rules(data).ok_value
        self.configuration.value.return_value = rules

    def set_outcome(self, outcome, code, ran):
        self.runner.run.return_value = QueryOutcome(outcome, code, '', ran)

    def ask(self, ticket, body=BODY):
        headers = {} if ticket is None else {'x-ticket': ticket}
        return self.handler.handle(
            CallerRequest('POST', '/v1/query', headers, body)
        )

    def check_answer(self, answer, code, ran, runs):
        document = answer.document
        self.assertEqual((document['code'], document['ran']), (code, ran))
        self.assertEqual(self.runner.run.call_count, runs)

    def test_requires_a_ticket_and_repeats_the_answer_for_it(self):
        self.check_answer(self.ask(None), 313, 'no', runs=0)
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=1)
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=1)
        other = BODY.replace(b'record', b'search')
        self.check_answer(self.ask(self.ticket, other), 311, 'no', runs=1)

    def test_ticket_stays_usable_if_the_request_did_not_run(self):
        self.set_outcome('refused', ResultCode.OVERLOADED, Ran.NO)
        self.check_answer(self.ask(self.ticket), 403, 'no', runs=1)
        self.set_outcome('complete', ResultCode.OK, Ran.YES)
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=2)

    def test_reports_after_a_pause_what_ran_before_it(self):
        self.guard.is_stale.return_value = True
        self.check_answer(self.ask(self.ticket), 410, 'no', runs=0)
        self.guard.is_stale.return_value = False
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=1)
        self.guard.is_stale.return_value = True
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=1)

    def test_does_not_run_again_after_a_change_of_rules(self):
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=1)
        self.set_rules(b'{"default": {"idempotent": true}, "rules": []}')
        self.check_answer(self.ask(self.ticket), 0, 'yes', runs=1)
        self.set_rules(b'{"default": null, "rules": []}')
        self.check_answer(self.ask(self.ticket), 305, 'unknown', runs=1)
        self.check_answer(self.ask(None), 305, 'no', runs=1)
