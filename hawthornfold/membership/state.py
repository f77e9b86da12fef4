"""The membership state machine: merges updates and handles messages."""

from hawthornfold.membership import gossip
from hawthornfold.membership import records
from hawthornfold.membership.actions import Change
from hawthornfold.membership.actions import Send
from hawthornfold.membership.confirmation import Confirmation
from hawthornfold.membership.exchange import TableExchange
from hawthornfold.membership.prober import Prober
from hawthornfold.membership.records import Member
from hawthornfold.membership.table import MemberTable
from hawthornfold.peers import messages
from hawthornfold.peers.messages import Update

_CONFIRM_FANOUT = 3
_LEAVE_FANOUT = 8
# Minimum age at which a lost member's record is purged, if the platform no
# longer lists its VM. By then all delayed messages about it have arrived.
_TOMBSTONE_RETENTION_MS = 600_000


class MembershipState:
    """SWIM-like membership of one node, without sockets or timers.

    The methods that handle events return nothing; `take_actions` returns
    the messages to send and the changes to record.

    Parameters
    ----------
    own : Update
        The node's own record, with status ALIVE and counter 0.
    options : Options
        Times and which nodes are admitted.
    random : random.Random
        Source of random choices.
    now_ms : float
        Current reading of the node's clock.
    """

    def __init__(self, own, options, random, now_ms):
        self._own = own
        self._options = options
        self._random = random
        self._table = MemberTable()
        self._queue = gossip.GossipQueue()
        self._actions = []
        self._confirmation = Confirmation(now_ms, options.probe_interval_ms)
        self._prober = Prober(self, options, random)
        self._exchange = TableExchange(self, options, random)
        self._next_purge_ms = now_ms + _TOMBSTONE_RETENTION_MS
        self._tombstones = []
        self._is_superseded = False
        self._is_listed_as_leaving = False
        self._version = 1
        self._members = None
        self._revision = 0
        self._now_ms = now_ms
        self._handlers = {
            messages.Ping: self._on_ping,
            messages.PingReq: self._prober.on_ping_req,
            messages.Ack: self._prober.on_ack,
            messages.Join: self._exchange.on_join,
            messages.Leave: self._on_leave,
            messages.Sync: self._exchange.on_sync,
            messages.SyncRecords: self._exchange.on_sync_records,
        }

    @property
    def own(self):
        """The node's own record."""
        return self._own

    @property
    def table(self):
        """The records of the other members."""
        return self._table

    @property
    def version(self):
        """Number that grows with every change of `members`."""
        return self._version

    @property
    def is_superseded(self):
        """Whether a newer process runs under this node's name."""
        return self._is_superseded

    @property
    def is_leaving(self):
        """Whether `leave` was called."""
        return self._own.status == records.LEFT

    @property
    def members(self):
        """Live members as `Member` tuples, the node itself first."""
        if self._members is None or self._revision != self._table.revision:
            self._revision = self._table.revision
            is_leaving = self.is_leaving or self._is_listed_as_leaving
            own = Member(
                self._own.name,
                self._own.address,
                self._own.data_centre,
                self._own.incarnation,
                'leaving' if is_leaving else 'live',
            )
            self._members = (own, *self._table.export_members())
        return self._members

    def is_confirmed(self, now_ms):
        """Return whether the node may act on `members`."""
        is_active = not self._is_superseded and not self.is_leaving
        return is_active and self._confirmation.is_confirmed(now_ms)

    def take_actions(self):
        """Return the pending actions and clear them."""
        actions, self._actions = self._actions, []
        return actions

    def handle(self, sender, body, now_ms):
        """Handle a message from another node.

        Parameters
        ----------
        sender : Sender
            The sender in the envelope of the message.
        body : NamedTuple
            One of the bodies in ``hawthornfold.peers.messages``.
        now_ms : float
            Current reading of the node's clock.
        """
        self._now_ms = now_ms
        record = self._table.get(sender.name)
        if sender.name == self._own.name:
            return
        if record is not None and sender.incarnation < record.incarnation:
            return
        if hasattr(body, 'data_centre'):
            self.merge_update(
                Update(
                    sender.name,
                    sender.address,
                    body.data_centre,
                    sender.incarnation,
                    body.counter,
                    records.ALIVE,
                ),
                'message',
            )
        if not self._is_admitted(sender):
            self._answer_unadmitted(sender, body)
            return
        is_table = isinstance(body, messages.SyncRecords)
        for update in getattr(body, 'updates', ()):
            if is_table and update.status == records.REMOVED:
                self._prober.queue_verification(update)
            else:
                self.merge_update(update, sender.name)
        self._handlers[type(body)](sender, body, now_ms)

    def tick(self, now_ms):
        """Handle the timers that are due; call it about every 50 ms."""
        self._now_ms = now_ms
        if self._confirmation.record_tick(now_ms):
            self._prober.resume(now_ms)
            self._record_change(
                'membership-paused', self._own.name, '', '', 'pause'
            )
        if self.is_leaving:
            return
        if self._confirmation.is_round_due(now_ms):
            self._start_round(now_ms)
        self._prober.tick(now_ms)
        self._exchange.tick(now_ms)
        if now_ms >= self._next_purge_ms:
            self._next_purge_ms = now_ms + _TOMBSTONE_RETENTION_MS
            self._purge_tombstones(now_ms)

    def set_listed_vms(self, vms):
        """Replace the platform's VM list by `ListedVM`-like tuples."""
        before = set(self.members)
        own_name = self._own.name
        self._is_listed_as_leaving = any(
            vm.name == own_name and vm.state == 'leaving' for vm in vms
        )
        self._table.set_listed(vms, own_name)
        self._members = None
        for member in set(self.members) - before:
            self._version += 1
            self._record_change(
                'member-listed', member.name, '', member.state, 'VM list'
            )

    def leave(self, now_ms):
        """Announce a planned leave and mark this node as left."""
        if self.is_leaving:
            return
        self._now_ms = now_ms
        self._own = self._own._replace(status=records.LEFT)
        body = messages.Leave(self._own.counter)
        for record in self._table.choose_live(self._random, _LEAVE_FANOUT):
            self.send(record.name, record.address, body)
        self._enqueue_update(self._own.name)
        self._record_member_change(
            'member-left', self._own.name, 'live', 'left', 'planned'
        )

    def merge_update(self, update, cause):
        """Apply an update about a member if it supersedes its record."""
        if not 0 <= update.status < len(records.STATUS_NAMES):
            # From a faulty node, or from one of a later release.
            return
        if update.name == self._own.name:
            self._merge_own_update(update, cause)
            return
        record = self._table.get(update.name)
        if record is None:
            if update.status == records.ALIVE and self._is_admitted(update):
                self._store_update(update, 'member-joined', '', cause)
            return
        if not records.supersedes(update, record):
            return
        is_replaced = update.incarnation > record.incarnation
        if is_replaced and update.status == records.ALIVE:
            if self._is_admitted(update):
                before = f'incarnation {record.incarnation}'
                self._store_update(update, 'member-replaced', before, cause)
            return
        update = update._replace(
            address=record.address, data_centre=record.data_centre
        )
        status = records.STATUS_NAMES[update.status]
        before = records.STATUS_NAMES[record.status]
        self._store_update(update, f'member-{status}', before, cause)

    def send(self, name, address, body):
        """Append a message to the pending actions."""
        self._actions.append(Send(name, address, body))

    def send_sync(self, name, address):
        """Send this node's digests for comparison by the receiver."""
        self._exchange.send_sync(name, address)

    def collect_updates(self, name):
        """Return the updates that the next message to `name` carries.

        If `name` is suspected, removed or left, the only update is its own
        record, so that it can refute that status.
        """
        record = self._table.get(name)
        if record is not None and record.status != records.ALIVE:
            # No other updates: a lost member would not spread them.
            return (records.omit_known_fields(record),)
        if record is None:
            return ()
        updates = []
        for queued in self._queue.take_names(self._compute_cost):
            if queued == self._own.name:
                updates.append(self._own)
            elif queued != name and self._table.get(queued) is not None:
                updates.append(
                    records.omit_known_fields(self._table.get(queued))
                )
        return tuple(updates)

    def record_answer(self, name):
        """Record a member's answer to a probe sent since the last pause."""
        self._confirmation.record_answer(name)

    def _start_round(self, now_ms):
        chosen = self._table.choose_live(self._random, _CONFIRM_FANOUT)
        names = [record.name for record in chosen]
        self._confirmation.start_round(now_ms, names)
        self._prober.probe_for_confirmation(chosen, now_ms)

    def _is_admitted(self, subject):
        """Return whether a node with this name and address can be a member.

        The platform's list lags, so an unlisted node is admitted if the
        links are authenticated or if it is already a member.
        """
        if self._options.is_authenticated or self._options.is_open:
            return True
        record = self._table.get(subject.name)
        if record is not None and record.address == subject.address:
            return True
        listed = self._table.get_listed(subject.name)
        return listed is not None and listed.address == subject.address

    def _merge_own_update(self, update, cause):
        if update.incarnation > self._own.incarnation:
            if not self._is_superseded:
                self._is_superseded = True
                self._record_change(
                    'member-superseded',
                    self._own.name,
                    str(self._own.incarnation),
                    str(update.incarnation),
                    cause,
                )
            return
        needs_refutation = (
            update.incarnation == self._own.incarnation
            and update.status != records.ALIVE
            and update.counter >= self._own.counter
        )
        if needs_refutation and not self.is_leaving:
            self._own = self._own._replace(counter=update.counter + 1)
            self._enqueue_update(self._own.name)
            status = records.STATUS_NAMES[update.status]
            self._record_change(
                'member-refuted', self._own.name, status, 'live', cause
            )

    def _store_update(self, update, kind, before, cause):
        self._table.store_record(update)
        if update.status != records.SUSPECT:
            # Suspicions are not spread: the suspecting node sends them to
            # the suspect, directly and through relays. Other nodes need only
            # the outcome, a refutation or a removal.
            self._enqueue_update(update.name)
        self._confirmation.handle_member_update(self._now_ms)
        if update.status >= records.REMOVED:
            self._tombstones.append((self._now_ms, update.name))
        after = records.STATUS_NAMES[update.status]
        self._record_member_change(kind, update.name, before, after, cause)

    def _compute_cost(self, name):
        record = self._table.get(name)
        is_lost = record is not None and record.status != records.ALIVE
        return gossip.LOST_COST if is_lost else gossip.LIVE_COST

    def _enqueue_update(self, name):
        count = records.compute_transmission_limit(self._table.live_count)
        self._queue.add(name, count)

    def _record_member_change(self, kind, subject, before, after, cause):
        self._members = None
        self._version += 1
        self._record_change(kind, subject, before, after, cause)

    def _record_change(self, kind, subject, before, after, cause):
        self._actions.append(Change(kind, subject, before, after, cause))

    def _purge_tombstones(self, now_ms):
        kept = []
        for since_ms, name in self._tombstones:
            if (
                now_ms - since_ms < _TOMBSTONE_RETENTION_MS
                or self._table.get_listed(name) is not None
            ):
                kept.append((since_ms, name))
            else:
                self._table.remove_record(name)
        self._tombstones = kept

    def _answer_unadmitted(self, sender, body):
        """Answer a probe from a node that is not admitted.

        This node's VM list may lag behind the sender's. Without an answer
        the sender would suspect this node. The sender's updates are ignored.
        """
        if isinstance(body, messages.Ping):
            self._send_ack(sender, body, ())

    def _send_ack(self, sender, body, updates):
        own = self._own
        ack = messages.Ack(
            body.sequence,
            own.name,
            own.incarnation,
            own.data_centre,
            own.counter,
            updates,
        )
        self.send(sender.name, sender.address, ack)

    def _on_ping(self, sender, body, now_ms):
        self._send_ack(sender, body, self.collect_updates(sender.name))

    def _on_leave(self, sender, body, now_ms):
        name, incarnation, address = sender
        self.merge_update(
            Update(name, address, '', incarnation, body.counter, records.LEFT),
            'planned leave',
        )
