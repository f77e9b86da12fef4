"""Sends snapshots of the store to the nodes that request them."""

import collections

import eventlet.event

from hawthornfold.directory import SnapshotQuery
from hawthornfold.directory.updates import estimate_snapshot_bytes

# The query of a sender that has not said what it accepts.
_DEFAULT_QUERY = SnapshotQuery(True)
# Share of the node's link that snapshots may use. After a restore of the store
# all followers request one at the same time.
LINK_SHARE = 0.5


class SnapshotSender:
    """Sends one snapshot after the other, at the pace of the node's link.

    Parameters
    ----------
    fleet : Fleet
        Sends the messages.
    create_snapshot : callable
        Takes a `SnapshotQuery`; returns the current `StoreSnapshot`, or None
        if there is none.
    clock : Clock
        The node's clock.
    link_mbps : float
        Speed of the node's link, in megabits per second.
    """

    def __init__(self, fleet, create_snapshot, clock, link_mbps):
        self._fleet = fleet
        self._create_snapshot = create_snapshot
        self._clock = clock
        self._bytes_per_ms = LINK_SHARE * link_mbps * 1_000.0 / 8.0
        # By name; a node that asks again keeps its turn.
        self._waiting = collections.OrderedDict()
        self._has_waiting = eventlet.event.Event()

    def request(self, sender, query=_DEFAULT_QUERY):
        """Queue a snapshot for the `Sender` of a `SnapshotQuery`."""
        self._waiting[sender.name] = (sender, query)
        if not self._has_waiting.ready():
            self._has_waiting.send(None)

    def run(self):
        """Send the queued snapshots in an endless loop; to be spawned."""
        while True:
            self._has_waiting.wait()
            self._has_waiting = eventlet.event.Event()
            while self._waiting:
                _, waiting = self._waiting.popitem(last=False)
                sender, query = waiting
                snapshot = self._create_snapshot(query)
                if snapshot is None:
                    continue
                self._fleet.send(sender.name, sender.address, snapshot)
                size = estimate_snapshot_bytes(snapshot)
                self._clock.sleep_ms(size / self._bytes_per_ms)
