"""The service groups in force, with what this node has learnt of each."""

from hawthornfold.hedging import create_hedge_delay_estimator
from hawthornfold.shedding import URGENCY_COUNT
from hawthornfold.shedding import create_admission_controller
from hawthornfold.snapshots import create_snapshot_selector

KEY_PREFIX = 'services/'


class GroupState:
    """A service group and this node's estimates for it."""

    def __init__(self, group):
        self.group = group
        self.selector = create_snapshot_selector(group)
        self.hedge_delays = tuple(
            create_hedge_delay_estimator() for _ in range(URGENCY_COUNT)
        )
        self.admission = create_admission_controller()


class GroupRegistry:
    """Service groups by name, kept up to date by the configuration."""

    def __init__(self, audit):
        self._audit = audit
        self._states = {}
        self._by_data_centre = None

    def find(self, name):
        """Return the `ServiceGroup` of this name, or None."""
        state = self._states.get(name)
        return None if state is None else state.group

    def state(self, name):
        """Return the `GroupState` of this name, or None."""
        return self._states.get(name)

    def all(self):
        """Return all `ServiceGroup` objects."""
        return [state.group for state in self._states.values()]

    def servers_by_data_centre(self):
        """Return lists of (group name, `BackendServer`) by data centre."""
        if self._by_data_centre is None:
            self._by_data_centre = {}
            for group in self.all():
                for server in group.servers.values():
                    self._by_data_centre.setdefault(
                        server.data_centre, []
                    ).append((group.name, server))
        return self._by_data_centre

    def update(self, key, group):
        """Take over a configuration key; `group` is None when deleted."""
        self._by_data_centre = None
        name = key.removeprefix(KEY_PREFIX)
        if group is None:
            self._states.pop(name, None)
            return
        state = self._states.get(name)
        if state is None:
            self._states[name] = GroupState(group)
            return
        state.group = group
        state.selector.replace_group(group)

    def advance(self, state, now_ms):
        """Let a group's selector re-evaluate its snapshot."""
        before = state.selector.current
        state.selector.advance(now_ms)
        after = state.selector.current
        if before != after:
            self._audit.record(
                'snapshot',
                state.group.name,
                before or '',
                after,
                'reachable weight',
            )


def create_group_registry(audit):
    """Create an empty registry."""
    return GroupRegistry(audit)
