"""Fetches the journal of a request from the node that ran it.

A request id contains the name of the node that issued it, so each node can
fetch the journal of any recent request from that node.
"""

import typing

import eventlet
import eventlet.event

from hawthornfold.peers import create_call_ids

TIMEOUT_MS = 1000.0


class ExplainRequest(typing.NamedTuple):
    """Requests the receiver's journal of a request."""

    lookup_id: int
    request_id: str


class ExplainReply(typing.NamedTuple):
    """Answers an `ExplainRequest` with the journal of the request.

    Parameters
    ----------
    is_held : bool
        Whether the sender has a record of the request.
    events : list of tuple
        Fields of `JournalEvent`, oldest first.
    """

    lookup_id: int
    is_held: bool
    events: list[tuple[float, str, str, str]]


class JournalLookup:
    """Looks up journals on this node and on other nodes."""

    def __init__(self, node, journal, links, membership):
        self._node = node
        self._journal = journal
        self._links = links
        self._membership = membership
        self._waiting = {}
        self._lookup_ids = create_call_ids()
        links.register(ExplainRequest, self._handle_request)
        links.register(ExplainReply, self._handle_reply)

    def find_events(self, request_id):
        """Return the events of a request and the node that they are from.

        Returns
        -------
        tuple of (str, list of tuple or None)
            Name of the node that was searched, and the fields of its
            `JournalEvent` records; None if it has no record, is not a
            member or does not reply in time.
        """
        events = self._journal.events(request_id)
        issuer = request_id.split('~', 1)[0]
        if events is not None or issuer == self._node:
            return self._node, events
        for member in self._membership.members:
            if member.name == issuer:
                return issuer, self._request_events(member, request_id)
        return issuer, None

    def _request_events(self, member, request_id):
        lookup_id = next(self._lookup_ids)
        done = eventlet.event.Event()
        self._waiting[lookup_id] = done
        reply = None
        try:
            message = ExplainRequest(lookup_id, request_id)
            if self._links.send(member.name, member.address, message):
                with eventlet.Timeout(TIMEOUT_MS / 1000.0, False):
                    reply = done.wait()
        finally:
            del self._waiting[lookup_id]
        if reply is None or not reply.is_held:
            return None
        return reply.events

    def _handle_request(self, sender, body):
        events = self._journal.events(body.request_id)
        reply = ExplainReply(
            body.lookup_id,
            events is not None,
            [tuple(event) for event in events or ()],
        )
        self._links.send(sender.name, sender.address, reply)

    def _handle_reply(self, sender, body):
        done = self._waiting.get(body.lookup_id)
        if done is not None and not done.ready():
            done.send(body)


def create_journal_lookup(context):
    """Create the lookup from the node's context."""
    return JournalLookup(
        context.settings.node.name,
        context.journal,
        context.links,
        context.membership,
    )
