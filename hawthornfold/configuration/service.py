"""Reads the platform and runs the configuration spread of one node."""

import random

import eventlet
import xxhash

from hawthornfold.configuration import messages
from hawthornfold.configuration import spread
from hawthornfold.configuration import store as stores
from hawthornfold.configuration import watchers
from hawthornfold.sources import encode_vms
from hawthornfold.sources import parse_vms

VMS_KEY = 'vms'
STEP_INTERVAL_MS = 100.0
# Interval at which a node checks whether it has become a watcher. The
# membership takes seconds to report a failed watcher.
WATCHER_CHECK_INTERVAL_MS = 500.0
VMS_READ_INTERVAL_MS = 1000.0
# Bounds the read rate of a watcher when the platform answers long polls
# immediately.
MIN_READ_INTERVAL_MS = 50.0
MIN_BACKOFF_MS = 250.0
# Maximum backoff of a starting node. With it, 7,200 nodes that start at the
# same time with two reads each stay below 1,300 reads/s.
MAX_BACKOFF_MS = 15_000.0
# Maximum backoff of a watcher. It is shorter, because watchers are few and all
# nodes depend on them after an outage.
MAX_WATCHER_BACKOFF_MS = 2_000.0
# A node that receives no report of a platform read for this long reads the
# platform itself.
FALLBACK_AGE_MS = 60_000.0
# Interval of these reads. 7,200 nodes with two reads in 60 s make 240 of the
# 2,000 reads/s that the platform allows.
FALLBACK_INTERVAL_MS = 60_000.0


