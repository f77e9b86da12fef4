"""Delegates queries to nodes with spare capacity and serves delegated ones."""

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
from hawthornfold.delegation import ServerNotice
from hawthornfold.delegation.policy import DECLINED_BACKOFF_MS
from hawthornfold.delegation.policy import UNANSWERED_BACKOFF_MS
from hawthornfold.gateway.cancellation import Cancellation
from hawthornfold.gateway.responses import FINAL_STATUSES
from hawthornfold.peers import create_call_ids

_LOG = logbook.Logger('delegation')

# A node with rules that exceed its own capacity looks for nodes with more, at
# an interval that doubles from the first to the second, or to the third once
# it knows one. Of `SUFFICIENT_ROOMS` it asks one at the third interval.
SEARCH_INTERVAL_MS = 500.0
MAX_SEARCH_INTERVAL_MS = 8_000.0
REFRESH_INTERVAL_MS = 3_000.0
SUFFICIENT_ROOMS = 3
# Number of random nodes in each round of the search.
RANDOM_QUERY_COUNT = 3
# Maximum number of capacity reports in a message. They inform nodes of more
# delegate nodes than they have asked.
MAX_SENT_ROOMS = 5
# Maximum number of delegated requests in progress; the node declines more.
MAX_ACCEPTED = 64
CALLER_LEFT = 'caller-left'
# A node waits for a delegate until this long after the objective, or until
# this share of the time to the caller's deadline has passed, whichever is
# later. The caller then still has time to try another node.
ANSWER_GRACE_MS = 40.0
DEADLINE_WAIT_SHARE = 0.5
# Then it reads what has arrived for this long: after a pause of this node the
# event loop runs the timer before it reads the answer.
UNREAD_GRACE_MS = 10.0


