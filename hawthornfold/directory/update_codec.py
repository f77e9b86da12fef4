"""Builds the updates of the store for followers, and decodes theirs."""

import logbook

from hawthornfold.directory.configuration_codec import decode_change
from hawthornfold.directory.configuration_codec import decode_configuration
from hawthornfold.directory.configuration_codec import encode_change
from hawthornfold.directory.configuration_codec import encode_configuration
from hawthornfold.directory.positions import UNKNOWN_ERA
from hawthornfold.directory.record_checks import check_record
from hawthornfold.directory.records import ItemFailure
from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.records import StoreChanges
from hawthornfold.directory.updates import StoreNews
from hawthornfold.directory.updates import StoreSnapshot

_LOG = logbook.Logger('directory')


def create_update(position, changes, held, outage_age_ms, evacuations):
    """Create the update for followers that are at a position.

    Parameters
    ----------
    position : StorePosition
        The position before the changes.
    changes : StoreChanges
        What a read of the store returned.
    held : RoutingConfiguration or None
        The configuration that was in force before the changes.
    outage_age_ms : float or None
        Time since the last outage of the store.
    evacuations : EvacuationList or None
        The evacuations after the changes.

    Returns
    -------
    StoreNews
    """
    published, change = None, None
    if changes.configuration is not None:
        if held is None:
            published = encode_configuration(changes.configuration, True)
        else:
            change = encode_change(held, changes.configuration)
    return StoreNews(
        position.revision,
        changes.revision,
        changes.servers,
        published,
        outage_age_ms,
        position.era,
        change,
        evacuations,
    )


def create_heartbeat(position, outage_age_ms, evacuations):
    """Create a `StoreNews` that reports a `StorePosition`, without changes.

    Parameters
    ----------
    outage_age_ms, evacuations : float or None, EvacuationList or None
        As for `create_update`.
    """
    return StoreNews(
        position.revision,
        position.revision,
        outage_age_ms=outage_age_ms,
        era=position.era,
        evacuations=evacuations,
    )


def create_snapshot(
    position,
    directory,
    configuration,
    as_msgpack,
    evacuations,
    configuration_era=UNKNOWN_ERA,
):
    """Create the snapshot of a node at a position.

    Parameters
    ----------
    directory : ServerDirectory
        Lists the servers.
    configuration : RoutingConfiguration or None
        The configuration in force.
    as_msgpack : bool
        As for `encode_configuration`.
    evacuations : EvacuationList or None
        The evacuations.
    configuration_era : int
        Era in which the configuration was written.

    Returns
    -------
    StoreSnapshot
    """
    return StoreSnapshot(
        position.revision,
        tuple(
            ServerChange(record.server_id, record)
            for record in directory.listed_records
        ),
        encode_configuration(configuration, as_msgpack),
        position.era,
        evacuations,
        configuration_era if configuration_era < position.era else UNKNOWN_ERA,
        directory.departed_servers,
    )


class UpdateDecoder:
    """Decodes the messages of readers to `StoreChanges`.

    These leave the evacuations out, which are applied at a position of their
    own.

    Parameters
    ----------
    metrics : Metrics
        Counts those that are refused.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def decode_update(self, update, held):
        """Decode a `StoreNews`.

        Parameters
        ----------
        held : RoutingConfiguration or None
            The configuration in force, to which a change refers.

        Returns
        -------
        result.Ok or result.Err
            Ok of the `StoreChanges`, Err of a reason.
        """
        if update.change is None:
            return self._decode(
                update, decode_configuration(update.configuration)
            )
        return self._decode(update, decode_change(held, update.change))

    def decode_snapshot(self, snapshot):
        """Decode a `StoreSnapshot`; results as `decode_update`."""
        return self._decode(
            snapshot,
            decode_configuration(snapshot.configuration),
            snapshot.configuration_era,
        )

    def _decode(self, message, decoded, configuration_era=UNKNOWN_ERA):
        if decoded.is_err():
            # The node falls behind its readers and then reads the store
            # itself.
            self._metrics.count('store_news', outcome='refused')
            _LOG.warning('event=news_refused detail="{}"', decoded.err_value)
        servers, failures = _check_servers(message.servers)
        return decoded.map(
            lambda configuration: StoreChanges(
                message.revision,
                servers,
                configuration,
                failures,
                era=message.era,
                configuration_era=configuration_era,
            )
        )


def _check_servers(changes):
    """Replace records that name no server to use.

    A reader of an older release accepts some of them.

    Parameters
    ----------
    changes : tuple of ServerChange
        What a reader has sent.

    Returns
    -------
    tuple of (tuple of ServerChange, tuple of ItemFailure)
        The changes, and why records are left out.
    """
    checked, failures = [], []
    for change in changes:
        try:
            if change.record is not None:
                check_record(change.record)
        except ValueError as error:
            failures.append(ItemFailure(ascii(change.server_id), str(error)))
            change = change._replace(record=None)
        checked.append(change)
    return tuple(checked), tuple(failures)