class ConfigurationService:
    """Holds the configuration of one node and keeps it up to date."""

    def __init__(
        self, settings, clock, links, membership, reader, store, state, metrics
    ):
        self._name = settings.node.name
        self._data_centre = settings.node.data_centre
        self._watch_wait_ms = settings.platform.watch_wait_ms
        self._clock = clock
        self._links = links
        self._membership = membership
        self._reader = reader
        self._store = store
        self._state = state
        self._metrics = metrics
        self._random = random.Random(
            xxhash.xxh3_64_intdigest(
                f'{self._name}\0{clock.wall_ms()}'.encode()
            )
        )
        # An outage of the platform affects all nodes at the same time. With
        # the jitter, the first node that reaches the platform again informs
        # the others before they read.
        self._fallback_age_ms = FALLBACK_AGE_MS * self._random.uniform(1, 2)
        self._member_version = None
        self._is_watcher = False
        self._failures = {'keys': 0, 'vms': 0}
        self._started_ms = clock.now_ms()
        self._subscribers = []
        self._store.subscribe(self._handle_change)
        handlers = (
            (messages.Announce, state.handle_announce),
            (messages.Pull, state.handle_pull),
            (messages.Delta, state.handle_delta),
        )
        for body_type, handle in handlers:
            links.register(body_type, self._create_handler(handle))

    @property
    def is_ready(self):
        """True once the node may serve with the configuration it holds.

        A peer has confirmed the configuration, or none did within the limit.
        """
        return self._state.is_ready

    @property
    def is_watcher(self):
        """True while this node reads the platform for its data centre."""
        return self._is_watcher

    @property
    def refusals(self):
        """Refused newest documents: key to (revision, Failure)."""
        entries = (
            (key, self._store.find_entry(key)) for key in self._store.keys
        )
        return {
            key: (entry.newest.revision, entry.refusal)
            for key, entry in entries
            if entry.refusal is not None
        }

    def value(self, key):
        """Return the parsed object in force for `key`, or None."""
        entry = self._store.find_entry(key)
        return entry.parsed if entry else None

    def revision(self, key):
        """Return the revision in force for `key`, 0 when there is none."""
        entry = self._store.find_entry(key)
        if entry is None or entry.in_force is None:
            return 0
        return entry.in_force.revision

    def keys(self):
        """Return the names of the keys with an object in force, sorted."""
        return tuple(
            key
            for key in self._store.keys
            if self._store.find_entry(key).parsed is not None
        )

    def age_ms(self, now_ms):
        """Return the milliseconds since the last reported platform read.

        Without any report, this is the time since the service was created.
        """
        age_ms = self._state.platform_age_ms(now_ms)
        return now_ms - self._started_ms if age_ms is None else age_ms

    def subscribe(self, callback):
        """Call ``callback(key)`` after an object in force has changed."""
        self._subscribers.append(callback)

    def run(self):
        """Run until killed; to be spawned in a green thread."""
        readers = [
            eventlet.spawn(self._repeat, self.read_keys),
            eventlet.spawn(self._repeat, self.read_vms),
        ]
        try:
            self._repeat(self.step)
        finally:
            for reader in readers:
                reader.kill()

    def step(self):
        """Send the messages that are due.

        Returns
        -------
        float
            Milliseconds until the next call.
        """
        self._refresh_members()
        now_ms = self._clock.now_ms()
        self._send(self._state.step(now_ms))
        self._metrics.set_gauge('configuration_age_ms', self.age_ms(now_ms))
        return STEP_INTERVAL_MS

    def read_keys(self):
        """Read the keys from the platform if a read is due on this node.

        Returns
        -------
        float
            Milliseconds until the next call.
        """
        if not self._should_read():
            return WATCHER_CHECK_INTERVAL_MS
        is_watcher = self._is_watcher
        since = self._state.platform_revision
        outcome = self._reader.read_keys(
            since, self._watch_wait_ms if is_watcher else 0
        )
        if outcome.is_err():
            return self._record_failed_read('keys')
        reply = outcome.ok()
        if reply.revision < since:
            self._metrics.count('configuration_stale_reads')
            return self._record_failed_read('keys')
        self._failures['keys'] = 0
        for key in sorted(reply.keys):
            if key == VMS_KEY:
                self._metrics.count('configuration_keys_dropped')
                continue
            found = reply.keys[key]
            self._store.apply_document(
                key, found.revision, found.value, 'platform'
            )
        now_ms = self._clock.now_ms()
        if reply.revision >= self._find_highest_revision():
            self._state.record_platform_read(now_ms, reply.revision)
        else:
            self._metrics.count('configuration_stale_reads')
        self._send(self._state.step(now_ms))
        if is_watcher:
            return MIN_READ_INTERVAL_MS
        return STEP_INTERVAL_MS if self.is_ready else VMS_READ_INTERVAL_MS

    def read_vms(self):
        """Read the VM list from the platform if a read is due on this node.

        Returns
        -------
        float
            Milliseconds until the next call.
        """
        if not self._should_read():
            return WATCHER_CHECK_INTERVAL_MS
        outcome = self._reader.read_vms()
        if outcome.is_err():
            return self._record_failed_read('vms')
        self._failures['vms'] = 0
        reply = outcome.ok()
        value = encode_vms(reply.vms)
        self._store.apply_document(VMS_KEY, reply.revision, value, 'platform')
        self._send(self._state.step(self._clock.now_ms()))
        if self._is_watcher or not self.is_ready:
            return VMS_READ_INTERVAL_MS * self._random.uniform(0.9, 1.1)
        return FALLBACK_INTERVAL_MS * self._random.uniform(0.5, 1.5)

    def _repeat(self, work):
        while True:
            self._clock.sleep_ms(work())

    def _should_read(self):
        """Return True if this node reads the platform at present.

        This holds for a watcher, for a starting node, and for a node whose
        last report of a platform read is too old.
        """
        self._refresh_members()
        if self._is_watcher or not self.is_ready:
            return True
        return self.age_ms(self._clock.now_ms()) > self._fallback_age_ms

    def _find_highest_revision(self):
        """Return the highest revision held.

        A platform replica with a lower revision is stale. Its reply does not
        show that the configuration is up to date.
        """
        return max(
            (
                self._store.find_entry(key).newest.revision
                for key in self._store.keys
                if key != VMS_KEY
            ),
            default=0,
        )

    def _record_failed_read(self, what):
        """Count a failed read; return the milliseconds until the next."""
        self._failures[what] += 1
        if self.is_ready and not self._is_watcher:
            return FALLBACK_INTERVAL_MS * self._random.uniform(0.5, 1.5)
        max_ms = MAX_WATCHER_BACKOFF_MS if self.is_ready else MAX_BACKOFF_MS
        backoff_ms = MIN_BACKOFF_MS * 2.0 ** min(self._failures[what], 16)
        # Jitter spreads the reads of nodes that start together.
        return min(max_ms, backoff_ms) * self._random.uniform(0.5, 1.0)

    def _refresh_members(self):
        version = self._membership.version
        if version == self._member_version:
            return
        self._member_version = version
        members = self._membership.members
        self._state.set_members(members)
        chosen = watchers.choose_watchers(members, self._data_centre)
        self._is_watcher = self._name in chosen
        self._metrics.set_gauge('configuration_watcher', int(self._is_watcher))

    def _create_handler(self, handle):
        def receive(sender, body):
            self._metrics.count(
                'configuration_received', type=type(body).__name__.lower()
            )
            self._send(handle(self._clock.now_ms(), sender, body))

        return receive

    def _send(self, outgoing):
        for message in outgoing:
            self._metrics.count(
                'configuration_sent', type=type(message.body).__name__.lower()
            )
            self._links.send(message.name, message.address, message.body)

    def _handle_change(self, change):
        before = change.before.in_force if change.before else None
        if change.after.in_force is before:
            return
        if change.key == VMS_KEY:
            vms = change.after.parsed or ()
            self._membership.set_listed_vms(
                tuple(vm for vm in vms if vm.role == 'entry')
            )
        for callback in tuple(self._subscribers):
            callback(change.key)


def create_configuration_service(
    settings, clock, links, membership, reader, validators, audit, metrics
):
    """Create the service of one node.

    Parameters
    ----------
    settings : Settings
        Uses ``node`` and ``platform.watch_wait_ms``.
    clock : Clock
        Monotonic and wall time.
    links : PeerLinks
        Sends and receives messages.
    membership : MembershipService
        Live members; receives the VM list.
    reader : PlatformReader
        Reads the platform.
    validators : iterable of (str, callable)
        Key prefix and ``function(name, bytes) -> Result``.
    audit : AuditTrail
        Records changes, refusals and conflicts.
    metrics : Metrics
        Receives counters and gauges.
    """
    store = stores.create_configuration_store(
        ((VMS_KEY, parse_vms), *validators), audit, metrics
    )
    name = settings.node.name
    seed = xxhash.xxh3_64_intdigest(
        f'spread\0{name}\0{clock.wall_ms()}'.encode()
    )
    state = spread.SpreadState(name, store, random.Random(seed), metrics)
    return ConfigurationService(
        settings, clock, links, membership, reader, store, state, metrics
    )
