import collections
import unittest

import logbook.compat

from hawthornfold import clock
from hawthornfold import metrics
from hawthornfold.callers import requests
from hawthornfold.tickets import messages
from hawthornfold.tickets import service

Named = collections.namedtuple('Named', 'name')
Settings = collections.namedtuple('Settings', 'node')
Member = collections.namedtuple('Member', 'name address incarnation')
Membership = collections.namedtuple('Membership', 'members')
Context = collections.namedtuple(
    'Context', 'settings incarnation clock links membership metrics'
)


class RecordingLinks:
    def __init__(self):
        self.sent = []
        self.is_up = True

    def send(self, name, address, body):
        if self.is_up:
            self.sent.append((name, body))
        return self.is_up


class TicketServiceTest(unittest.TestCase):
    def create(self, node, incarnation=7):
        self.links = RecordingLinks()
        context = Context(
            Settings(Named(node)),
            incarnation,
            clock.create_manual_clock(),
            self.links,
            Membership([Member('a', 'a:1', 7), Member('b', 'b:1', 7)]),
            metrics.create_metrics(),
        )
        return service.create_ticket_service(context, b'secret')

    def forward(self, ticket_text, handler):
        issuer = self.create('a')
        issuer.set_handler(handler)
        message = messages.Forward('f1', '7', ticket_text, '/', {}, b'{}')
        issuer._answer_forward(Member('b', 'b:1', 7), message)
        ((_, reply),) = self.links.sent
        return reply

    def test_an_error_of_the_issuer_is_reported(self):
        # Guards against a caller that waits until its timeout because the
        # issuer sent no reply after an internal error.
        text = self.create('a').issue().text

        def fail(request):
            raise RuntimeError('broken')

        with self.assertLogs():
            with logbook.compat.LoggingHandler().applicationbound():
                reply = self.forward(text, fail)
        self.assertEqual(500, reply.status)
        self.assertIn(b'"unknown"', reply.body)

    def test_a_ticket_of_another_incarnation_is_not_forwarded_again(self):
        # Guards against two nodes that pass a request back and forth.
        text = self.create('a', incarnation=6).issue().text
        reply = self.forward(text, lambda request: None)
        self.assertIn(b'TICKET_ISSUER_UNREACHABLE', reply.body)

    def test_a_failed_send_refuses_the_request_immediately(self):
        # Guards against a caller that waits until its timeout although the
        # message to the issuer was not sent.
        ticket = self.create('a').issue()
        other = self.create('b')
        self.links.is_up = False
        request = requests.CallerRequest('POST', '/', {}, b'')
        answer = other.forward(ticket, request, 60_000.0)
        self.assertEqual('unknown', answer.document['ran'])
