"""What a node holds of the published store: its position and contents.

`StoreView` is a state machine: it receives reads of the store, and updates and
snapshots of readers, and decides what of them comes into force.
"""

import logbook

from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.positions import StorePosition

_LOG = logbook.Logger('directory')

# Maximum number of servers in a log line.
_MAX_LISTED_SERVERS = 8


class StoreView:
    """Servers and configuration of the store, up to a position.

    Parameters
    ----------
    directory : ServerDirectory
        The directory to update.
    metrics : object
        The node's metrics registry.
    on_servers : callable
        Called with a list of `DirectoryEvent` after servers changed.
    on_configuration : callable
        Called with each `RoutingConfiguration` that comes into force.
    """

    def __init__(self, directory, metrics, on_servers, on_configuration):
        self._directory = directory
        self._metrics = metrics
        self._on_servers = on_servers
        self._on_configuration = on_configuration
        # Position up to which all changes are applied. None until everything
        # was read once.
        self._position = None
        self._configuration = None
        self._configuration_era = UNKNOWN_ERA
        # Whether what was read may be seconds old, and whether there is a
        # configuration that has not come into force because of that.
        self._is_provisional = False
        self._is_held_back = False

    @property
    def is_provisional(self):
        """Whether what the node holds may be seconds old.

        A configuration does not come into force then, so that the node serves
        no request with servers and rules that had been withdrawn.
        """
        return self._is_provisional

    def confirm(self):
        """Record that what the node holds is current."""
        self._is_provisional = False
        if self._is_held_back:
            self._is_held_back = False
            self._on_configuration(self._configuration)

    @property
    def position(self):
        """The `StorePosition` up to which all changes are applied, or None."""
        return self._position

    @property
    def configuration(self):
        """The `RoutingConfiguration` in force, or None."""
        return self._configuration

    @property
    def configuration_era(self):
        """The era in which the configuration in force was written."""
        return self._configuration_era

    def resolve_era(self, era):
        """Return the era of an answer; one without is of the era in force."""
        if era is not None:
            return era
        return UNKNOWN_ERA if self._position is None else self._position.era

    def apply_complete(self, changes, now_ms, is_provisional=False):
        """Replace everything by a complete read or snapshot.

        Parameters
        ----------
        changes : StoreChanges
            All servers and the configuration, of the era in force or a later
            one.
        now_ms : float
            Current time.
        is_provisional : bool
            Whether they may be seconds old.
        """
        self._is_provisional = self._is_provisional or is_provisional
        before = self._position
        era = self.resolve_era(changes.era)
        is_restored = before is not None and era > before.era
        if changes.evacuations is not None:
            self._directory.evacuations.apply_read(
                changes.evacuations,
                StorePosition(era, changes.revision),
                now_ms,
            )
        deferred = set(self._directory.pending_removal_ids)
        events = self._directory.replace_all(
            changes.servers, now_ms, is_restored
        )
        if is_restored:
            self._report_restore(before, era, changes, events)
            self._position = StorePosition(era, changes.revision)
        elif before is None:
            _LOG.notice(
                'event=store_loaded position={}:{} servers={}',
                era,
                changes.revision,
                len(changes.servers),
            )
        self._commit(changes, era, events)
        self._report_deferred(deferred)
        if not is_provisional:
            self.confirm()

    def apply_changes(self, changes, now_ms):
        """Apply changes that follow on the position and make it current.

        Changes that were received from another source already are skipped.

        Parameters
        ----------
        changes : StoreChanges
            Changes of the era in force.
        now_ms : float
            Current time.
        """
        if changes.evacuations is not None:
            self._directory.evacuations.apply_changes(
                changes.evacuations,
                StorePosition(self._position.era, changes.revision),
                now_ms,
            )
        newer = [
            change
            for change in changes.servers
            if not 0 < change.revision <= self._position.revision
        ]
        deferred = set(self._directory.pending_removal_ids)
        events = self._directory.apply(newer, now_ms)
        self._commit(changes, self._position.era, events)
        self._report_deferred(deferred)
        self.confirm()

    def apply_corrections(self, changes, departed, now_ms):
        """Apply what another node knows and a restored store lacks.

        Parameters
        ----------
        changes : StoreChanges
            With the configuration that the other node holds.
        departed : iterable of DepartedServer
            Servers that have left although the store lists them as ready.
        now_ms : float
            Current time.
        """
        if changes.configuration is not None:
            self._offer_configuration(
                changes.configuration, changes.configuration_era or changes.era
            )
        self.hold_back(departed, now_ms)
        _LOG.notice(
            'event=store_corrected position={} version={} distrusted={}',
            self._position,
            self._configuration.version if self._configuration else None,
            ','.join(self._directory.distrusted_ids) or '-',
        )

    def hold_back(self, departed, now_ms):
        """Do not use servers that have left, as another node has seen.

        Parameters
        ----------
        departed, now_ms : iterable of DepartedServer, float
            As for `apply_corrections`.
        """
        self._notify_servers(self._directory.hold_back(departed, now_ms))

    def expire(self, now_ms):
        """Carry out what has been deferred and is due."""
        self._directory.evacuations.expire(now_ms)
        self._notify_servers(self._directory.expire_removals(now_ms))

    def _commit(self, changes, era, events):
        for failure in changes.failures:
            self._metrics.count('store_items_refused')
            _LOG.warning(
                'event=item_refused key={} detail="{}"',
                failure.key,
                failure.detail,
            )
        position = StorePosition(era, changes.revision)
        if self._position is None or position > self._position:
            # A reply from a lagging replica of the store must not move the
            # position back.
            self._position = position
        if changes.configuration is not None:
            self._offer_configuration(
                changes.configuration, changes.configuration_era or era
            )
        self._notify_servers(events)

    def _report_deferred(self, known_ids):
        """Log the servers whose removal was deferred by the last changes."""
        added = sorted(set(self._directory.pending_removal_ids) - known_ids)
        if added:
            _LOG.notice(
                'event=removals_deferred position={} count={} servers={}',
                self._position,
                len(added),
                ','.join(added[:_MAX_LISTED_SERVERS]),
            )

    def _offer_configuration(self, configuration, era):
        before = self._configuration
        if before is None or configuration.version > before.version:
            is_newer = True
        else:
            # After a restore the operator writes again, perhaps other rules
            # under a version that the store has lost. An older version is
            # what the copy holds until then.
            is_newer = (
                configuration.version == before.version
                and era > self._configuration_era
                and _differs(configuration, before)
            )
        if is_newer:
            self._configuration = configuration
            self._configuration_era = era
            self._is_held_back = self._is_provisional
            if not self._is_provisional:
                self._on_configuration(configuration)
            return
        self._metrics.count('configurations_ignored')
        if configuration.version == before.version:
            self._configuration_era = max(self._configuration_era, era)
        elif era > self._configuration_era:
            _LOG.warning(
                'event=configuration_kept version={} era={} listed_version={} '
                'listed_era={}',
                before.version,
                self._configuration_era,
                configuration.version,
                era,
            )

    def _report_restore(self, before, era, changes, events):
        self._metrics.count('store_eras_changed')
        _LOG.notice(
            'event=store_restored position_before={} position={}:{} '
            'servers={} events={} unlisted={} distrusted={}',
            before,
            era,
            changes.revision,
            len(changes.servers),
            len(events),
            ','.join(self._directory.pending_removal_ids) or '-',
            ','.join(self._directory.distrusted_ids) or '-',
        )

    def _notify_servers(self, events):
        if not events:
            return
        for event in events:
            self._metrics.count('server_changes', kind=event.kind)
        self._on_servers(events)


def _differs(configuration, other):
    """Return whether two configurations of one version have other contents."""
    return (
        configuration.document != other.document
        or configuration.services != other.services
        or configuration.limits != other.limits
    )
