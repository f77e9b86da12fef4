"""Issues tickets, runs them at most once, forwards them to their issuer."""

import enum

import eventlet
import eventlet.event
import logbook
import msgspec

from hawthornfold.callers import requests
from hawthornfold.codes import ResultCode
from hawthornfold.tickets import messages
from hawthornfold.tickets.issuer import create_ticket_issuer
from hawthornfold.tickets.ledger import AdmissionKind
from hawthornfold.tickets.ledger import create_ticket_ledger

# Time in ms beyond the rule's deadline that a forwarded request may take, for
# the two messages between the nodes.
FORWARD_SLACK_MS = 100.0


# Marks the answer of a run that has not ended; None is the answer of a run
# that ended with an internal error.
_STILL_RUNNING = object()

_LOG = logbook.Logger('tickets')


class TicketState(enum.Enum):
    """Whether the caller must run the request or return an answer."""

    START = 'start'
    ANSWERED = 'answered'


# Code and detail of the refusal when a ticket cannot start a run, and whether
# this incarnation ran the request.
_REFUSALS = {
    AdmissionKind.CONFLICT: (
        ResultCode.TICKET_CONFLICT,
        'the ticket was used with another request',
        'no',
    ),
    AdmissionKind.EXPIRED: (
        ResultCode.TICKET_EXPIRED,
        'the ticket is too old; whether it was used is no longer known',
        'unknown',
    ),
    AdmissionKind.FULL: (
        ResultCode.OVERLOADED,
        'too many tickets are in use',
        'no',
    ),
    AdmissionKind.ANSWER_GONE: (
        ResultCode.TICKET_ANSWER_GONE,
        'the request was run; its answer is no longer held',
        'unknown',
    ),
}


