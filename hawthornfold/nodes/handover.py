"""Moves the ownership of a stopping node to others before it leaves.

New work must go to other owners before the node leaves, not after. A stopping
node therefore tells the others that it is no owner any more, stays a member
while it finishes its work, and leaves last.
"""

import random
import typing

# All nodes of today's fleets hear of a stop at once. In a larger one the
# others are told when they send work.
MAX_STOP_NOTICES = 64


class StopNotice(typing.NamedTuple):
    """Says that the sender stops and takes no new work as an owner."""

    counter: int = 0


class Handover:
    """Which nodes stop, this one included."""

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
        """Choose the owners anew: members or their plans have changed."""
        members = self._membership.members
        live = {(m.name, m.incarnation) for m in members}
        self._stopping &= live
        # Nodes that the platform lists as leaving, and those that stop, get
        # no new ownership, unless that is the whole fleet.
        staying = [
            member
            for member in members
            if member.state != 'leaving'
            and (member.name, member.incarnation) not in self._stopping
        ]
        self._policy.update_members(staying or members)
        self._owner_service.note_change()

    def release_ownership(self):
        """Give up ownership; work that still arrives is done."""
        self._stopping.add((self._node, self._incarnation))
        self.update_owners()
        others = [m for m in self._membership.members if m.name != self._node]
        random.shuffle(others)
        for member in others[:MAX_STOP_NOTICES]:
            self._send_notice(member)

    def handle_stop_notice(self, sender, notice):
        """Take over that another node stops."""
        self._stopping.add((sender.name, sender.incarnation))
        self.update_owners()

    def handle_work(self, sender, work):
        """Do the work; tell a sender that does not know of the stop."""
        if self._lifecycle.is_stopping and sender.name not in self._notified:
            self._send_notice(sender)
        self._owner_service.handle_work(sender, work)

    def _send_notice(self, member):
        if self._links.send(member.name, member.address, StopNotice()):
            self._notified.add(member.name)


def create_handover(context):
    """Create the handover from the node's context."""
    return Handover(context)
