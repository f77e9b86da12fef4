"""Has other nodes gather groups of the parts of a query.

A node that is asked replies at once whether it accepts. It reports answers
before it repeats a part, when they are due, and at the end.
"""

from eventlet import hubs

from hawthornfold.delegation import GatherCancel
from hawthornfold.delegation import PartsReply
from hawthornfold.gathering import GroupEnd
from hawthornfold.peers import create_call_ids

# A node that neither accepts nor declines for the mean time that this takes
# plus this many deviations, within the bounds, counts as silent.
ACCEPT_DEVIATIONS = 6.0
MIN_ACCEPT_TIMEOUT_MS = 30.0
MAX_ACCEPT_TIMEOUT_MS = 120.0
# Initial mean and deviation, and weight of a new sample.
_INITIAL_ACCEPT_MS = 5.0
_ACCEPT_SMOOTHING = 0.05
# A node that has accepted counts as silent this long after the answers were
# due.
REPLY_GRACE_MS = 40.0


class _Call:
    """A group that another node has been asked to gather."""

    __slots__ = (
        'accept_ms',
        'answered_count',
        'attempt',
        'call',
        'end',
        'has_reported',
        'listener',
        'node',
        'part_count',
        'policy',
        'reply_due_ms',
        'started_ms',
        'timer',
    )

    def __init__(self, call, node, attempt, listener, part_count, policy):
        self.call = call
        self.policy = policy
        self.node = node
        self.attempt = attempt
        self.listener = listener
        self.part_count = part_count
        self.answered_count = 0
        # How long the node took to accept, or None.
        self.accept_ms = None
        self.has_reported = False
        self.end = ''
        self.reply_due_ms = 0.0
        self.started_ms = 0.0
        self.timer = None


class AcceptTimeout:
    """Tracks how long nodes take to accept groups."""

    def __init__(self):
        self._mean_ms = _INITIAL_ACCEPT_MS
        self._deviation_ms = _INITIAL_ACCEPT_MS

    @property
    def timeout_ms(self):
        """Time after which a node counts as silent, in milliseconds."""
        limit_ms = self._mean_ms + ACCEPT_DEVIATIONS * self._deviation_ms
        return min(max(limit_ms, MIN_ACCEPT_TIMEOUT_MS), MAX_ACCEPT_TIMEOUT_MS)

    def record(self, accept_ms):
        """Record how long a node took."""
        sample_ms = min(accept_ms, MAX_ACCEPT_TIMEOUT_MS)
        self._deviation_ms += _ACCEPT_SMOOTHING * (
            abs(sample_ms - self._mean_ms) - self._deviation_ms
        )
        self._mean_ms += _ACCEPT_SMOOTHING * (sample_ms - self._mean_ms)


