"""Hands queries to nodes with more room, and answers those of others."""

import contextlib
import itertools
import random

import eventlet
import eventlet.event
import logbook

from hawthornfold.delegation import Capacity
from hawthornfold.delegation import Delegate
from hawthornfold.delegation import DelegateCancel
from hawthornfold.delegation import Delegated
from hawthornfold.delegation import Room
from hawthornfold.delegation import RoomQuery
from hawthornfold.delegation import RoomReply
from hawthornfold.delegation.policy import DECLINED_BACKOFF_MS
from hawthornfold.delegation.policy import UNANSWERED_BACKOFF_MS

_LOG = logbook.Logger('delegation')

# Nodes in need of room ask others for it at this pace until they know enough
# nodes with room, and then at the other.
SEARCH_MS = 500.0
REFRESH_MS = 3_000.0
ENOUGH_ROOMS = 3
# Random nodes that are asked each time, and one that is known to have room:
# its reply names the others that it has heard of.
QUERY_COUNT = 3
# Requests of others in progress; beyond this they are declined.
MAX_ACCEPTED = 64
CALLER_LEFT = 'caller-left'
# An answer that is not here this long after the objective is waited for until
# this share of the caller's time is over; the caller can then try elsewhere.
LATE_MS = 40.0
WAIT_SHARE = 0.5


class Delegations:
    """The delegations of one node, both ways.

    Parameters
    ----------
    policy : DelegationPolicy
        Decides.
    fleet : Fleet
        Carries the messages.
    answer : callable
        Takes a `Delegate` and a ``watch_caller`` as the handler does, and
        returns the `GatewayAnswer`, or None when it was declined.
    """

    def __init__(self, policy, fleet, settings, clock, metrics, answer):
        self._policy = policy
        self._fleet = fleet
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._answer = answer
        self._calls = itertools.count()
        self._waiting = {}
        self._accepted = {}
        for body_type, handler in (
            (RoomQuery, self._on_room_query),
            (RoomReply, self._on_room_reply),
            (Delegate, self._on_delegate),
            (DelegateCancel, self._on_cancel),
            (Delegated, self._on_delegated),
        ):
            fleet.register(body_type, handler)

    @property
    def policy(self):
        """The node's `DelegationPolicy`."""
        return self._policy

    @property
    def accepted(self):
        """Requests of other nodes in progress."""
        return len(self._accepted)

    def choose(self, decision, offers):
        """Return the `DelegationOffer` of a query to a live node, or None."""
        return self._policy.choose_delegate(
            decision, offers, self._fleet.is_live, self._clock.now_ms()
        )

    def run_queries(self, find_rules, rng=random):
        """Ask for room while a rule needs it; to be spawned.

        Parameters
        ----------
        find_rules : callable
            Returns the decisions of the rules in force.
        """
        while True:
            rooms = self._policy.list_rooms(self._clock.now_ms())
            is_enough = len(rooms) >= ENOUGH_ROOMS
            self._clock.sleep_ms(REFRESH_MS if is_enough else SEARCH_MS)
            if not any(map(self._policy.should_delegate, find_rules())):
                continue
            members = self._fleet.others()
            asked = rng.sample(members, min(QUERY_COUNT, len(members)))
            if rooms:
                asked.append(rng.choice(rooms))
            query = RoomQuery(*self._policy.capacity, tuple(rooms))
            for member in asked:
                self._fleet.send(member.name, member.address, query)

    def run(self, room, delegate, watch_caller):
        """Hand a request to a node and wait for its answer.

        Returns
        -------
        Delegated, `CALLER_LEFT` or None
            `Delegated` with status 0 when nothing of the request has run;
            None when the node did not answer, and the request may have run.
        """
        call = next(self._calls)
        event = self._waiting[call] = eventlet.event.Event()
        delegate = delegate._replace(call=call)
        self._policy.record_delegation_start(room.name)
        reply = None
        try:
            self._fleet.send(room.name, room.address, delegate)
            with watch_caller(lambda: _settle(event, CALLER_LEFT)):
                wait_ms = max(
                    delegate.objective_left_ms + LATE_MS,
                    delegate.deadline_left_ms * WAIT_SHARE,
                )
                reply = event.wait(max(wait_ms, 1.0) / 1000.0)
        finally:
            del self._waiting[call]
            pause_ms = 0.0
            if reply is None:
                pause_ms = UNANSWERED_BACKOFF_MS
            elif reply != CALLER_LEFT and not reply.status:
                pause_ms = DECLINED_BACKOFF_MS
            self._policy.record_delegation_end(
                room.name, self._clock.now_ms(), pause_ms
            )
        if reply is None or reply == CALLER_LEFT:
            cancel = DelegateCancel(call)
            self._fleet.send(room.name, room.address, cancel)
        self._metrics.count('delegations', outcome=name_reply(reply))
        return reply

    def _on_room_query(self, sender, query):
        now_ms = self._clock.now_ms()
        self._policy.merge_rooms(query.rooms, now_ms)
        rooms = self._policy.list_rooms(now_ms)
        own = self._policy.capacity
        if own.is_larger_than(Capacity(query.link_mbps, query.cores)):
            self._policy.record_capacity_query(now_ms)
            rooms.append(self._create_own_room())
        if rooms:
            reply = RoomReply(tuple(rooms))
            self._fleet.send(sender.name, sender.address, reply)

    def _create_own_room(self):
        settings = self._settings
        return Room(
            settings.node_name,
            settings.peer_address,
            settings.data_centre,
            *self._policy.capacity,
            0.0,
        )

    def _on_room_reply(self, sender, reply):
        self._policy.merge_rooms(reply.rooms, self._clock.now_ms())

    def _on_delegate(self, sender, delegate):
        key = (sender.name, sender.incarnation, delegate.call)
        if len(self._accepted) >= MAX_ACCEPTED:
            self._send_answer(sender, delegate.call, None)
            return
        self._accepted[key] = notify = []
        eventlet.spawn_n(self._serve, sender, delegate, key, notify)

    def _serve(self, sender, delegate, key, notify):
        answer = None
        try:
            answer = self._answer(delegate, _watch_list(notify))
        finally:
            del self._accepted[key]
            self._send_answer(sender, delegate.call, answer)

    def _send_answer(self, sender, call, answer):
        body = Delegated(call, 0, (), b'')
        if answer is not None:
            body = Delegated(
                call,
                answer.status,
                answer.headers,
                answer.body,
                answer.overdue_ms,
            )
        self._fleet.send(sender.name, sender.address, body)

    def _on_cancel(self, sender, cancel):
        key = (sender.name, sender.incarnation, cancel.call)
        for notify in self._accepted.get(key, ()):
            notify()

    def _on_delegated(self, sender, reply):
        event = self._waiting.get(reply.call)
        if event is not None:
            _settle(event, reply)


def _settle(event, value):
    if not event.ready():
        event.send(value)


def name_reply(reply):
    """Return the outcome of a delegation for logs and counters."""
    if reply is None:
        return 'silent'
    if reply == CALLER_LEFT:
        return CALLER_LEFT
    return 'answered' if reply.status else 'declined'


def _watch_list(notify):
    """Return a ``watch_caller`` that notes whom to notify in a list."""

    @contextlib.contextmanager
    def watch(function):
        notify.append(function)
        try:
            yield
        finally:
            notify.clear()

    return watch
