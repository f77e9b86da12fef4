"""Sends drain notices to the other owners of a server."""

from hawthornfold.owners import messages


class DrainNotifier:
    """Notifies each owner of a draining server once."""

    def __init__(self, context):
        self._node = context.settings.node.name
        self._links = context.links
        self._policy = context.policy
        self._drains = context.drains
        self._membership = context.membership

    def notify_owners(self, state):
        """Send a notice to the owners that have not been notified yet.

        Parameters
        ----------
        state : ServerState
            An owned server. Nothing is sent unless it drains by its flag or
            refusals, because every node receives the platform's list.
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
            # A restarted owner has lost earlier notices, so owners are
            # identified by name and incarnation.
            if (owner, member.incarnation) not in state.notified_owners:
                state.notified_owners.add((owner, member.incarnation))
                self._links.send(owner, member.address, notice)


def create_drain_notifier(context):
    """Create the notifier from the node's context."""
    return DrainNotifier(context)
