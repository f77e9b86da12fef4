"""Reports of draining servers to their other owners."""

from hawthornfold.owners import messages


class DrainNotifier:
    """Tells each owner of a draining server once."""

    def __init__(self, context):
        self._node = context.settings.node.name
        self._links = context.links
        self._policy = context.policy
        self._drains = context.drains
        self._membership = context.membership

    def notify_owners(self, state):
        """Send a notice to the owners that were not told yet.

        Parameters
        ----------
        state : ServerState
            An owned server. Nothing is sent unless it drains by its flag or
            refusals; every node has the platform's list itself.
        """
        server = state.server
        if set(self._drains.active_signals(server.name)) <= {'platform'}:
            return
        notice = messages.DrainNotice(server.name, state.incarnation)
        by_name = {m.name: m for m in self._membership.members}
        for owner in self._policy.owners(server):
            member = by_name.get(owner)
            if owner == self._node or member is None:
                continue
            # A restarted owner has forgotten what it was told.
            if (owner, member.incarnation) not in state.notified_owners:
                state.notified_owners.add((owner, member.incarnation))
                self._links.send(owner, member.address, notice)


def create_drain_notifier(context):
    """Create the reporter from the node's context."""
    return DrainNotifier(context)
