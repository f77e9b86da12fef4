"""Moves the ownership of a stopping node to other nodes before it leaves.

New work must go to other owners before the node leaves, not after. A stopping
node therefore notifies the others that it is no longer an owner, stays a
member while it finishes its work, and then leaves.
"""

import random
import typing

# Maximum number of nodes that are notified when a stop begins. This covers
# all nodes of today's fleets. In larger fleets, each of the other nodes is
# notified when it sends work.
MAX_STOP_NOTICES = 64


class StopNotice(typing.NamedTuple):
    """Announces that the sender is stopping and is no longer an owner."""

    counter: int = 0


class Handover:
    """Excludes stopping nodes, including this one, as owners."""

    def __init__(self, context):
        self._node = context.settings.node.name
        self._incarnation = context.incarnation
        self._links = context.links
        self._membership = context.membership
        self._policy = context.policy
        self._owner_service = context.owner_service
        self._lifecycle = context.lifecycle
        self._stopping = set()
        self._notified = set()

    def update_owners(self):
        """Recompute the owners after a change of members or stopping nodes."""
        members = self._membership.members
        live = {(m.name, m.incarnation) for m in members}
        self._stopping &= live
        # Stopping nodes and nodes that the platform lists as leaving get no
        # ownership, unless no other node remains.
        staying = [
            member
            for member in members
            if member.state != 'leaving'
            and (member.name, member.incarnation) not in self._stopping
        ]
        self._policy.update_members(staying or members)
        self._owner_service.mark_ownership_stale()

    def release_ownership(self):
        """Give up ownership and notify other nodes.

        The node still executes work that it receives afterwards.
        """
        self._stopping.add((self._node, self._incarnation))
        self.update_owners()
        others = [m for m in self._membership.members if m.name != self._node]
        random.shuffle(others)
        for member in others[:MAX_STOP_NOTICES]:
            self._send_notice(member)

    def handle_stop_notice(self, sender, notice):
        """Handle a `StopNotice` of another node."""
        self._stopping.add((sender.name, sender.incarnation))
        self.update_owners()

    def handle_work(self, sender, work):
        """Execute work; notify its sender if this node is stopping."""
        if self._lifecycle.is_stopping and sender.name not in self._notified:
            self._send_notice(sender)
        self._owner_service.handle_work(sender, work)

    def _send_notice(self, member):
        if self._links.send(member.name, member.address, StopNotice()):
            self._notified.add(member.name)


def create_handover(context):
    """Create the handover from the node's context."""
    return Handover(context)
