"""Spreads documents between nodes: announcements, pulls and deltas.

A node that stores a newer document announces its version to a few random
members, which pull the document from that node and announce it in turn. Every
node also compares digests with one random member a second, which finds the
documents whose announcements it missed.
"""

import math
import typing

from hawthornfold.configuration import budgets
from hawthornfold.configuration import deltas
from hawthornfold.configuration import messages
from hawthornfold.configuration import pulls
from hawthornfold.configuration import serving
from hawthornfold.configuration import store as stores

# Receivers of an announcement, and announcements of a change. The product,
# eight per node and change, misses 0.03% of the nodes on average. Those nodes
# find the change by comparing digests.
FANOUT = 4
ANNOUNCEMENT_ROUNDS = 2
ROUND_INTERVAL_MS = 400.0
COMPARE_INTERVAL_MS = 1000.0
# Interval of comparisons on a starting node, which cannot serve before it
# holds a configuration.
BOOTSTRAP_INTERVAL_MS = 200.0
# A starting node may have read a stale platform replica and must not serve
# with it while its peers hold something newer, so it first compares digests
# with a ready peer. Without a confirmation it becomes ready after the first
# limit if it found no ready peer (at a cold start or when cut off), otherwise
# after the second.
NO_PEER_LIMIT_MS = 2_000.0
CONFIRMATION_LIMIT_MS = 10_000.0
# Budget of pulled bytes, and of full documents served: half each of the 4 KB/s
# of a node.
BYTES_PER_SECOND = 2048.0
# Lets a full document of 1 MB pass without waiting for tokens.
BURST_BYTES = float(2 << 20)
# Versions in one announcement of changes.
MAX_VERSIONS = 1024
# The highest revision that the platform reader accepts.
MAX_REVISION = 1 << 62


class _PendingAnnouncement(typing.NamedTuple):
    """The announcements of a changed key that are still due."""

    rounds_left: int
    due_ms: float


