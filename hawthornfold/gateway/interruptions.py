"""Handles exchanges whose connection broke before a response was complete."""

from hawthornfold.gateway.server_ends import create_server_end_checks


class InterruptionHandler:
    """Finds out under which requests servers end, and records it.

    Parameters
    ----------
    suspects : SuspectHandler
        Records the evidence.
    checks : ServerEndChecks
        Finds out whether a server has ended.
    """

    def __init__(self, suspects, checks):
        self._suspects = suspects
        self._checks = checks

    def handle(self, request, decision, record, is_alone, on_checked):
        """Handle the interrupted exchange of a request.

        Parameters
        ----------
        request : OutgoingRequest
            The request.
        decision : Decision
            What the rules decided for it.
        record : ServerRecord
            The record that it was sent by.
        is_alone : bool
            Whether this was the only part of the request that was sent.
        on_checked : callable
            Takes whether the server has ended; called from the event loop.
            Must not raise errors.
        """

        def end(has_ended):
            if has_ended:
                self._suspects.record_end(
                    request, decision.rule, record, is_alone
                )
            on_checked(has_ended)

        services = (record.service,)
        if decision.gather is not None:
            services = decision.gather.shards
        self._checks.check(record, services, end)


def create_interruption_handler(suspects, pools, directory, metrics):
    """Create the handler of a node."""
    return InterruptionHandler(
        suspects, create_server_end_checks(pools, directory, metrics)
    )
