"""Runs many nodes in one process over a simulated network and platform.

The services are those of production; links, membership, reader and clock
are replaced, so that a run depends on its seed alone.
"""

import collections
import contextlib
import heapq
import random
import typing

import msgspec

from hawthornfold.clock import create_manual_clock
from hawthornfold.configuration import service as services
from hawthornfold.configuration import spread
from hawthornfold.configuration import store as stores
from hawthornfold.configuration.simulated_platform import SimulatedPlatform
from hawthornfold.configuration.simulated_platform import SimulatedReader
from hawthornfold.sources import VM
from hawthornfold.sources import parse_vms

# Bytes of a message in addition to its body: cluster, version, sender,
# incarnation and type of the frame, and the headers of ZMTP with CURVE, TCP
# and IP.
FRAME_OVERHEAD_BYTES = 60 + 33 + 52
PLATFORM_READ_MS = 5.0


class SimulatedMember(typing.NamedTuple):
    """A live member, as the membership reports it."""

    name: str
    address: str
    data_centre: str
    incarnation: int
    state: str


class Sender(typing.NamedTuple):
    """The sender of a message, as the links report it."""

    name: str
    incarnation: int
    address: str


class _NodeSettings(typing.NamedTuple):
    name: str
    data_centre: str


class _PlatformSettings(typing.NamedTuple):
    watch_wait_ms: float


class _Settings(typing.NamedTuple):
    node: _NodeSettings
    platform: _PlatformSettings


class CountingMetrics:
    """Counters of all nodes together: ``(name, *label values)`` to amount."""

    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        self.counts[name, *labels.values()] += amount

    def observe_ms(self, name, value, **labels):
        """Ignore a duration."""

    def set_gauge(self, name, value, **labels):
        """Ignore a gauge."""


class ListAudit:
    """The most recent audit entries of all nodes together."""

    def __init__(self):
        self.entries = collections.deque(maxlen=10_000)

    def record(self, kind, subject, before, after, cause):
        """Append an entry."""
        self.entries.append((kind, subject, before, after, cause))


class SimulatedMembership:
    """The same live members for every node that shares it."""

    def __init__(self):
        self.members = ()
        self.version = 0
        self.listed_vms = None

    def replace_members(self, members):
        """Replace the live members."""
        self.members = tuple(members)
        self.version += 1

    def set_listed_vms(self, vms):
        """Store the VM list; the members do not depend on it."""
        self.listed_vms = vms


class _Links:
    def __init__(self, simulation, member):
        self._simulation = simulation
        self._member = member
        self.handlers = {}

    def register(self, body_type, handler):
        self.handlers[body_type] = handler

    def send(self, name, address, body):
        self._simulation.send(self._member, name, body)
        return True


class SimulatedNode:
    """One node; a restart creates a new one with the same name."""

    def __init__(self, simulation, member, platform):
        self.member = member
        self.reader = SimulatedReader(platform)
        self.links = _Links(simulation, member)
        self.store = stores.create_configuration_store(
            (('vms', parse_vms), *simulation.validators),
            simulation.audit,
            simulation.metrics,
        )
        self.store.subscribe(simulation.record_lowered_change)
        seed = f'{member.name}/{member.incarnation}/{simulation.seed}'
        self.state = spread.SpreadState(
            member.name,
            self.store,
            random.Random(seed),
            simulation.metrics,
            simulation.bytes_per_second,
            simulation.use_deltas,
        )
        settings = _Settings(
            _NodeSettings(member.name, member.data_centre),
            _PlatformSettings(simulation.watch_wait_ms),
        )
        self.service = services.ConfigurationService(
            settings,
            simulation.clock,
            self.links,
            simulation.membership,
            self.reader,
            self.store,
            self.state,
            simulation.metrics,
        )