class SpreadState:
    """State machine that spreads one node's store, without I/O and timers.

    Parameters
    ----------
    name : str
        Name of this node; it sends nothing to itself.
    store : ConfigurationStore
        Receives the documents.
    random : random.Random
        Chooses members.
    metrics : Metrics
        Counts messages.
    bytes_per_second : float
        Rate of pulled bytes, and of full documents served.
    use_deltas : bool
        False sends every document in full, to measure what deltas save.
    """

    def __init__(
        self,
        name,
        store,
        random,
        metrics,
        bytes_per_second=BYTES_PER_SECOND,
        use_deltas=True,
    ):
        self._name = name
        self._store = store
        self._random = random
        self._metrics = metrics
        self._members = ()
        self._pulls = pulls.PullScheduler(store, metrics)
        self._pull_budget = budgets.ByteBudget(bytes_per_second, BURST_BYTES)
        self._document_server = serving.DocumentServer(
            store,
            budgets.ByteBudget(bytes_per_second, BURST_BYTES),
            metrics,
            use_deltas,
        )
        self._pending_announcements = {}
        self._comparison_due_ms = None
        self._platform_read_ms = None
        self._platform_revision = 0
        self._ready = False
        self._required_keys_since_ms = None
        self._ready_peer_seen = False
        store.subscribe(self._handle_change)

    @property
    def is_ready(self):
        """True once the node may serve with the configuration it holds.

        A peer has confirmed the configuration, or none did within the limit.
        """
        return self._ready

    @property
    def platform_revision(self):
        """Revision up to which the store holds all platform changes."""
        return self._platform_revision

    def platform_age_ms(self, now_ms):
        """Return the milliseconds since the last reported read, or None."""
        if self._platform_read_ms is None:
            return None
        return max(now_ms - self._platform_read_ms, 0.0)

    def set_members(self, members):
        """Replace the live members.

        Parameters
        ----------
        members : sequence of Member
            May include this node. The sequence is stored, not copied.
        """
        self._members = members

    def record_platform_read(self, now_ms, revision):
        """Record that all changes up to `revision` were read at `now_ms`."""
        self._platform_read_ms = now_ms
        self._platform_revision = max(self._platform_revision, revision)

    def step(self, now_ms):
        """Return the messages that are due.

        Parameters
        ----------
        now_ms : float
            Monotonic time.

        Returns
        -------
        list of Message
        """
        if not self._ready:
            self._check_ready(now_ms, confirmed=False)
        outgoing = self._collect_announcements(now_ms)
        outgoing.extend(self._collect_pulls(now_ms))
        if (
            self._comparison_due_ms is None
            or now_ms >= self._comparison_due_ms
        ):
            interval = COMPARE_INTERVAL_MS
            if not self._ready:
                interval = BOOTSTRAP_INTERVAL_MS
            # The jitter prevents nodes that start together from always
            # comparing at the same time.
            interval *= self._random.uniform(0.8, 1.2)
            self._comparison_due_ms = now_ms + interval
            outgoing.extend(self._start_comparison(now_ms))
        return outgoing

    def handle_announce(self, now_ms, sender, body):
        """Handle an `Announce`; return the messages to send."""
        is_equal = body.digest == self._store.digest
        self._merge_platform_view(now_ms, body, is_equal)
        if body.ready and not self._ready:
            self._ready_peer_seen = True
            self._check_ready(now_ms, confirmed=is_equal)
        source = (sender.name, sender.address)
        for version in body.versions:
            self._pulls.schedule_if_missing(version, source)
        outgoing = self._collect_pulls(now_ms)
        reply = None
        if body.complete:
            newer = self._list_newer_keys(body)
            if newer:
                reply = self._create_announce(now_ms, newer)
        elif body.buckets:
            reply = self._reply_with_versions(now_ms, body)
        elif body.digest and not is_equal:
            reply = self._create_announce(
                now_ms, (), self._store.digest, self._store.buckets
            )
        elif is_equal and self._ready and not body.ready:
            # Confirms the configuration of a node that is starting.
            reply = self._create_announce(now_ms, (), self._store.digest)
        if reply is not None:
            outgoing.append(messages.Message(*source, reply))
        return outgoing

    def handle_pull(self, now_ms, sender, body):
        """Return the documents that a `Pull` requests, as messages."""
        return [
            messages.Message(sender.name, sender.address, delta)
            for want in body.wants[: pulls.MAX_OUTSTANDING]
            for delta in self._document_server.create_deltas(now_ms, want)
        ]

    def handle_delta(self, now_ms, sender, body):
        """Apply a document; return the messages to send."""
        payload = body.payload
        size = len(payload or b'') + serving.DELTA_OVERHEAD_BYTES
        self._pull_budget.spend(now_ms, size)
        value = None
        if payload is not None:
            value = self._decode(body)
        if (payload is not None and value is None) or (
            not self._pulls.is_storable(body.key)
            or not 0 <= body.revision <= MAX_REVISION
        ):
            self._metrics.count('configuration_bad_deltas')
            self._pulls.retry_in_full(body.key)
            return self._collect_pulls(now_ms)
        self._store.apply_document(
            body.key, body.revision, value, f'peer {sender.name}'
        )
        self._pulls.record_arrival(body.key, body.revision)
        outgoing = self._collect_announcements(now_ms)
        outgoing.extend(self._collect_pulls(now_ms))
        return outgoing

    def _decode(self, body):
        base = None
        if body.base_digest:
            base = self._store.find_value(
                body.key, body.base_revision, body.base_digest
            )
            if base is None:
                return None
        value = deltas.decode_document(body.payload, base).ok()
        if value is None or stores.compute_digest(value) != body.digest:
            return None
        return value

    def _check_ready(self, now_ms, confirmed):
        if not self._holds_required_keys():
            return
        if self._required_keys_since_ms is None:
            self._required_keys_since_ms = now_ms
        limit_ms = NO_PEER_LIMIT_MS
        if self._ready_peer_seen:
            limit_ms = CONFIRMATION_LIMIT_MS
        if confirmed or now_ms - self._required_keys_since_ms >= limit_ms:
            self._ready = True

    def _holds_required_keys(self):
        held = [
            key
            for key in self._store.keys
            if self._store.find_entry(key).parsed is not None
        ]
        return 'rules' in held and any(
            key.startswith('services/') for key in held
        )

    def _handle_change(self, change):
        self._pulls.discard_if_held(change.key)
        # A starting node receives only what other nodes already hold.
        if self._ready:
            self._pending_announcements[change.key] = _PendingAnnouncement(
                ANNOUNCEMENT_ROUNDS, -math.inf
            )

    def _collect_announcements(self, now_ms):
        due = [
            k
            for k, r in self._pending_announcements.items()
            if r.due_ms <= now_ms
        ]
        if not due:
            return []
        chosen = self._choose_members(FANOUT)
        if not chosen:
            return []
        due = due[:MAX_VERSIONS]
        for key in due:
            rounds_left = self._pending_announcements[key].rounds_left - 1
            if rounds_left:
                self._pending_announcements[key] = _PendingAnnouncement(
                    rounds_left, now_ms + ROUND_INTERVAL_MS
                )
            else:
                del self._pending_announcements[key]
        body = self._create_announce(now_ms, due)
        return [messages.Message(x.name, x.address, body) for x in chosen]

    def _choose_members(self, count):
        """Return up to `count` random members other than this node."""
        count = min(count + 1, len(self._members))
        chosen = self._random.sample(self._members, count)
        others = [x for x in chosen if x.name != self._name]
        return others[: max(count - 1, 0)]

    def _collect_pulls(self, now_ms):
        if not len(self._pulls):
            return []
        # A node that is not ready takes no requests, so only the budgets of
        # its sources bound its initial pulls.
        if self._ready and not self._pull_budget.has_tokens(now_ms):
            self._metrics.count('configuration_pulls_delayed')
            return []
        return self._pulls.collect_due_pulls(now_ms)

    def _start_comparison(self, now_ms):
        body = self._create_announce(now_ms, (), self._store.digest)
        return [
            messages.Message(x.name, x.address, body)
            for x in self._choose_members(1)
        ]

    def _reply_with_versions(self, now_ms, body):
        """Announce the versions in the buckets that differ, or return None."""
        pairs = zip(self._store.buckets, body.buckets, strict=False)
        differing = tuple(
            index
            for index, (ours, theirs) in enumerate(pairs)
            if ours != theirs
        )
        if not differing:
            return None
        listed = [
            key
            for index in differing
            for key in self._store.list_bucket_keys(index)
        ]
        return self._create_announce(now_ms, listed, complete=differing)

    def _list_newer_keys(self, body):
        """Return the keys in `body.complete` that are newer here."""
        listed = {version.key: version for version in body.versions}
        newer = []
        for index in set(body.complete):
            if not 0 <= index < stores.BUCKETS:
                continue
            for key in self._store.list_bucket_keys(index):
                ours = self._create_version(key)
                theirs = listed.get(key)
                if theirs is None or (
                    (ours.revision, ours.good) > (theirs.revision, theirs.good)
                ):
                    newer.append(key)
        return newer

    def _create_announce(
        self, now_ms, keys, digest=0, buckets=(), complete=()
    ):
        age_ms = self.platform_age_ms(now_ms)
        return messages.Announce(
            tuple(self._create_version(key) for key in keys),
            digest,
            buckets,
            complete,
            -1.0 if age_ms is None else age_ms,
            self._platform_revision,
            self._ready,
        )

    def _create_version(self, key):
        entry = self._store.find_entry(key)
        good = entry.in_force.revision if entry.in_force else -1
        newest = entry.newest
        return messages.Version(key, newest.revision, newest.digest, good)

    def _merge_platform_view(self, now_ms, body, is_equal):
        if not 0.0 <= body.platform_age_ms < math.inf:
            return
        read_ms = now_ms - body.platform_age_ms
        if self._platform_read_ms is None or read_ms > self._platform_read_ms:
            self._platform_read_ms = read_ms
        # A peer with an equal store holds the same changes.
        if is_equal and body.platform_revision > self._platform_revision:
            self._platform_revision = body.platform_revision