class Delegations:
    """Sends a node's delegated queries and serves those of other nodes.

    Parameters
    ----------
    policy : DelegationPolicy
        Decides which queries to delegate and to which node.
    fleet : Fleet
        Sends and receives the messages.
    answer_delegated : callable
        Takes a `Delegate` and a ``watch_caller`` as
        `GatewayHandler.handle_delegated` does. Returns the `GatewayAnswer`,
        or None to decline.
    is_isolated : callable
        Returns whether the node has lost its links to all servers.
    handle_notice : callable
        Takes each `ServerNotice` that comes with the answer to a request.
    """

    def __init__(
        self,
        policy,
        fleet,
        settings,
        clock,
        metrics,
        answer_delegated,
        is_isolated=lambda: False,
        handle_notice=lambda notice: None,
    ):
        self._policy = policy
        self._fleet = fleet
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._answer_delegated = answer_delegated
        self._is_isolated = is_isolated
        self._handle_notice = handle_notice
        self._call_ids = create_call_ids()
        # By call id: the name of the node and the event of its reply.
        self._pending = {}
        self._accepted = {}
        self._has_ended = False
        for body_type, handler in (
            (RoomQuery, self._on_room_query),
            (RoomReply, self._on_room_reply),
            (Delegate, self._on_delegate),
            (DelegateCancel, self._on_cancel),
            (Delegated, self._on_delegated),
            (ServerNotice, self._on_notice),
        ):
            fleet.register(body_type, handler)

    @property
    def policy(self):
        """The node's `DelegationPolicy`."""
        return self._policy

    @property
    def accepted_count(self):
        """Number of delegated requests that this node is answering."""
        return len(self._accepted)

    def end_early(self):
        """End the wait for all delegates, because the node exits.

        From then on no request is sent to another node.
        """
        self._has_ended = True
        for _, event in self._pending.values():
            _resolve(event, None)

    def choose_offer(self, decision, declined_count):
        """Return the next delegation offer for a query, or None.

        Parameters
        ----------
        decision : Decision
            The rule of the query.
        declined_count : int
            Number of nodes that have declined the query.
        """
        return self._policy.choose_delegate(
            decision,
            declined_count,
            self._fleet.is_live,
            self._clock.now_ms(),
        )

    def run_room_queries(self, list_decisions, rng=random):
        """Query nodes for spare capacity while a rule needs it.

        Never returns; runs in a green thread.

        Parameters
        ----------
        list_decisions : callable
            Returns the decisions of the rules in force.
        rng : random.Random
            Chooses the nodes.
        """
        interval_ms = SEARCH_INTERVAL_MS
        while True:
            self._clock.sleep_ms(interval_ms)
            if not any(map(self._policy.should_delegate, list_decisions())):
                interval_ms = SEARCH_INTERVAL_MS
                continue
            rooms = self._policy.list_rooms(self._clock.now_ms())
            if len(rooms) >= SUFFICIENT_ROOMS:
                targets = [rng.choice(self._find_local(rooms))]
                interval_ms = REFRESH_INTERVAL_MS
            else:
                targets = self._choose_search_targets(rng) + rooms
                interval_ms = min(
                    2.0 * interval_ms,
                    REFRESH_INTERVAL_MS if rooms else MAX_SEARCH_INTERVAL_MS,
                )
            query = RoomQuery(
                *self._policy.capacity, _sample_rooms(rooms, rng)
            )
            for member in targets:
                self._fleet.send(member.name, member.address, query)

    def _find_local(self, nodes):
        """Return the nodes of the own data centre, or all if it has none."""
        data_centre = self._settings.data_centre
        return [x for x in nodes if x.data_centre == data_centre] or nodes

    def _choose_search_targets(self, rng):
        members = self._fleet.list_others()
        if not members:
            return []
        local = self._find_local(members)
        targets = rng.sample(local, min(RANDOM_QUERY_COUNT - 1, len(local)))
        return [*targets, rng.choice(members)]

    def delegate_request(self, room, delegate, watch_caller, wait_ms=None):
        """Delegate a request to a node and wait for its answer.

        Parameters
        ----------
        room : Room or Member
            The node; its name and address are used.
        delegate : Delegate
            The request; its ``call`` is replaced by a new id.
        watch_caller : callable
            As for `GatewayHandler.handle`.
        wait_ms : float, optional
            How long to wait for the answer; by default as long as leaves the
            caller time to try another node.

        Returns
        -------
        Delegated, `CALLER_LEFT` or None
            `Delegated` with status 0 if the node declined and no server has
            executed the request. None if the node did not answer; servers
            may have executed the request.
        """
        call = next(self._call_ids)
        if self._has_ended:
            return Delegated(call, 0, (), b'')
        event = eventlet.event.Event()
        self._pending[call] = (room.name, event)
        delegate = delegate._replace(call=call)
        self._policy.record_delegation_start(room.name)
        reply = None
        try:
            self._fleet.send(
                room.name, room.address, delegate, keeps_open=True
            )
            with watch_caller(lambda: _resolve(event, CALLER_LEFT)):
                if wait_ms is None:
                    wait_ms = max(
                        delegate.objective_left_ms + ANSWER_GRACE_MS,
                        delegate.deadline_left_ms * DEADLINE_WAIT_SHARE,
                    )
                reply = event.wait(max(wait_ms, 1.0) / 1000.0)
                if reply is None:
                    reply = event.wait(UNREAD_GRACE_MS / 1000.0)
        finally:
            del self._pending[call]
            backoff_ms = 0.0
            if reply is None:
                backoff_ms = UNANSWERED_BACKOFF_MS
            elif reply != CALLER_LEFT and not reply.status:
                backoff_ms = DECLINED_BACKOFF_MS
            self._policy.record_delegation_end(
                room.name, self._clock.now_ms(), backoff_ms
            )
        if reply is None or reply == CALLER_LEFT:
            cancel = DelegateCancel(call)
            self._fleet.send(room.name, room.address, cancel)
        self._metrics.count('delegations', outcome=describe_outcome(reply))
        return reply

    def _on_room_query(self, sender, query):
        now_ms = self._clock.now_ms()
        self._policy.merge_rooms(query.rooms, now_ms)
        rooms = self._policy.list_rooms(now_ms)
        own = self._policy.capacity
        rooms = _sample_rooms(rooms)
        if own.is_larger_than(Capacity(query.link_mbps, query.cores)):
            self._policy.record_capacity_query(now_ms)
            rooms += (self._create_own_room(),)
        if rooms:
            reply = RoomReply(rooms)
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
        if key in self._accepted:
            # The request may be one that may run once only.
            self._metrics.count('duplicate_calls', type='delegate')
            return
        if len(self._accepted) >= MAX_ACCEPTED:
            self._send_answer(sender, delegate.call, None)
            return
        # The cancellation may be received before the query starts.
        self._accepted[key] = cancellation = Cancellation()
        eventlet.spawn_n(self._serve, sender, delegate, key, cancellation)

    def _serve(self, sender, delegate, key, cancellation):
        answer = None
        try:
            answer = self._answer_delegated(delegate, cancellation.watch)
        finally:
            del self._accepted[key]
            self._send_answer(sender, delegate.call, answer)

    def _send_answer(self, sender, call, answer):
        body = Delegated(call, 0, (), b'', is_isolated=self._is_isolated())
        if answer is not None:
            # Before the answer, which the other node passes on at once.
            for record, signals in answer.signals:
                self._fleet.reply(
                    sender,
                    ServerNotice(
                        record.server_id,
                        record.born_ms,
                        signals.is_leaving,
                        signals.rate_limit,
                    ),
                )
            body = Delegated(
                call,
                answer.status,
                answer.headers,
                answer.body,
                answer.overdue_ms,
            )
        self._fleet.reply(sender, body)

    def _on_cancel(self, sender, cancel):
        key = (sender.name, sender.incarnation, cancel.call)
        cancellation = self._accepted.get(key)
        if cancellation is not None:
            cancellation.cancel()

    def _on_notice(self, sender, notice):
        self._handle_notice(notice)

    def _on_delegated(self, sender, reply):
        name, event = self._pending.get(reply.call, ('', None))
        if name != sender.name:
            self._metrics.count('unmatched_replies', type='delegated')
        elif reply.status and reply.status not in FINAL_STATUSES:
            # A node of an older release passes on what a faulty server sent.
            _LOG.warning(
                'event=reply_refused node={} status={}', name, reply.status
            )
            _resolve(event, None)
        else:
            _resolve(event, reply)


def _sample_rooms(rooms, rng=random):
    """Return a few random capacity reports, as a tuple."""
    return tuple(rng.sample(rooms, min(MAX_SENT_ROOMS, len(rooms))))


def _resolve(event, value):
    if not event.ready():
        event.send(value)


def describe_outcome(reply):
    """Return the outcome label of a delegation for logs and counters."""
    if reply is None:
        return 'silent'
    if reply == CALLER_LEFT:
        return CALLER_LEFT
    return 'answered' if reply.status else 'declined'
