"""Simulated network of membership state machines on a manual clock.

The unit tests and the measurements use it. The same seed and the same calls
give the same run.
"""

import heapq
import itertools
import random
import typing

from hawthornfold.clock import create_manual_clock
from hawthornfold.membership import records
from hawthornfold.membership.actions import Options
from hawthornfold.membership.actions import Send
from hawthornfold.membership.records import ListedVM
from hawthornfold.membership.state import MembershipState
from hawthornfold.peers import codec
from hawthornfold.peers import messages
from hawthornfold.peers.messages import Update

TICK_MS = 50


class Observation(typing.NamedTuple):
    """A change of a node's member table, with its time and the node."""

    at_ms: float
    observer: str
    change: typing.NamedTuple


class SimulatedNode:
    """One process of the simulated fleet."""

    def __init__(self, sender, state, encoder):
        self.sender = sender
        self.state = state
        self.encoder = encoder
        self.is_running = True
        self.is_paused = False
        self.partition_side = 0
        self.inbox = []
        self.bytes_sent = 0
        self.messages_sent = 0


class Simulation:
    """Network of nodes that delays, loses, reorders and cuts off messages.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    options : Options
        Settings of the state machines.
    loss : float
        Probability that a message is lost, 0 to 1.
    max_delay_ms : float
        Maximum random delay of a message, in milliseconds. Messages sent
        within this time of one another can be reordered.
    is_encoding : bool
        Whether messages are encoded and decoded, which counts their bytes
        and includes the cost in the processor time.
    tick_ms : float
        Interval of the state machines' ticks.
    """

    def __init__(
        self,
        seed=0,
        options=None,
        loss=0.0,
        max_delay_ms=3.0,
        is_encoding=False,
        tick_ms=TICK_MS,
    ):
        self.clock = create_manual_clock()
        self.random = random.Random(seed)
        self.loss = loss
        self.nodes = {}
        self.observations = []
        self._options = options or Options()
        self._max_delay_ms = max_delay_ms
        self._is_encoding = is_encoding
        self._tick_ms = tick_ms
        self._events = []
        self._order = itertools.count()
        self._by_address = {}
        self._decoder = codec.FrameDecoder('sim')
        for body_type in messages.MEMBERSHIP_BODIES:
            self._decoder.register(body_type)

    def start(self, name, vms, incarnation=1, data_centre='zilina-1'):
        """Start a process, replacing any process of the same name.

        Parameters
        ----------
        name : str
            Name of the node, which determines its address.
        vms : iterable of ListedVM
            The VM list that the node starts with.
        incarnation : int
            Incarnation of the process.
        data_centre : str
            Its data centre.
        """
        now_ms = self.clock.now_ms()
        sender = codec.Sender(name, incarnation, create_address(name))
        own = Update(
            name, sender.address, data_centre, incarnation, 0, records.ALIVE
        )
        state_random = random.Random(self.random.getrandbits(64))
        state = MembershipState(own, self._options, state_random, now_ms)
        state.set_listed_vms(tuple(vms))
        node = SimulatedNode(sender, state, codec.FrameEncoder('sim', sender))
        previous = self.nodes.get(name)
        if previous is not None:
            previous.is_running = False
            node.bytes_sent = previous.bytes_sent
            node.messages_sent = previous.messages_sent
        self.nodes[name] = node
        self._by_address[sender.address] = node
        delay_ms = self.random.random() * self._tick_ms
        self._schedule(delay_ms, self._tick, node)

    def kill(self, name):
        """Stop a process without an announcement."""
        self.nodes[name].is_running = False

    def leave(self, name):
        """Announce a planned leave and stop the process after 500 ms."""
        node = self.nodes[name]
        node.state.leave(self.clock.now_ms())
        self._perform_actions(node)
        self._schedule(500, self._stop, node)

    def pause(self, name):
        """Suspend a process; messages to it are queued."""
        self.nodes[name].is_paused = True

    def resume(self, name):
        """Continue a paused process, which first handles queued messages."""
        node = self.nodes[name]
        node.is_paused = False
        waiting, node.inbox = node.inbox, []
        for sender, body in waiting:
            self._deliver(node, sender, body)

    def partition(self, names):
        """Cut the links between `names` and all other nodes."""
        for name, node in self.nodes.items():
            node.partition_side = int(name in names)

    def set_listed_vms(self, vms):
        """Set the VM list of every running node."""
        for node in self.nodes.values():
            if node.is_running:
                node.state.set_listed_vms(vms)
                self._perform_actions(node)

    def inject(self, sender, name, body):
        """Deliver a message with a forged sender at once."""
        self._deliver(self.nodes[name], sender, body)

    def run_for(self, duration_ms):
        """Run all events of the next `duration_ms` milliseconds."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_ms - self.clock.now_ms()))
            function(*arguments)
        self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))

    def run_until(self, predicate, limit_ms=120_000):
        """Run until ``predicate()`` is true or `limit_ms` have passed.

        Returns whether the predicate became true.
        """
        end_ms = self.clock.now_ms() + limit_ms
        while not predicate():
            if self.clock.now_ms() >= end_ms:
                return False
            self.run_for(self._tick_ms)
        return True

    def list_running(self):
        """Return the running nodes that are not leaving."""
        return [
            node
            for node in self.nodes.values()
            if node.is_running and not node.state.is_leaving
        ]

    def is_converged(self):
        """Return whether every node's live members are the running nodes."""
        nodes = self.list_running()
        expected = {
            (node.sender.name, node.sender.incarnation) for node in nodes
        }
        return all(
            len(node.state.members) == len(expected)
            and {(m.name, m.incarnation) for m in node.state.members}
            == expected
            and all(m.state != 'suspect' for m in node.state.members)
            for node in nodes
        )

    def is_confirmed(self):
        """Return whether all running nodes have confirmed member lists."""
        now_ms = self.clock.now_ms()
        return all(
            node.state.is_confirmed(now_ms) for node in self.list_running()
        )

    def _schedule(self, delay_ms, function, *arguments):
        at_ms = self.clock.now_ms() + delay_ms
        event = (at_ms, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def _tick(self, node):
        if not node.is_running:
            return
        if not node.is_paused:
            node.state.tick(self.clock.now_ms())
            self._perform_actions(node)
        self._schedule(self._tick_ms, self._tick, node)

    def _stop(self, node):
        node.is_running = False

    def _perform_actions(self, node):
        for action in node.state.take_actions():
            if isinstance(action, Send):
                self._send(node, action)
            else:
                self.observations.append(
                    Observation(self.clock.now_ms(), node.sender.name, action)
                )

    def _send(self, node, action):
        node.messages_sent += 1
        body = action.body
        if self._is_encoding:
            frame = node.encoder.encode(body)
            node.bytes_sent += len(frame)
            _, body = self._decoder.decode(frame)
        target = self._by_address.get(action.address)
        is_cut = target is None or target.partition_side != node.partition_side
        if is_cut or self.random.random() < self.loss:
            return
        delay_ms = self.random.random() * self._max_delay_ms
        self._schedule(delay_ms, self._deliver, target, node.sender, body)

    def _deliver(self, node, sender, body):
        if not node.is_running:
            return
        if node.is_paused:
            node.inbox.append((sender, body))
            return
        node.state.handle(sender, body, self.clock.now_ms())
        self._perform_actions(node)


def create_address(name):
    """Return the address of a simulated node.

    Examples
    --------
    >>> create_address('entry-258')
    '10.0.1.2:7000'
    """
    number = int(name.rsplit('-', 1)[1])
    return f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000'


def list_vms(count):
    """Return a VM list of `count` live VMs named entry-0 and so on."""
    return tuple(
        ListedVM(
            f'entry-{number}', create_address(f'entry-{number}'), 'zilina-1'
        )
        for number in range(count)
    )


def start_fleet(simulation, count):
    """Start `count` nodes whose tables already hold all members.

    This skips joining, so that large fleets can be measured.
    """
    vms = list_vms(count)
    for vm in vms:
        simulation.start(vm.name, vms)
    own_records = [node.state.own for node in simulation.nodes.values()]
    digests = None
    for node in simulation.nodes.values():
        for record in own_records:
            if record.name != node.sender.name:
                node.state.table.store_record(record)
        current = node.state.table.compute_digests(node.state.own)
        digests = digests or current
        if current != digests:
            raise RuntimeError('equal tables have different digests')
        node.state.handle(
            codec.Sender(own_records[0].name, 1, own_records[0].address),
            messages.SyncRecords((), (), False, False),
            simulation.clock.now_ms(),
        )
