"""Adds and removes the servers of one owner when ownership changes."""

# How long a server's queue and connections remain after this node stopped
# being its owner. Entry nodes apply the change of owner within this time;
# work that they still send here is dispatched rather than refused.
UNOWNED_GRACE_MS = 3000.0
# Maximum time in ms that computing ownership runs before it yields to other
# green threads.
MAX_SLICE_MS = 10.0


class Ownership:
    """Keeps the servers of an `OwnerService` to those that its node owns."""

    def __init__(self, owner, notifier, context):
        self._owner = owner
        self._notifier = notifier
        self._node = context.settings.node.name
        self._clock = context.clock
        self._policy = context.policy
        self._groups = context.groups

    def update(self, now_ms):
        """Add servers that this node owns now and refresh its current ones."""
        for name, state in list(self._owner.states.items()):
            group = self._groups.find(state.group)
            server = None if group is None else group.servers.get(name)
            if server != state.server:
                self._owner.remove_server(name)
                continue
            is_owner = self._policy.is_owner(self._node, server)
            self._refresh_server(state, is_owner, now_ms)
        centres = self._groups.servers_by_data_centre()
        for data_centre, servers in centres.items():
            if self._policy.may_own(self._node, data_centre):
                self._add_owned_servers(servers)

    def _add_owned_servers(self, servers):
        slice_start_ms = self._clock.now_ms()
        for group_name, server in servers:
            # The first pass over 5,273 servers and 655 members takes 3.5 s.
            # Without yielding, that would be detected as a pause of the node.
            if self._clock.now_ms() - slice_start_ms > MAX_SLICE_MS:
                self._clock.sleep_ms(0)
                slice_start_ms = self._clock.now_ms()
            if server.name not in self._owner.states and self._policy.is_owner(
                self._node, server
            ):
                self._owner.add_server(group_name, server)

    def _refresh_server(self, state, is_owner, now_ms):
        state.pool.set_limit(self._policy.connection_share(state.server))
        state.ramp.set_slots(self._policy.slot_share(state.server))
        self._notifier.notify_owners(state)
        if is_owner:
            state.unowned_since_ms = None
        elif state.unowned_since_ms is None:
            state.unowned_since_ms = now_ms

    def remove_unowned(self, now_ms):
        """Remove servers whose grace time without ownership has passed."""
        for name, state in list(self._owner.states.items()):
            state.queue.set_slots(state.ramp.allowed(now_ms))
            since_ms = state.unowned_since_ms
            if since_ms is None or state.queue.running:
                # Closing the connections would end exchanges that still run.
                continue
            if now_ms - since_ms > UNOWNED_GRACE_MS:
                self._owner.remove_server(name)
