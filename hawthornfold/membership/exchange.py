"""Joining the fleet and periodic synchronization of member tables."""

from hawthornfold.membership import records
from hawthornfold.peers import messages

_JOIN_FANOUT = 3
# Maximum records in one answer to a join, about 55 KB. A larger table is
# sent in several messages.
_MAX_JOIN_RECORDS = 800
# Maximum records in one answer to a sync, about 8 KB. After a partition has
# healed, every node syncs once a second; this keeps the traffic of that merge
# near the budget.
_MAX_SYNC_RECORDS = 128
# Tables that differ in more buckets than this have diverged and are synced
# again after one probe interval. In a large fleet, single changes that are
# still spreading stay below this number.
_DIVERGED_BUCKETS = 16


class TableExchange:
    """Anti-entropy: exchanges whole member tables between nodes.

    Probes spread single changes. This exchange repairs those that they
    missed and merges the tables of both sides of a healed partition.

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
        """Send the join requests and digests that are due."""
        table = self._state.table
        if not self._is_joined and now_ms >= self._next_join_ms:
            self._next_join_ms = now_ms + self._options.probe_interval_ms
            own = self._state.own
            body = messages.Join(own.data_centre, own.counter)
            for vm in table.choose_listed(self._random, _JOIN_FANOUT):
                self._state.send(vm.name, vm.address, body)
        if self._next_sync_ms is None:
            # A random first delay keeps nodes that started together from
            # syncing at the same time.
            fraction = self._random.random()
            self._next_sync_ms = (
                now_ms + fraction * self._options.sync_interval_ms
            )
        if now_ms >= self._next_sync_ms:
            self._next_sync_ms = now_ms + self._options.sync_interval_ms
            for record in table.choose_live(self._random, 1):
                self.send_sync(record.name, record.address)

    def send_sync(self, name, address):
        """Send this node's digests for comparison by the receiver."""
        own = self._state.own
        digests = self._state.table.compute_digests(own)
        body = messages.Sync(own.data_centre, own.counter, digests)
        self._state.send(name, address, body)

    def on_join(self, sender, body, now_ms):
        """Send the records of all live members to a joining node."""
        table = self._state.table
        live_records = [self._state.own]
        live_records += [
            record
            for record in table.records_in(None)
            if table.is_live(record.name)
        ]
        for start in range(0, len(live_records), _MAX_JOIN_RECORDS):
            batch = live_records[start : start + _MAX_JOIN_RECORDS]
            updates = tuple(map(records.omit_known_fields, batch))
            reply = messages.SyncRecords((), updates, False, False)
            self._state.send(sender.name, sender.address, reply)

    def on_sync(self, sender, body, now_ms):
        """Send the records of buckets whose digests differ."""
        digests = self._state.table.compute_digests(self._state.own)
        buckets = records.find_differing_buckets(digests, body.digests)
        if not buckets:
            return
        # One message may not hold all buckets; the random order lets
        # repeated syncs cover every bucket.
        self._random.shuffle(buckets)
        updates = []
        sent = []
        by_bucket = self._group_by_bucket(buckets)
        for bucket in buckets:
            if (
                sent
                and len(updates) + len(by_bucket[bucket]) > _MAX_SYNC_RECORDS
            ):
                break
            sent.append(bucket)
            updates.extend(map(records.omit_known_fields, by_bucket[bucket]))
        is_diverged = len(buckets) > _DIVERGED_BUCKETS
        if is_diverged:
            self._schedule_early_sync(now_ms)
        reply = messages.SyncRecords(
            tuple(sent), tuple(updates), True, is_diverged
        )
        self._state.send(sender.name, sender.address, reply)

    def on_sync_records(self, sender, body, now_ms):
        """Send back the records that are newer or missing in the message.

        The updates of the message have already been merged.
        """
        is_first_reply = not self._is_joined
        self._is_joined = True
        if not body.is_request:
            if is_first_reply:
                self._schedule_early_sync(now_ms)
            return
        received = {update.name: update for update in body.updates}
        by_bucket = self._group_by_bucket(body.buckets)
        newer = [
            records.omit_known_fields(record)
            for bucket in by_bucket.values()
            for record in bucket
            if record.name not in received
            or records.supersedes(record, received[record.name])
        ]
        if body.is_diverged:
            self._schedule_early_sync(now_ms)
        if newer:
            reply = messages.SyncRecords((), tuple(newer), False, False)
            self._state.send(sender.name, sender.address, reply)

    def _schedule_early_sync(self, now_ms):
        soon_ms = now_ms + self._options.probe_interval_ms
        self._next_sync_ms = min(self._next_sync_ms or soon_ms, soon_ms)

    def _group_by_bucket(self, buckets):
        by_bucket = {bucket: [] for bucket in buckets}
        for record in (
            self._state.own,
            *self._state.table.records_in(by_bucket.keys()),
        ):
            bucket = records.compute_bucket(record.name)
            if bucket in by_bucket:
                by_bucket[bucket].append(record)
        return by_bucket
