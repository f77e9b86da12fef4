"""Handles exchanges whose connection broke before any byte of a response."""

import logbook

from hawthornfold.gateway.server_ends import create_server_end_checks

_LOG = logbook.Logger('request')


class InterruptionHandler:
    """Finds out under which requests servers end, and reports it.

    Parameters
    ----------
    fingerprints : RequestFingerprints
        Recognises requests.
    checks : ServerEndChecks
        Finds out whether a server has ended.
    """

    def __init__(self, fingerprints, checks):
        self._fingerprints = fingerprints
        self._checks = checks

    def handle(self, request, record, elapsed_ms):
        """Handle the interrupted exchange of a request.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        record : ServerRecord
            The record that it was sent by.
        elapsed_ms : float
            How long the exchange took.
        """

        def end(has_ended):
            _LOG.info(
                'event=exchange_interrupted request={} fingerprint={} '
                'server={} service={} server_ended={} ms={:.1f}',
                request.request_id,
                self._fingerprints.compute(request.head, request.body),
                record.server_id,
                record.service,
                has_ended,
                elapsed_ms,
            )

        self._checks.check(record, end)


def create_interruption_handler(fingerprints, pools, metrics):
    """Create the handler of a node."""
    return InterruptionHandler(
        fingerprints, create_server_end_checks(pools, metrics)
    )
