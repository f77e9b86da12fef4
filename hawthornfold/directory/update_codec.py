"""Builds the updates of the store for followers, and decodes theirs."""

import logbook

from hawthornfold.directory.records import ServerChange
from hawthornfold.directory.updates import StoreNews
from hawthornfold.directory.updates import StoreSnapshot
from hawthornfold.directory.updates import decode_change
from hawthornfold.directory.updates import decode_configuration
from hawthornfold.directory.updates import encode_change
from hawthornfold.directory.updates import encode_configuration

_LOG = logbook.Logger('directory')


def create_update(position, changes, held, outage_age_ms):
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
    )


def create_snapshot(position, records, configuration, as_msgpack):
    """Create the `StoreSnapshot` of what a node holds at a position.

    Parameters
    ----------
    position : StorePosition
        The node's position.
    records : iterable of ServerRecord
        The servers that the store lists.
    configuration : RoutingConfiguration or None
        The configuration in force.
    as_msgpack : bool
        As for `encode_configuration`.
    """
    return StoreSnapshot(
        position.revision,
        tuple(ServerChange(record.server_id, record) for record in records),
        encode_configuration(configuration, as_msgpack),
        position.era,
    )


class UpdateDecoder:
    """Decodes the configurations in messages of readers.

    Parameters
    ----------
    metrics : Metrics
        Counts those that are refused.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def decode_update(self, update, held):
        """Decode the configuration of a `StoreNews`.

        Parameters
        ----------
        held : RoutingConfiguration or None
            The configuration in force, to which a change refers.

        Returns
        -------
        result.Ok or result.Err
            Ok of the `RoutingConfiguration` or None, Err of a reason.
        """
        if update.change is None:
            return self.decode_configuration(update.configuration)
        return self._check(decode_change(held, update.change))

    def decode_configuration(self, published):
        """Decode a complete configuration; results as `decode_update`."""
        return self._check(decode_configuration(published))

    def _check(self, decoded):
        if decoded.is_err():
            # The node falls behind its readers and then reads the store
            # itself.
            self._metrics.count('store_news', outcome='refused')
            _LOG.warning('event=news_refused detail="{}"', decoded.err_value)
        return decoded
