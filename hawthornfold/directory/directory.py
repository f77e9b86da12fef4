"""Tracks the backend servers that the store lists.

A removed record normally means that the server leaves. Removals that are
received around an outage of the store are deferred.
"""

from hawthornfold.directory.departures import Departures
from hawthornfold.directory.evacuations import create_evacuations
from hawthornfold.directory.events import DirectoryEvent
from hawthornfold.directory.events import classify_change
from hawthornfold.directory.last_resort import create_last_resort_servers
from hawthornfold.directory.leaving import create_leaving_servers
from hawthornfold.directory.removals import REMOVAL_GRACE_MS
from hawthornfold.directory.removals import create_deferred_removals


class ServerDirectory:
    """The servers of all services, by server id.

    Parameters
    ----------
    on_evacuations : callable
        Called with a list of `EvacuationEvent` after the evacuated data
        centres changed.
    on_record : callable
        Called with the record and the current time when an entry of a server
        is received, unless a complete read repeats it unchanged.
    """

    def __init__(self, on_evacuations, on_record):
        self._on_record = on_record
        self._records = {}
        self._ready_by_service = {}
        # The ready servers of a service, until one of them changes.
        self._ready_lists = {}
        self._version = 0
        self._last_resort = create_last_resort_servers()
        self._removals = create_deferred_removals()
        self._departures = Departures()
        self._on_evacuations = on_evacuations
        self._evacuations = create_evacuations(
            REMOVAL_GRACE_MS, self._handle_evacuations
        )
        # Servers whose responses announced that they leave.
        self._announced = create_leaving_servers()

    @property
    def announced_count(self):
        """Number of kept announcements of servers that they leave."""
        return self._announced.count

    @property
    def version(self):
        """Number that increases when the ready servers of a service change."""
        return self._version

    @property
    def records(self):
        """All records by server id, draining servers included."""
        return dict(self._records)

    @property
    def listed_records(self):
        """The records that the store lists.

        They are those without a deferred removal, and those of servers that
        are not used although a restored store lists them.
        """
        listed = {
            server_id: record
            for server_id, record in self._records.items()
            if not self._removals.covers(server_id)
        }
        for record in self._departures.distrusted_records:
            listed[record.server_id] = record
        return list(listed.values())

    @property
    def pending_removal_ids(self):
        """The ids of the servers whose removal is deferred."""
        return self._removals.server_ids

    @property
    def distrusted_ids(self):
        """The ids of listed servers that are not used for now."""
        return tuple(self._departures.list_distrusted())

    @property
    def departed_servers(self):
        """The `DepartedServer` of each server that is not trusted."""
        return self._departures.list_departed()

    @property
    def evacuations(self):
        """The `Evacuations`, whose servers receive no new work."""
        return self._evacuations

    def get(self, server_id):
        """Return the record of a server, or None."""
        return self._records.get(server_id)

    def available_servers(self, service, now_ms):
        """Return the records of the servers that may receive new work.

        Parameters
        ----------
        service : str
            Name of the service.
        now_ms : float
            Current time.

        Returns
        -------
        tuple of ServerRecord
            The ready servers, as the same object while they do not change;
            if there are none, the servers that began to leave less than
            `LAST_RESORT_MS` ago. Never a server in an evacuated data centre.
        """
        ready = self._ready_lists.get(service)
        if ready is None:
            ready = self._ready_lists[service] = self._list_ready(service)
        return ready or self._last_resort.list_servers(
            service, self._evacuations.in_force, now_ms
        )

    def is_available(self, record, now_ms):
        """Return whether a server may receive new work.

        A record with an earlier address is of a process that has been
        replaced, perhaps because it left.
        """
        return any(
            other.server_id == record.server_id
            and other.address == record.address
            for other in self.available_servers(record.service, now_ms)
        )

    def is_leaving(self, record):
        """Return whether a server leaves, by its record or its responses."""
        return record.is_draining or self._announced.covers(record)

    def has_announced(self, record):
        """Return whether a response announced that the server leaves."""
        return self._announced.covers(record)

    def record_leaving(self, record, now_ms):
        """Record that a response of a server announced that it leaves.

        Parameters
        ----------
        record : ServerRecord
            The record that the request was sent by. The announcement is kept
            also if the store does not list the server any more.
        now_ms : float
            Current time.

        Returns
        -------
        list of DirectoryEvent
        """
        current = self._records.get(record.server_id)
        if current is not None and record.is_replaced_by(current):
            # The server has restarted since the request was sent.
            return []
        was_leaving = current is None or self.is_leaving(current)
        self._announced.record(record, now_ms)
        if was_leaving:
            return []
        self._remove_ready(current)
        self._last_resort.add(current, now_ms)
        return [DirectoryEvent('draining', current)]

    def record_outage(self, now_ms):
        """Record that the store did not answer until now; defer removals."""
        self._removals.record_outage(now_ms)

    def record_return(self):
        """Record that the store answers again."""
        self._removals.record_return()

    def replace_all(self, changes, now_ms, is_restored=False):
        """Replace all records by a complete list of servers.

        Parameters
        ----------
        changes : iterable of ServerChange
            All servers.
        now_ms : float
            Current time.
        is_restored : bool
            Whether the list is the first one after the store returned from an
            older copy. Servers that it lacks may write their records again,
            and servers that had left may be listed as ready.

        Returns
        -------
        list of DirectoryEvent
        """
        if is_restored:
            self.record_outage(now_ms)
            self._departures.infer_departures(changes, self._records, now_ms)
        listed = {change.server_id for change in changes}
        events = []
        for server_id in set(self._records) - listed:
            events += self._remove_or_defer(server_id, now_ms)
        for server_id in self._departures.list_distrusted() - listed:
            self._departures.drop_listing(server_id)
        if is_restored:
            changes = [
                change
                for change in changes
                if change.record is None
                or not self._departures.distrusts(change.record, now_ms)
            ]
        return events + self.apply(changes, now_ms, is_complete=True)

    def apply(self, changes, now_ms, is_complete=False):
        """Apply changes to individual servers.

        Parameters
        ----------
        changes : iterable of ServerChange
            The changes, in order.
        now_ms : float
            Current time.
        is_complete : bool
            Whether they are a complete list, which may repeat entries that
            were received before.

        Returns
        -------
        list of DirectoryEvent
        """
        events = []
        self._departures.record_changes(changes)
        for change in changes:
            if change.record is None or self._is_foreign(
                change.record, now_ms
            ):
                self._departures.drop_listing(change.server_id)
                events += self._remove_or_defer(change.server_id, now_ms)
            else:
                self._departures.forget(change.server_id)
                is_repeated = is_complete and change.record == self.get(
                    change.server_id
                )
                events += self._update_record(
                    change.record, now_ms, is_repeated
                )
        return events

    def hold_back(self, departed, now_ms):
        """Do not use servers that have left, as other nodes have seen.

        Parameters
        ----------
        departed : iterable of DepartedServer
            The servers.
        now_ms : float
            Current time.

        Returns
        -------
        list of DirectoryEvent
        """
        events = []
        for server_id, born_ms in departed:
            record = self._records.get(server_id)
            self._departures.record_departure(server_id, born_ms, now_ms)
            if record is not None and self._departures.distrusts(
                record, now_ms
            ):
                del self._records[server_id]
                self._remove_ready(record)
                events.append(DirectoryEvent('removed', record))
        return events

    def expire_removals(self, now_ms):
        """Carry out the deferred removals that are due.

        Returns
        -------
        list of DirectoryEvent
        """
        events = []
        for server_id in self._removals.list_due(now_ms):
            events += self._remove_now(server_id, now_ms)
        self._last_resort.expire(now_ms)
        for record in self._departures.take_trusted(now_ms):
            events += self._update_record(record, now_ms)
        return events + self._expire_announced(now_ms)

    def _is_foreign(self, record, now_ms):
        """Return whether another writer left the record of a departed server.

        While the server's own record is known, such a one is of an earlier
        start and ignored.
        """
        return (
            record.server_id not in self._records
            and self._departures.lacks_start(record, now_ms)
        )

    def _update_record(self, record, now_ms, is_repeated=False):
        server_id = record.server_id
        self._removals.discard(server_id)
        before = self._records.get(server_id)
        if before is not None and record.born_ms < before.born_ms:
            # An earlier incarnation of the server wrote this record.
            return []
        was_leaving = before is not None and self.is_leaving(before)
        self._records[server_id] = record
        self._update_index(before, record, now_ms)
        is_leaving = self.is_leaving(record)
        if not is_repeated:
            self._on_record(record, now_ms)
        kind = classify_change(before, record, was_leaving, is_leaving)
        return [] if kind is None else [DirectoryEvent(kind, record)]

    def _expire_announced(self, now_ms):
        """Drop old announcements; use servers of unknown start again."""
        if not self._announced.count:
            return []
        listed = [
            record
            for record in self._records.values()
            if record.born_ms == 0 and self._announced.covers(record)
        ]
        self._announced.expire(self._records, now_ms)
        events = []
        for record in listed:
            if not self.is_leaving(record):
                self._update_index(record, record, now_ms)
                events.append(DirectoryEvent('ready', record))
        return events

    def _update_index(self, before, record, now_ms):
        server_id = record.server_id
        if before is not None:
            self._remove_ready(before)
        if self.is_leaving(record):
            if before is None or not self.is_leaving(before):
                since_ms = now_ms
                if self._announced.covers(record):
                    # Another listing does not extend the last resort.
                    since_ms = self._announced.since_ms(server_id)
                if not self._announced.has_ended(record):
                    self._last_resort.add(record, since_ms)
            if record.is_draining:
                self._departures.record_departure(
                    server_id, record.born_ms, now_ms
                )
        else:
            self._last_resort.discard(server_id)
            servers = self._ready_by_service.setdefault(record.service, {})
            servers[server_id] = record
            self._forget_ready_list(record.service)

    def _remove_or_defer(self, server_id, now_ms):
        if server_id not in self._records:
            return []
        if self._removals.defers(now_ms):
            self._removals.add(server_id, now_ms)
            return []
        return self._remove_now(server_id, now_ms)

    def _remove_now(self, server_id, now_ms):
        received_ms = self._removals.received_ms(server_id, now_ms)
        self._removals.discard(server_id)
        record = self._records.pop(server_id, None)
        if record is None:
            return []
        self._remove_ready(record)
        self._departures.record_departure(server_id, record.born_ms, now_ms)
        if not self.is_leaving(record):
            # The server may have left when the removal was received, so that
            # a deferral counts towards the time of last resort.
            self._last_resort.add(record, received_ms)
        return [DirectoryEvent('removed', record)]

    def _remove_ready(self, record):
        servers = self._ready_by_service.get(record.service, {})
        servers.pop(record.server_id, None)
        self._forget_ready_list(record.service)

    def _list_ready(self, service):
        evacuated = self._evacuations.in_force
        return tuple(
            record
            for record in self._ready_by_service.get(service, {}).values()
            if record.data_centre not in evacuated
        )

    def _handle_evacuations(self, events):
        self._ready_lists.clear()
        self._version += 1
        self._on_evacuations(events)

    def _forget_ready_list(self, service):
        self._ready_lists.pop(service, None)
        self._version += 1


def create_server_directory(
    on_evacuations=lambda events: None,
    on_record=lambda record, now_ms: None,
):
    """Create an empty directory.

    Parameters
    ----------
    on_evacuations, on_record : callable, optional
        As for `ServerDirectory`.

    Examples
    --------
    >>> from hawthornfold.directory.records import ServerChange
    >>> from hawthornfold.directory.records import ServerRecord
    >>> directory = create_server_directory()
    >>> record = ServerRecord('s1', 'portal', '127.0.0.1:1', 'dc-a', 2)
    >>> directory.apply([ServerChange('s1', record)], 0.0)[0].kind
    'added'
    >>> [x.server_id for x in directory.available_servers('portal', 1.0)]
    ['s1']
    """
    return ServerDirectory(on_evacuations, on_record)
