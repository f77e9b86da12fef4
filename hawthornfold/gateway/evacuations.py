"""Reports the evacuations of data centres to operators."""

import logbook

from hawthornfold.gateway.pools import ConnectionLimits

_LOG = logbook.Logger('gateway')

# Limits of a server in an evacuated data centre: none is kept open. An
# exchange that was in progress may still end on its connection.
EVACUATED_CONNECTIONS = ConnectionLimits(0, 1)


class EvacuationReporter:
    """Logs and counts changes of evacuations.

    Parameters
    ----------
    audit : AuditTrail
        Receives an entry for each change.
    metrics : Metrics
        Receives counters and gauges.
    """

    def __init__(self, audit, metrics):
        self._audit = audit
        self._metrics = metrics

    def report(self, events, in_force):
        """Report a list of `EvacuationEvent`.

        Parameters
        ----------
        in_force : frozenset of str
            The evacuated data centres after the events.
        """
        self._metrics.set_gauge('evacuated_data_centres', len(in_force))
        for event in events:
            self._metrics.count('evacuation_changes', state=event.after)
            _LOG.notice(
                'event=evacuation_changed data_centre="{}" before={} after={} '
                'position={}',
                event.data_centre,
                event.before,
                event.after,
                event.position,
            )
            self._audit.record(
                'evacuation',
                event.data_centre,
                event.before,
                event.after,
                f'position {event.position} of the store',
            )