class Simulation:
    """Nodes, network and platform under a manual clock.

    Parameters
    ----------
    delay_ms : callable
        ``delay_ms(sender, receiver)`` with two members; None drops the
        message.
    seed : int
        Seed of the nodes' choices.
    validators : sequence
        As for `create_configuration_service`.
    """

    def __init__(
        self,
        delay_ms,
        seed=0,
        validators=(),
        use_deltas=True,
        bytes_per_second=spread.BYTES_PER_SECOND,
        watch_wait_ms=10_000.0,
    ):
        self.clock = create_manual_clock()
        self.seed = seed
        self.validators = tuple(validators)
        self.use_deltas = use_deltas
        self.bytes_per_second = bytes_per_second
        self.watch_wait_ms = watch_wait_ms
        self.audit = ListAudit()
        self.metrics = CountingMetrics()
        self.membership = SimulatedMembership()
        self.platform = SimulatedPlatform()
        self.nodes = {}
        self.lowered_changes = []
        self.sent_bytes = 0
        self._delay_ms = delay_ms
        self._random = random.Random(seed)
        self._events = []
        self._sequence = 0
        self._frames = {}

    def add_node(self, name, data_centre, platform=None, incarnation=1):
        """Start a node; one of the same name is replaced."""
        member = SimulatedMember(name, name, data_centre, incarnation, 'alive')
        node = SimulatedNode(self, member, platform or self.platform)
        self.nodes[name] = node
        for work in ('step', 'read_keys', 'read_vms'):
            delay_ms = self._random.uniform(0.0, services.STEP_INTERVAL_MS)
            self._schedule(delay_ms, self._run_work, node, work)

    def add_nodes(self, count, data_centres):
        """Start nodes ``n0``, ``n1``, ... and make them members."""
        for index in range(count):
            self.add_node(f'n{index}', data_centres[index % len(data_centres)])
        self.platform.vms = tuple(
            VM(x.member.name, '127.0.0.1:1', x.member.data_centre, 'live')
            for x in self.nodes.values()
        )
        self.refresh_membership()

    def restart_node(self, name, platform=None):
        """Replace a node by one that holds nothing."""
        member = self.nodes[name].member
        self.add_node(
            name, member.data_centre, platform, member.incarnation + 1
        )
        self.refresh_membership()

    def kill_node(self, name):
        """Stop a node; `refresh_membership` reports this to the others."""
        del self.nodes[name]

    def refresh_membership(self):
        """Report to all nodes which nodes are alive."""
        self.membership.replace_members(x.member for x in self.nodes.values())

    def send(self, member, name, body):
        """Count the bytes of a message and schedule its delivery."""
        # Sizes are cached: an announcement goes to several members.
        size = self._frames.get(body)
        if size is None:
            if len(self._frames) > 256:
                self._frames.clear()
            size = len(msgspec.msgpack.encode(body)) + FRAME_OVERHEAD_BYTES
            self._frames[body] = size
        self.sent_bytes += size
        receiver = self.nodes.get(name)
        if receiver is None:
            return
        delay_ms = self._delay_ms(member, receiver.member)
        if delay_ms is not None:
            self._schedule(delay_ms, self._deliver, member, name, body)

    def run(self, duration_ms, until=None):
        """Advance the clock.

        Parameters
        ----------
        duration_ms : float
            Time to advance, at most.
        until : callable, optional
            Stops early when it returns True; called after each event.

        Returns
        -------
        bool
            True when `until` stopped the run.
        """
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(max(due_ms - self.clock.now_ms(), 0.0))
            action(*arguments)
            if until is not None and until():
                return True
        self.clock.advance(max(end_ms - self.clock.now_ms(), 0.0))
        return False

    def run_until_ready(self, limit_ms=20_000.0):
        """Advance the clock until all nodes are ready."""
        return self.run(limit_ms, self._are_ready)

    def record_lowered_change(self, change):
        """Append a change to `lowered_changes` if it lowers a revision."""
        before, after = change.before, change.after
        if before is None:
            return
        lowered = after.newest.revision < before.newest.revision
        if before.in_force:
            held = before.in_force.revision
            lowered = lowered or after.in_force.revision < held
        if lowered:
            self.lowered_changes.append(change)

    def use_platform(self, platform, is_chosen=lambda node: True):
        """Let the nodes for which `is_chosen` holds read `platform`."""
        for node in self.nodes.values():
            if is_chosen(node):
                node.reader.platform = platform

    def find_watchers(self):
        """Return the names of the nodes that read the platform."""
        return [
            name
            for name, node in self.nodes.items()
            if node.service.is_watcher
        ]

    def find_lagging(self, key, revision):
        """Return the names of nodes on which `revision` is not in force."""
        return [
            name
            for name, node in self.nodes.items()
            if node.service.revision(key) < revision
        ]

    @contextlib.contextmanager
    def partition(self, is_cut):
        """Drop messages for which ``is_cut(sender, receiver)`` is True."""
        original = self._delay_ms
        self._delay_ms = lambda a, b: None if is_cut(a, b) else original(a, b)
        try:
            yield
        finally:
            self._delay_ms = original

    def _are_ready(self):
        return all(x.service.is_ready for x in self.nodes.values())

    def _schedule(self, delay_ms, action, *arguments):
        self._sequence += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(
            self._events, (due_ms, self._sequence, action, arguments)
        )

    def _deliver(self, member, name, body):
        node = self.nodes.get(name)
        if node is not None:
            sender = Sender(member.name, member.incarnation, member.address)
            node.links.handlers[type(body)](sender, body)

    def _run_work(self, node, work):
        if self.nodes.get(node.member.name) is not node:
            return
        delay_ms = getattr(node.service, work)()
        if work == 'read_keys' and node.service.is_watcher:
            expires_ms = self.clock.now_ms() + self.watch_wait_ms
            self._schedule(delay_ms, self._wait_for_change, node, expires_ms)
        else:
            self._schedule(delay_ms, self._run_work, node, work)

    def _wait_for_change(self, node, expires_ms):
        """Hold a long poll until the platform has something newer."""
        reader = node.reader
        is_changed = reader.platform.revision > reader.revision
        if (
            is_changed
            or reader.platform.down
            or self.clock.now_ms() >= expires_ms
        ):
            self._schedule(PLATFORM_READ_MS, self._run_work, node, 'read_keys')
        else:
            self._schedule(
                PLATFORM_READ_MS, self._wait_for_change, node, expires_ms
            )
