"""Handles callers' requests: applies rules and tickets, runs the query."""

import hashlib

from hawthornfold.backends import Ran
from hawthornfold.callers import requests
from hawthornfold.codes import ResultCode
from hawthornfold.queries import QueryRequest
from hawthornfold.queries import merge_answers
from hawthornfold.queries.runner import compute_order
from hawthornfold.rules import RequestFacts
from hawthornfold.tickets.service import TicketState

QUERY_PATH = '/v1/query'
CLASS_HEADER = 'x-caller-class'
TICKET_HEADER = 'x-ticket'


class RequestHandler:
    """Answers queries from callers, and those that peers forward."""

    def __init__(self, context):
        self._settings = context.settings
        self._incarnation = context.incarnation
        self._clock = context.clock
        self._configuration = context.configuration
        self._pause_guard = context.pause_guard
        self._runner = context.query_runner
        self._tickets = context.ticket_service
        self._metrics = context.metrics
        self._journal = context.journal
        self._counter = 0

    def issue_ticket(self):
        """Answer with a new ticket for a later non-idempotent request."""
        if not self._configuration.is_ready:
            return requests.create_refusal(
                ResultCode.NOT_READY, 'no configuration yet'
            )
        ticket = self._tickets.issue()
        return requests.CallerAnswer(200, {'ticket': ticket.text})

    def handle(self, request):
        """Answer a `CallerRequest` to the query path."""
        started_ms = self._clock.now_ms()
        answer = self._answer_query(request, started_ms)
        latency_ms = self._clock.now_ms() - started_ms
        answer.document['latency_ms'] = round(latency_ms, 2)
        self._metrics.count(
            'queries', outcome=answer.document.get('outcome', 'none')
        )
        self._metrics.observe_ms(
            'query_latency', latency_ms, status=str(answer.status)
        )
        return answer

    def _answer_query(self, request, now_ms):
        # A request with the same ticket may have run before; only the node
        # that issued the ticket knows.
        ran = 'unknown' if TICKET_HEADER in request.headers else 'no'
        if not self._configuration.is_ready:
            return requests.create_refusal(
                ResultCode.NOT_READY, 'no configuration yet', ran
            )
        parsed = requests.parse_body(request.body)
        if parsed.is_err():
            failure = parsed.err_value
            return requests.create_refusal(failure.code, failure.detail)
        body = parsed.ok_value
        rules = self._configuration.value('rules')
        decision = rules.match(self._create_facts(request, body))
        if decision is None:
            return requests.create_refusal(
                ResultCode.RULE_NOT_MATCHED, 'no rule matches', ran
            )
        # A ticket is always checked, even if the rule says idempotent: nodes
        # may briefly have different rules, and the issuer must not run a
        # request twice because its own rules call it idempotent.
        if decision.idempotent and TICKET_HEADER not in request.headers:
            return self._run_query(self._next_request_id(), body, decision)
        return self._handle_ticket(request, body, decision, now_ms)

    def _create_facts(self, request, body):
        return RequestFacts(
            body.service,
            body.kind,
            request.headers.get(CLASS_HEADER, ''),
            request.method,
            request.path,
            request.headers,
            self._settings.node.data_centre,
        )

    def _next_request_id(self):
        self._counter += 1
        node = self._settings.node.name
        return f'{node}~{self._incarnation}~q{self._counter}'

    def _run_query(self, request_id, body, decision, ticket=None):
        self._journal.open(request_id)
        query = QueryRequest(
            request_id,
            body.service,
            body.kind,
            body.text,
            body.limit,
            compute_order(request_id),
        )
        outcome = self._runner.run(query, decision)
        self._journal.add(
            request_id,
            'end',
            outcome.outcome,
            f'code {int(outcome.code)} ran {outcome.ran.name.lower()} rule '
            f'{decision.rule} {outcome.detail}',
        )
        return self._create_answer(query, outcome, decision, ticket)

    def _create_answer(self, query, outcome, decision, ticket):
        merged = merge_answers(outcome.answers, query.limit)
        coverage = outcome.coverage
        document = {
            'request_id': query.request_id,
            'ticket': ticket,
            'outcome': outcome.outcome,
            'code': int(outcome.code),
            'code_name': outcome.code.name,
            'detail': outcome.detail,
            'ran': outcome.ran.name.lower(),
            'snapshot': outcome.snapshot,
            'coverage': None if coverage is None else coverage._asdict(),
            'total': merged.total,
            'hits': [hit._asdict() for hit in merged.hits],
            'rule': decision.rule,
            'revision': self._configuration.revision('rules'),
        }
        after_ms = requests.retry_after_ms(outcome.code)
        if outcome.outcome in ('refused', 'failed') and after_ms is not None:
            document['retry_after_ms'] = after_ms
        return requests.CallerAnswer(
            requests.http_status(outcome.code), document
        )

    # Non-idempotent requests

    def _handle_ticket(self, request, body, decision, now_ms):
        text = request.headers.get(TICKET_HEADER)
        if text is None:
            # Without a ticket, a repeated request could not be recognized. So
            # nothing runs yet; the caller gets a ticket to send with it.
            return requests.create_refusal(
                ResultCode.TICKET_REQUIRED,
                'send the request again with this ticket',
                ticket=self._tickets.issue().text,
            )
        ticket = self._tickets.parse(text)
        if ticket is None:
            # A ticket issued before a change of the cluster's key is invalid
            # too, so its request may have run.
            return requests.create_refusal(
                ResultCode.TICKET_INVALID,
                'not a ticket of this cluster, or of an earlier key',
                'unknown',
            )
        if not self._tickets.is_own(ticket):
            return self._tickets.forward(ticket, request, decision.deadline_ms)
        return self._run_with_ticket(ticket, body, decision, now_ms)

    def _run_with_ticket(self, ticket, body, decision, now_ms):
        fingerprint = hashlib.blake2b(
            repr((body.service, body.kind, body.text, body.limit)).encode(),
            digest_size=16,
        ).digest()
        state, answer = self._tickets.claim(
            ticket, fingerprint, decision.deadline_ms
        )
        if state is not TicketState.START:
            return answer
        answer = None
        try:
            answer = self._run_unless_stale(ticket, body, decision, now_ms)
        finally:
            has_run = answer is None or (
                answer.document['ran'] != Ran.NO.name.lower()
            )
            self._tickets.finish_run(ticket, answer, has_run)
        return answer

    def _run_unless_stale(self, ticket, body, decision, now_ms):
        # Checked only after the ticket ledger: a request that ran before the
        # pause must not be reported as not run when it is sent again.
        if self._pause_guard.is_stale(now_ms):
            return requests.create_refusal(
                ResultCode.BELIEFS_STALE,
                'the node is refreshing after a pause',
                ticket=ticket.text,
            )
        return self._run_query(ticket.text, body, decision, ticket.text)
