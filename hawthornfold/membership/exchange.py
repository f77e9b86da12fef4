"""Joining and the periodic comparison of whole member tables."""

from hawthornfold.membership import records
from hawthornfold.peers import messages

_JOIN_FANOUT = 3
# About 55 KB; a node that joins gets as many messages as it takes.
_JOIN_RECORDS = 800
# About 8 KB, so that merging the sides of a healed partition, when every
# node compares its table once a second, stays near the traffic budget.
_SYNC_RECORDS = 128
# Tables that differ in more buckets than this are compared again soon.
# Single changes that are still spreading stay below it in a large fleet.
_MANY_BUCKETS = 16


class TableExchange:
    """The part of the state machine that exchanges whole tables.

    Probes spread single changes; this repairs what they missed and merges
    the tables of two sides of a partition after it has healed.

    Parameters
    ----------
    state : MembershipState
        Holds the member table and sends the messages.
    options : Options
        Times of the state machine.
    random : random.Random
        Source of random choices.
    """

    def __init__(self, state, options, random):
        self._state = state
        self._options = options
        self._random = random
        self._is_joined = False
        self._next_join_ms = 0.0
        self._next_sync_ms = None

    def tick(self, now_ms):
        """Send due join requests and digests."""
        table = self._state.table
        if not self._is_joined and now_ms >= self._next_join_ms:
            self._next_join_ms = now_ms + self._options.probe_interval_ms
            own = self._state.own
            body = messages.Join(own.data_centre, own.counter)
            for vm in table.choose_known(self._random, _JOIN_FANOUT):
                self._state.send(vm.name, vm.address, body)
        if self._next_sync_ms is None:
            # Nodes that started together must not sync at the same time.
            share = self._random.random()
            self._next_sync_ms = (
                now_ms + share * self._options.sync_interval_ms
            )
        if now_ms >= self._next_sync_ms:
            self._next_sync_ms = now_ms + self._options.sync_interval_ms
            for record in table.choose_live(self._random, 1):
                self.send_sync(record.name, record.address)

    def send_sync(self, name, address):
        """Send this node's digests so that the receiver can compare."""
        own = self._state.own
        digests = self._state.table.digests(own)
        body = messages.Sync(own.data_centre, own.counter, digests)
        self._state.send(name, address, body)

    def on_join(self, sender, body, now_ms):
        """Send the records of all live members to a node that joins."""
        table = self._state.table
        everything = [self._state.own]
        everything += [
            record
            for record in table.records_in(None)
            if table.is_live(record.name)
        ]
        for start in range(0, len(everything), _JOIN_RECORDS):
            part = everything[start : start + _JOIN_RECORDS]
            updates = tuple(map(records.strip_known, part))
            reply = messages.SyncRecords((), updates, False, False)
            self._state.send(sender.name, sender.address, reply)

    def on_sync(self, sender, body, now_ms):
        """Send the records of the buckets that differ."""
        digests = self._state.table.digests(self._state.own)
        buckets = records.compare_digests(digests, body.digests)
        if not buckets:
            return
        # In random order, so that repeated syncs reach every bucket.
        self._random.shuffle(buckets)
        updates = []
        sent = []
        found = self._records_by_bucket(buckets)
        for bucket in buckets:
            if sent and len(updates) + len(found[bucket]) > _SYNC_RECORDS:
                break
            sent.append(bucket)
            updates.extend(map(records.strip_known, found[bucket]))
        is_diverged = len(buckets) > _MANY_BUCKETS
        if is_diverged:
            self._sync_soon(now_ms)
        reply = messages.SyncRecords(
            tuple(sent), tuple(updates), True, is_diverged
        )
        self._state.send(sender.name, sender.address, reply)

    def on_sync_records(self, sender, body, now_ms):
        """Return the records that this node knows better.

        The updates of the message are merged already.
        """
        is_first = not self._is_joined
        self._is_joined = True
        if not body.is_request:
            if is_first:
                self._sync_soon(now_ms)
            return
        stated = {update.name: update for update in body.updates}
        found = self._records_by_bucket(body.buckets)
        newer = [
            records.strip_known(record)
            for bucket in found.values()
            for record in bucket
            if record.name not in stated
            or records.supersedes(record, stated[record.name])
        ]
        if body.is_diverged:
            self._sync_soon(now_ms)
        if newer:
            reply = messages.SyncRecords((), tuple(newer), False, False)
            self._state.send(sender.name, sender.address, reply)

    def _sync_soon(self, now_ms):
        soon_ms = now_ms + self._options.probe_interval_ms
        self._next_sync_ms = min(self._next_sync_ms or soon_ms, soon_ms)

    def _records_by_bucket(self, buckets):
        found = {bucket: [] for bucket in buckets}
        for record in (
            self._state.own,
            *self._state.table.records_in(found.keys()),
        ):
            bucket = records.bucket_of(record.name)
            if bucket in found:
                found[bucket].append(record)
        return found