class TicketService:
    """Issues tickets and runs the request of each at most once."""

    def __init__(self, context, secret):
        self._node = context.settings.node.name
        self._incarnation = str(context.incarnation)
        self._clock = context.clock
        self._links = context.links
        self._membership = context.membership
        self._metrics = context.metrics
        self._issuer = create_ticket_issuer(
            self._node, self._incarnation, secret
        )
        self._ledger = create_ticket_ledger()
        self._run_events = {}
        self._reply_events = {}
        self._forward_counter = 0
        self._handler = None

    @property
    def ledger(self):
        """The `TicketLedger` of this incarnation."""
        return self._ledger

    @property
    def in_flight(self):
        """Number of forwarded requests that wait for an answer."""
        return len(self._reply_events)

    def set_handler(self, handler):
        """Register ``handler(request)``, which answers forwarded requests."""
        self._handler = handler

    def parse(self, text):
        """Return the `Ticket` in `text`, or None when it is not valid."""
        return self._issuer.parse(text)

    def is_own(self, ticket):
        """Return whether this incarnation issued the ticket."""
        return (ticket.node, ticket.incarnation) == (
            self._node,
            self._incarnation,
        )

    def issue(self):
        """Issue a ticket of this incarnation."""
        ticket = self._issuer.issue()
        self._ledger.record_issue(ticket.counter, self._clock.now_ms())
        return ticket

    # At-most-once execution

    def claim(self, ticket, fingerprint, deadline_ms):
        """Claim a ticket of this incarnation.

        A request that arrives again while the first run of its ticket is in
        progress waits for the answer of that run.

        Parameters
        ----------
        ticket : Ticket
            A valid ticket.
        fingerprint : bytes
            Hash of the request.
        deadline_ms : float
            Maximum time in ms to wait for the answer of another run.

        Returns
        -------
        tuple of (TicketState, CallerAnswer or None)
            START without an answer, or ANSWERED with the answer to return.
        """
        admission = self._ledger.claim(
            ticket.counter, fingerprint, self._clock.now_ms()
        )
        self._metrics.count('tickets', verdict=admission.kind.value)
        if admission.kind is AdmissionKind.START:
            self._run_events[ticket.counter] = eventlet.event.Event()
            return TicketState.START, None
        if admission.kind is AdmissionKind.REPLAY:
            return TicketState.ANSWERED, admission.answer
        if admission.kind is AdmissionKind.IN_PROGRESS:
            return TicketState.ANSWERED, self._wait_for_answer(
                ticket, deadline_ms
            )
        code, detail, ran = _REFUSALS[admission.kind]
        answer = requests.create_refusal(code, detail, ran, ticket=ticket.text)
        return TicketState.ANSWERED, answer

    def finish_run(self, ticket, answer, has_run):
        """Record the end of a run.

        Parameters
        ----------
        ticket : Ticket
            A ticket for which `claim` returned START.
        answer : CallerAnswer or None
            None after an internal error.
        has_run : bool
            False when the request did not run; the ticket is unused then.
        """
        if has_run:
            size = 0 if answer is None else len(answer.body)
            self._ledger.record_answer(ticket.counter, answer, size)
        else:
            self._ledger.release(ticket.counter)
        self._run_events.pop(ticket.counter).send(answer)

    def _wait_for_answer(self, ticket, deadline_ms):
        run_event = self._run_events[ticket.counter]
        answer = _STILL_RUNNING
        with eventlet.Timeout(deadline_ms / 1000.0, False):
            answer = run_event.wait()
        if answer is None:
            return requests.create_refusal(
                ResultCode.INTERNAL,
                'the first sending ended with an internal error',
                'unknown',
                ticket=ticket.text,
            )
        if answer is not _STILL_RUNNING:
            return answer
        return requests.create_refusal(
            ResultCode.TICKET_IN_PROGRESS,
            'the first sending of this request has not ended',
            'unknown',
            ticket=ticket.text,
        )

    # Forwarding

    def forward(self, ticket, request, deadline_ms):
        """Forward a request to the issuer of its ticket; return the answer."""
        member = self._find_issuer(ticket)
        if member is None:
            return self._refuse_unreachable(
                ticket, 'the issuer is not a member'
            )
        self._forward_counter += 1
        forward_id = f'{self._incarnation}~{self._forward_counter}'
        message = messages.Forward(
            forward_id,
            ticket.incarnation,
            ticket.text,
            request.path,
            request.headers,
            request.body,
        )
        reply_event = eventlet.event.Event()
        self._reply_events[forward_id] = reply_event
        self._metrics.count('forwards')
        reply = None
        try:
            if self._links.send(member.name, member.address, message):
                timeout_ms = deadline_ms + FORWARD_SLACK_MS
                with eventlet.Timeout(timeout_ms / 1000.0, False):
                    reply = reply_event.wait()
        finally:
            del self._reply_events[forward_id]
        if reply is None:
            return self._refuse_unreachable(
                ticket, 'the issuer did not answer'
            )
        document = msgspec.json.decode(reply.body)
        return requests.CallerAnswer(reply.status, document)

    def handle_forward(self, sender, message):
        """Answer a forwarded request in a new green thread."""
        eventlet.spawn_n(self._answer_forward, sender, message)

    def handle_forward_reply(self, sender, reply):
        """Pass the issuer's answer to the request that waits for it."""
        reply_event = self._reply_events.get(reply.forward_id)
        if reply_event is None or reply_event.ready():
            self._metrics.count('late_forward_replies')
            return
        reply_event.send(reply)

    def _answer_forward(self, sender, message):
        ticket = self._issuer.parse(message.ticket)
        if ticket is None or not self.is_own(ticket):
            # A forwarded request is not forwarded again, because two nodes
            # could pass it back and forth forever.
            answer = requests.create_refusal(
                ResultCode.TICKET_ISSUER_UNREACHABLE,
                'the ticket is of another incarnation',
                'unknown',
            )
        else:
            answer = self._run_forwarded(message)
        reply = messages.ForwardReply(
            message.forward_id, answer.status, answer.body
        )
        self._links.send(sender.name, sender.address, reply)

    def _run_forwarded(self, message):
        headers = {**message.headers, 'x-ticket': message.ticket}
        request = requests.CallerRequest(
            'POST', message.path, headers, message.body
        )
        try:
            return self._handler(request)
        except Exception:  # noqa: BLE001
            # The node that waits must receive a reply after any error.
            self._metrics.count('forward_internal_errors')
            _LOG.exception('forwarded request failed with an internal error')
            return requests.create_refusal(
                ResultCode.INTERNAL,
                'internal error of the issuer',
                'unknown',
                ticket=message.ticket,
            )

    def _find_issuer(self, ticket):
        for member in self._membership.members:
            if (member.name, str(member.incarnation)) == (
                ticket.node,
                ticket.incarnation,
            ):
                return member
        return None

    def _refuse_unreachable(self, ticket, detail):
        return requests.create_refusal(
            ResultCode.TICKET_ISSUER_UNREACHABLE,
            detail,
            'unknown',
            ticket=ticket.text,
        )


def create_ticket_service(context, secret):
    """Create the ticket service from the node's context.

    Parameters
    ----------
    secret : bytes
        Key that all nodes of the cluster share to sign tickets.
    """
    return TicketService(context, secret)
