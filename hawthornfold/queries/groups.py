"""Current service groups, with the estimates that this node has for each."""

from hawthornfold.hedging import create_hedge_delay_estimator
from hawthornfold.shedding import URGENCY_COUNT
from hawthornfold.shedding import create_admission_controller
from hawthornfold.snapshots import create_snapshot_selector

GROUP_KEY_PREFIX = 'services/'


class GroupState:
    """A service group, its selected snapshot and this node's estimates."""

    def __init__(self, group):
        self.group = group
        self.selector = create_snapshot_selector(group)
        self.hedge_delays = tuple(
            create_hedge_delay_estimator() for _ in range(URGENCY_COUNT)
        )
        self.admission = create_admission_controller()


class GroupRegistry:
    """Service groups by name, as in the current configuration."""

    def __init__(self, audit):
        self._audit = audit
        self._states = {}
        self._servers_by_data_centre = None

    def find(self, name):
        """Return the `ServiceGroup` of this name, or None."""
        state = self._states.get(name)
        return None if state is None else state.group

    def find_state(self, name):
        """Return the `GroupState` of this name, or None."""
        return self._states.get(name)

    def list_groups(self):
        """Return all `ServiceGroup` objects."""
        return [state.group for state in self._states.values()]

    def servers_by_data_centre(self):
        """Return a list of (group name, `BackendServer`) per data centre."""
        if self._servers_by_data_centre is None:
            self._servers_by_data_centre = {}
            for group in self.list_groups():
                for server in group.servers.values():
                    self._servers_by_data_centre.setdefault(
                        server.data_centre, []
                    ).append((group.name, server))
        return self._servers_by_data_centre

    def update(self, key, group):
        """Apply a changed configuration key.

        Parameters
        ----------
        key : str
            Key of the group, with its prefix.
        group : ServiceGroup or None
            The new value, None if the key was deleted.
        """
        self._servers_by_data_centre = None
        name = key.removeprefix(GROUP_KEY_PREFIX)
        if group is None:
            self._states.pop(name, None)
            return
        state = self._states.get(name)
        if state is None:
            self._states[name] = GroupState(group)
            return
        state.group = group
        state.selector.replace_group(group)

    def select_snapshot(self, state, now_ms):
        """Re-evaluate which snapshot a group uses; record a change."""
        before = state.selector.current_snapshot
        state.selector.update_choice(now_ms)
        after = state.selector.current_snapshot
        if before != after:
            self._audit.record(
                'snapshot',
                state.group.name,
                before or '',
                after,
                'reachable weight',
            )


def create_group_registry(audit):
    """Create an empty registry; `audit` records changes of snapshots."""
    return GroupRegistry(audit)
