"""The membership state machine: merging, messages, joining and syncing."""

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

_CONFIRM_COUNT = 3
_LEAVE_FANOUT = 8
# Tombstones of VMs that the platform no longer lists are kept long enough
# for every delayed message that names them to have arrived.
_TOMBSTONE_MS = 600_000


class MembershipState:
    """SWIM-like membership of one node, without sockets or timers.

    Every method that takes an event returns nothing; `take_actions` hands
    over what is to be sent and recorded.

    Parameters
    ----------
    own : Update
        The node's own record, with status ALIVE and counter 0.
    options : Options
        Times and whether peers authenticate.
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
        self._next_purge_ms = now_ms + _TOMBSTONE_MS
        self._tombstones = []
        self._is_superseded = False
        self._is_own_leaving = False
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
        """Grows whenever `members` changes."""
        return self._version

    @property
    def is_superseded(self):
        """Whether a newer process has taken this node's name."""
        return self._is_superseded

    @property
    def is_leaving(self):
        """Whether `leave` was called."""
        return self._own.status == records.LEFT

    @property
    def members(self):
        """The live members, the node itself first, as `Member` tuples."""
        if self._members is None or self._revision != self._table.revision:
            self._revision = self._table.revision
            is_leaving = self.is_leaving or self._is_own_leaving
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
        is_current = not self._is_superseded and not self.is_leaving
        return is_current and self._confirmation.is_confirmed(now_ms)

    def take_actions(self):
        """Return the actions that have collected and forget them."""
        actions, self._actions = self._actions, []
        return actions

    def handle(self, sender, body, now_ms):
        """Process a message of another node.

        Parameters
        ----------
        sender : Sender
            From the envelope of the message.
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
            self.merge(
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
            self._answer_stranger(sender, body)
            return
        is_table = isinstance(body, messages.SyncRecords)
        for update in getattr(body, 'updates', ()):
            if is_table and update.status == records.REMOVED:
                self._prober.verify(update)
            else:
                self.merge(update, sender.name)
        self._handlers[type(body)](sender, body, now_ms)

    def tick(self, now_ms):
        """Advance timers; to be called about every 50 ms."""
        self._now_ms = now_ms
        if self._confirmation.observe_tick(now_ms):
            self._prober.resume(now_ms)
            self._change('membership-paused', self._own.name, '', '', 'pause')
        if self.is_leaving:
            return
        if self._confirmation.is_round_due(now_ms):
            self._begin_round(now_ms)
        self._prober.tick(now_ms)
        self._exchange.tick(now_ms)
        if now_ms >= self._next_purge_ms:
            self._next_purge_ms = now_ms + _TOMBSTONE_MS
            self._purge(now_ms)

    def set_known_vms(self, vms):
        """Take over the platform's VM list, `KnownVM`-like tuples."""
        before = set(self.members)
        own_name = self._own.name
        self._is_own_leaving = any(
            vm.name == own_name and vm.state == 'leaving' for vm in vms
        )
        self._table.set_known(vms, own_name)
        self._members = None
        for member in set(self.members) - before:
            self._version += 1
            self._change(
                'member-listed', member.name, '', member.state, 'VM list'
            )

    def leave(self, now_ms):
        """Announce a planned leave, effective at once."""
        if self.is_leaving:
            return
        self._now_ms = now_ms
        self._own = self._own._replace(status=records.LEFT)
        body = messages.Leave(self._own.counter)
        for record in self._table.choose_live(self._random, _LEAVE_FANOUT):
            self.send(record.name, record.address, body)
        self._enqueue(self._own.name)
        self._bump('member-left', self._own.name, 'live', 'left', 'planned')

    def merge(self, update, cause):
        """Take over a statement about a member if it is newer."""
        if update.name == self._own.name:
            self._merge_own(update, cause)
            return
        record = self._table.get(update.name)
        if record is None:
            if update.status == records.ALIVE and self._is_admitted(update):
                self._store(update, 'member-joined', '', cause)
            return
        if not records.supersedes(update, record):
            return
        is_replaced = update.incarnation > record.incarnation
        if is_replaced and update.status == records.ALIVE:
            if self._is_admitted(update):
                before = f'incarnation {record.incarnation}'
                self._store(update, 'member-replaced', before, cause)
            return
        update = update._replace(
            address=record.address, data_centre=record.data_centre
        )
        status = records.STATUS_NAMES[update.status]
        before = records.STATUS_NAMES[record.status]
        self._store(update, f'member-{status}', before, cause)

    def send(self, name, address, body):
        """Add a message to the actions."""
        self._actions.append(Send(name, address, body))

    def send_sync(self, name, address):
        """Send this node's digests so that the receiver can compare."""
        self._exchange.send_sync(name, address)

    def updates_for(self, name):
        """Return the updates that the next message to `name` carries.

        What this node holds against the receiver comes first, so that the
        receiver can refute it.
        """
        record = self._table.get(name)
        if record is not None and record.status != records.ALIVE:
            # Nothing else, since a lost member would pass nothing on.
            return (records.strip_known(record),)
        if record is None:
            return ()
        updates = []
        for queued in self._queue.take(self._cost_of):
            if queued == self._own.name:
                updates.append(self._own)
            elif queued != name and self._table.get(queued) is not None:
                updates.append(records.strip_known(self._table.get(queued)))
        return tuple(updates)

    def observe_answer(self, name):
        """Note that a member answered a probe sent since the last pause."""
        self._confirmation.observe_answer(name)

    def _begin_round(self, now_ms):
        chosen = self._table.choose_live(self._random, _CONFIRM_COUNT)
        names = [record.name for record in chosen]
        self._confirmation.begin_round(now_ms, names)
        self._prober.confirm(chosen, now_ms)

    def _is_admitted(self, subject):
        """Return whether the name and address of a node may be a member's.

        The platform's list lags, so a node that is not listed is admitted
        when its links are authenticated or when it is a member already.
        """
        if self._options.is_authenticated or self._options.is_open:
            return True
        record = self._table.get(subject.name)
        if record is not None and record.address == subject.address:
            return True
        known = self._table.get_known(subject.name)
        return known is not None and known.address == subject.address

    def _merge_own(self, update, cause):
        if update.incarnation > self._own.incarnation:
            if not self._is_superseded:
                self._is_superseded = True
                self._change(
                    'member-superseded',
                    self._own.name,
                    str(self._own.incarnation),
                    str(update.incarnation),
                    cause,
                )
            return
        is_accused = (
            update.incarnation == self._own.incarnation
            and update.status != records.ALIVE
            and update.counter >= self._own.counter
        )
        if is_accused and not self.is_leaving:
            self._own = self._own._replace(counter=update.counter + 1)
            self._enqueue(self._own.name)
            status = records.STATUS_NAMES[update.status]
            self._change(
                'member-refuted', self._own.name, status, 'live', cause
            )

    def _store(self, update, kind, before, cause):
        self._table.put(update)
        if update.status != records.SUSPECT:
            # The accuser tells the suspect itself, directly and through
            # relays; others need to know of the outcome only.
            self._enqueue(update.name)
        self._confirmation.observe_member(self._now_ms)
        if update.status >= records.REMOVED:
            self._tombstones.append((self._now_ms, update.name))
        after = records.STATUS_NAMES[update.status]
        self._bump(kind, update.name, before, after, cause)

    def _cost_of(self, name):
        record = self._table.get(name)
        is_lost = record is not None and record.status != records.ALIVE
        return gossip.LOST_COST if is_lost else gossip.LIVE_COST

    def _enqueue(self, name):
        count = records.transmission_limit(self._table.live_count)
        self._queue.add(name, count)

    def _bump(self, kind, subject, before, after, cause):
        self._members = None
        self._version += 1
        self._change(kind, subject, before, after, cause)

    def _change(self, kind, subject, before, after, cause):
        self._actions.append(Change(kind, subject, before, after, cause))

    def _purge(self, now_ms):
        kept = []
        for since_ms, name in self._tombstones:
            if (
                now_ms - since_ms < _TOMBSTONE_MS
                or self._table.get_known(name) is not None
            ):
                kept.append((since_ms, name))
            else:
                self._table.forget(name)
        self._tombstones = kept

    def _answer_stranger(self, sender, body):
        """Answer a probe of a node whose VM is not listed yet.

        It may be listed at the sender's side, which would otherwise
        suspect this node; nothing the stranger states is taken over.
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
        self._send_ack(sender, body, self.updates_for(sender.name))

    def _on_leave(self, sender, body, now_ms):
        name, incarnation, address = sender
        self.merge(
            Update(name, address, '', incarnation, body.counter, records.LEFT),
            'planned leave',
        )
