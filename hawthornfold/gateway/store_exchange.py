"""Exchanges the state of the store with readers and followers."""

import random

from hawthornfold.directory import SnapshotQuery
from hawthornfold.directory import StoreNews
from hawthornfold.directory import StoreSnapshot
from hawthornfold.directory.reader_tracker import HEARTBEAT_INTERVAL_MS
from hawthornfold.directory.updates import limit_update
from hawthornfold.gateway.fleet import StoreRevision
from hawthornfold.gateway.snapshot_sender import SnapshotSender

# Number of nodes that one which starts asks at a time what it does not know.
QUERIED_COUNT = 2


class StoreExchange:
    """Sends a node's store updates to others and applies theirs.

    Parameters
    ----------
    fleet : Fleet
        Sends and receives the messages.
    watcher : StoreWatcher
        Holds what this node knows of the store.
    clock : Clock
        The node's clock.
    link_mbps : float
        Speed of the node's link, in megabits per second.
    """

    def __init__(self, fleet, watcher, clock, link_mbps):
        self._fleet = fleet
        self._watcher = watcher
        self._clock = clock
        self._link_mbps = link_mbps
        self._snapshot_sender = SnapshotSender(
            fleet,
            lambda query: watcher.create_snapshot(*query),
            clock,
            link_mbps,
        )
        fleet.register(StoreRevision, self._handle_revision)
        fleet.register(StoreNews, self._handle_update)
        fleet.register(SnapshotQuery, self._handle_snapshot_query)
        fleet.register(StoreSnapshot, self._handle_snapshot)

    def send_update(self, update):
        """Send a `StoreNews` to the followers, its position to the readers."""
        self._fleet.send_to_followers(
            limit_update(
                update, len(self._fleet.roles.followers), self._link_mbps
            )
        )
        self._fleet.send_to_readers(StoreRevision(update.revision, update.era))

    def query_snapshots(self):
        """Ask a few other nodes for a snapshot.

        Returns
        -------
        int or None
            Number of nodes that are asked, None if there are no others.
        """
        others = self._fleet.list_others()
        if not others and not self._fleet.has_seeds:
            return None
        chosen = random.sample(others, min(QUERIED_COUNT, len(others)))
        for member in chosen:
            self._fleet.send(member.name, member.address, self._create_query())
        return len(chosen)

    def run_heartbeats(self):
        """Send heartbeats to the followers endlessly; to be spawned."""
        while True:
            heartbeat = self._watcher.create_heartbeat()
            if heartbeat is not None:
                self._fleet.send_to_followers(heartbeat)
            self._clock.sleep_ms(HEARTBEAT_INTERVAL_MS)

    def run_snapshots(self):
        """Send the requested snapshots endlessly; to be spawned."""
        self._snapshot_sender.run()

    def _handle_update(self, sender, update):
        self._watcher.apply_update(update)
        if self._watcher.try_query_snapshot():
            self._fleet.send(sender.name, sender.address, self._create_query())

    def _create_query(self):
        return SnapshotQuery(True, self._watcher.has_evacuations)

    def _handle_snapshot_query(self, sender, query):
        self._snapshot_sender.request(sender, query)

    def _handle_snapshot(self, sender, snapshot):
        self._watcher.apply_snapshot(snapshot)

    def _handle_revision(self, sender, message):
        self._watcher.handle_position(message.position)
