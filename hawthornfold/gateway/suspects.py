"""Applies what is known of requests under which servers have ended."""

import typing

import logbook

from hawthornfold.quarantine import EndedServer
from hawthornfold.quarantine import SuspectState

_LOG = logbook.Logger('gateway')

# Number of entries that the status page lists, quarantined ones first.
MAX_LISTED = 64


class Suspicion(typing.NamedTuple):
    """What is known of a request that is about to be sent.

    Parameters
    ----------
    fingerprint : str
        Names the request.
    is_quarantined : bool
        Whether it must not be sent.
    services : tuple of str
        Services whose servers have ended under it.
    """

    fingerprint: str
    is_quarantined: bool
    services: tuple[str, ...]


class SuspectHandler:
    """Records evidence against requests, and reports changes.

    Parameters
    ----------
    table : SuspectTable
        The requests.
    fingerprints : RequestFingerprints
        Recognises requests.
    audit : AuditTrail
        Records quarantines.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, table, fingerprints, audit, clock, metrics):
        self._table = table
        self._fingerprints = fingerprints
        self._audit = audit
        self._clock = clock
        self._metrics = metrics
        self._publish = lambda reports: None

    @property
    def has_entries(self):
        """Whether any request is a suspect."""
        return self._table.count > 0

    def set_publisher(self, publish):
        """Set what takes a list of `SuspectReport` for the other nodes."""
        self._publish = publish

    def examine(self, request):
        """Return the `Suspicion` against an `OutgoingRequest`, or None."""
        if not self._table.count:
            return None
        fingerprint = self._compute_fingerprint(request)
        state = self._table.get_state(fingerprint, self._clock.now_ms())
        if state is SuspectState.CLEAR:
            return None
        is_quarantined = state is SuspectState.QUARANTINED
        outcome = 'refused' if is_quarantined else 'tested'
        self._metrics.count('suspect_requests_received', outcome=outcome)
        return Suspicion(
            fingerprint, is_quarantined, self._table.get_services(fingerprint)
        )

    def is_quarantined(self, request):
        """Return whether an `OutgoingRequest` is quarantined."""
        if not self._table.count:
            return False
        state = self._table.get_state(
            self._compute_fingerprint(request), self._clock.now_ms()
        )
        return state is SuspectState.QUARANTINED

    def record_end(self, request, rule, record, is_alone):
        """Record that a server has ended while it ran a request.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        rule : str
            Name of its rule.
        record : ServerRecord
            The server.
        is_alone : bool
            Whether this was the only part of the request that was sent.
        """
        fingerprint = self._compute_fingerprint(request)
        self._metrics.count('server_ends_under_requests')
        _LOG.warning(
            'event=server_ended_under_request request={} fingerprint={} '
            'server={} service={} alone={}',
            request.request_id,
            fingerprint,
            record.server_id,
            record.service,
            is_alone,
        )
        change = self._table.record_end(
            fingerprint,
            EndedServer(record.server_id, record.born_ms),
            record.service,
            rule,
            request.request_id if is_alone else '',
            self._clock.now_ms(),
        )
        self._handle_changes([change], 'evidence')

    def record_answers(self, suspicion, services):
        """Record that servers of some services have answered a suspect."""
        change = self._table.record_answer(
            suspicion.fingerprint, services, self._clock.now_ms()
        )
        self._handle_changes([change], 'answer')

    def apply_reports(self, sender_name, reports):
        """Apply the reports of another node.

        Returns
        -------
        list of SuspectReport
            What was new, as the node knows it now.
        """
        changes = []
        now_ms = self._clock.now_ms()
        for report in reports:
            try:
                changes.append(self._table.apply_report(report, now_ms))
            except ValueError as error:
                self._metrics.count('suspect_reports', outcome='refused')
                _LOG.warning(
                    'event=suspect_report_refused node={} detail="{}"',
                    sender_name,
                    error,
                )
        return self._report_changes(changes, sender_name)

    def lift(self, fingerprint):
        """Clear a request because an operator says so.

        Returns
        -------
        bool
            Whether it was a suspect.
        """
        change = self._table.lift(fingerprint, self._clock.now_ms())
        self._handle_changes([change], 'operator')
        return change is not None

    def create_reports(self, limit):
        """Return the most important reports, for another node."""
        return self._table.create_reports(limit, self._clock.now_ms())

    def describe(self):
        """Return the entries as dictionaries, for operators."""
        return [report._asdict() for report in self.create_reports(MAX_LISTED)]

    def check(self):
        """Forget what is out of date; to be called each second."""
        now_ms = self._clock.now_ms()
        for report in self._table.expire(now_ms):
            _LOG.notice(
                'event=suspect_expired fingerprint={} rule={}',
                report.fingerprint,
                report.rule,
            )
        self._metrics.set_gauge('suspect_requests', self._table.count)
        self._metrics.set_gauge(
            'quarantined_requests', self._table.count_quarantined(now_ms)
        )

    def _compute_fingerprint(self, request):
        return self._fingerprints.compute(request.head, request.body)

    def _handle_changes(self, changes, cause):
        reports = self._report_changes(changes, cause)
        if reports:
            self._publish(reports)

    def _report_changes(self, changes, cause):
        """Log changes of state; return the reports of all changes."""
        reports = []
        for change in changes:
            if change is None:
                continue
            report = change.report
            reports.append(report)
            self._metrics.count('suspect_reports', outcome='applied')
            if not change.has_new_state:
                continue
            _LOG.notice(
                'event=suspect_changed fingerprint={} state={} cause={} '
                'origin={} rule={} age_ms={} ends={} proofs={}',
                report.fingerprint,
                report.state,
                cause,
                report.origin,
                report.rule or '-',
                report.age_ms,
                ','.join(end.server_id for end in report.ends) or '-',
                ','.join(report.proofs) or '-',
            )
            if report.quarantine_ms or report.is_lifted:
                self._audit.record(
                    'request', report.fingerprint, '', report.state, cause
                )
        return reports


def create_suspect_handler(table, fingerprints, audit, clock, metrics):
    """Create the handler of a node."""
    return SuspectHandler(table, fingerprints, audit, clock, metrics)