class GroupCaller:
    """Sends groups of parts to other nodes and receives their replies.

    Parameters
    ----------
    fleet : Fleet
        Sends and receives the messages.
    policy : DivisionPolicy
        Is informed of nodes that decline or do not reply.
    clock, metrics : object
        The node's clock and metrics registry.
    """

    def __init__(self, fleet, policy, clock, metrics):
        self._fleet = fleet
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._call_ids = create_call_ids()
        self._calls = {}
        self._accept_timeout = AcceptTimeout()
        fleet.register(PartsReply, self._handle_reply)

    def start(self, node, message, attempt, listener, policy=None):
        """Ask a node to gather a group.

        Parameters
        ----------
        node : Member
            The node.
        message : GatherParts
            The group; its ``call`` is replaced by a new id.
        attempt : int
            Number of the attempt, for the listener.
        listener : Relay
            Receives answers and the end.
        policy : FailoverPolicy, optional
            Is informed of the end in place of the `DivisionPolicy`.

        Returns
        -------
        _Call
        """
        call = _Call(
            next(self._call_ids),
            node,
            attempt,
            listener,
            len(message.parts),
            policy or self._policy,
        )
        call.started_ms = self._clock.now_ms()
        call.reply_due_ms = call.started_ms + message.objective_left_ms
        self._calls[call.call] = call
        self._fleet.send(
            node.name,
            node.address,
            message._replace(call=call.call),
            keeps_open=True,
        )
        self._schedule(call, self._accept_timeout.timeout_ms)
        return call

    def open_links(self, nodes):
        """Open the links to nodes before they are needed.

        Opening a link takes several round trips, and so would the first group
        that is sent on it.
        """
        for node in nodes:
            # Cancels nothing.
            self._fleet.send(
                node.name, node.address, GatherCancel(-1), keeps_open=True
            )

    def cancel(self, call):
        """Withdraw a group; its listener is not called any more."""
        if self._calls.pop(call.call, None) is None:
            return
        self._end(call, 'cancelled')
        self._send_cancel(call)

    def _send_cancel(self, call):
        self._fleet.send(
            call.node.name, call.node.address, GatherCancel(call.call)
        )

    def _schedule(self, call, delay_ms):
        if call.timer is not None:
            call.timer.cancel()
        call.timer = hubs.get_hub().schedule_call_global(
            max(delay_ms, 0.0) / 1000.0, self._handle_timer, call
        )

    def _handle_timer(self, call):
        # The loop runs timers before it reads sockets. A reply that has
        # arrived while it was busy is handled first.
        call.timer = hubs.get_hub().schedule_call_global(
            0, self._handle_silence, call
        )

    def _handle_silence(self, call):
        if call.call not in self._calls:
            return
        now_ms = self._clock.now_ms()
        if not call.has_reported and not call.listener.may_resend_group(
            call.attempt
        ):
            # A late answer is better than none.
            self._schedule(call, self._accept_timeout.timeout_ms)
            return
        del self._calls[call.call]
        call.policy.record_silence(call.node.name, now_ms)
        self._end(call, 'silent')
        self._send_cancel(call)
        # After its first report the node may have repeated parts, so that
        # another attempt could exceed the number of servers that the rule
        # allows.
        end = GroupEnd.FINISHED if call.has_reported else GroupEnd.SILENT
        call.listener.handle_group_end(call.attempt, end)

    def _handle_reply(self, sender, reply):
        call = self._calls.get(reply.call)
        if call is None or call.node.name != sender.name:
            self._metrics.count('unmatched_replies', type='parts')
            return
        now_ms = self._clock.now_ms()
        if reply.status == 'declined':
            del self._calls[reply.call]
            if reply.is_isolated:
                call.policy.record_isolated(sender.name, now_ms)
            else:
                call.policy.record_decline(sender.name, now_ms)
            self._end(call, 'declined')
            call.listener.handle_group_end(call.attempt, GroupEnd.DECLINED)
            return
        if call.accept_ms is None:
            call.accept_ms = now_ms - call.started_ms
            self._accept_timeout.record(call.accept_ms)
            self._schedule(call, call.reply_due_ms + REPLY_GRACE_MS - now_ms)
        if reply.status == 'not-run':
            call.listener.handle_group_not_run(call.attempt, reply)
            return
        if reply.status != 'accepted':
            call.has_reported = True
        if reply.parts:
            call.answered_count += len(reply.parts)
            call.listener.handle_group_answers(call.attempt, reply)
        if reply.status == 'lost':
            self._handle_lost(call, now_ms)
        elif reply.status == 'finished':
            self._calls.pop(reply.call, None)
            self._end(call, 'finished')
            call.listener.handle_group_end(call.attempt, GroupEnd.FINISHED)
        elif reply.status == 'answers':
            # The node is alive; further answers may take until the deadline.
            call.timer.cancel()

    def _handle_lost(self, call, now_ms):
        """End a group whose node has lost its links to the servers."""
        del self._calls[call.call]
        call.policy.record_isolated(call.node.name, now_ms)
        self._end(call, 'lost')
        may_resend = call.listener.may_resend_group(call.attempt)
        call.listener.handle_group_end(
            call.attempt,
            GroupEnd.SILENT if may_resend else GroupEnd.FINISHED,
        )

    def _end(self, call, outcome):
        call.end = f'{outcome}/{self._clock.now_ms() - call.started_ms:.0f}ms'
        if call.timer is not None:
            call.timer.cancel()
        self._metrics.count('group_calls', outcome=outcome)


class GroupCalls:
    """The groups of one query that other nodes gather.

    Parameters
    ----------
    caller : GroupCaller
        Sends them.
    planned : sequence of PlannedGroup
        The groups and their nodes.
    create_message : callable
        Takes the `SendGroup` of a group and returns its `GatherParts`.
    failover : NodeFailover, optional
        Chooses the nodes for parts that this one has no link for.
    allowed_regions : tuple of str
        As in the decision of the query.
    """

    def __init__(
        self,
        caller,
        planned,
        create_message,
        failover=None,
        allowed_regions=(),
    ):
        self._caller = caller
        self._planned = planned
        self._create_message = create_message
        self._failover = failover
        self._allowed_regions = allowed_regions
        self._calls = []
        # The nodes that were asked for parts without a link of this node.
        self._asked_nodes = []

    @property
    def parts(self):
        """The indexes of the parts of each group."""
        return tuple(group.parts for group in self._planned)

    @property
    def allows_failover(self):
        """Whether other nodes may be asked for parts without a link."""
        return self._failover is not None

    def start(self, action, listener):
        """Start the group of a `SendGroup`."""
        policy = None
        if action.group is not None:
            node = self._planned[action.group].node
        else:
            node = self._failover.choose_gathering_node(
                self._allowed_regions, self._asked_nodes
            )
            policy = self._failover.policy
            if node is None:
                # The listener is in the middle of handling this action.
                hubs.get_hub().schedule_call_global(
                    0,
                    listener.handle_group_end,
                    action.attempt,
                    GroupEnd.DECLINED,
                )
                return
            self._asked_nodes.append(node)
        message = self._create_message(action)
        self._calls.append(
            self._caller.start(node, message, action.attempt, listener, policy)
        )

    def cancel(self):
        """Withdraw all groups that have not ended."""
        for call in self._calls:
            self._caller.cancel(call)

    def describe(self):
        """Return a text for each group, for the log.

        Returns
        -------
        tuple of str
            node/parts/answered/time to accept/end/time to the end.
        """
        return tuple(_describe_call(call) for call in self._calls)


def _describe_call(call):
    accepted = '-' if call.accept_ms is None else f'{call.accept_ms:.0f}ms'
    return (
        f'{call.node.name}/{call.part_count}/{call.answered_count}/'
        f'{accepted}/{call.end or "running"}'
    )
