"""Issues and validates tickets.

A ticket is a request id that names the node and the incarnation that issued
it. Only that incarnation may run the request, so nodes do not have to agree
on which of them runs it, even on the two sides of a network partition.
"""

import base64
import hashlib
import hmac
import typing

MAC_BYTES = 9
MAX_TICKET_LENGTH = 256


class Ticket(typing.NamedTuple):
    """The parts of a valid ticket.

    Parameters
    ----------
    text : str
        The ticket as callers receive it; also the request id.
    node, incarnation : str
        Node and incarnation that issued it.
    counter : int
        Sequence number of the ticket within the incarnation.
    """

    text: str
    node: str
    incarnation: str
    counter: int


class TicketIssuer:
    """Issues the tickets of one node incarnation and validates tickets."""

    def __init__(self, node, incarnation, secret):
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._counter = 0

    def parse(self, text):
        """Return the `Ticket` in `text`, or None when it is not valid."""
        if len(text) > MAX_TICKET_LENGTH:
            return None
        parts = text.split('~')
        if len(parts) != 4:
            return None
        node, incarnation, counter, mac = parts
        # isdigit alone accepts digits that int rejects, such as a superscript
        # two.
        if not (counter.isascii() and counter.isdigit() and mac.isascii()):
            return None
        expected = self._sign(f'{node}~{incarnation}~{counter}')
        if not hmac.compare_digest(mac, expected):
            return None
        return Ticket(text, node, incarnation, int(counter))

    def issue(self):
        """Issue the next ticket."""
        self._counter += 1
        unsigned_text = f'{self._node}~{self._incarnation}~{self._counter}'
        text = f'{unsigned_text}~{self._sign(unsigned_text)}'
        return Ticket(text, self._node, self._incarnation, self._counter)

    def _sign(self, unsigned_text):
        digest = hashlib.blake2b(
            unsigned_text.encode(), digest_size=MAC_BYTES, key=self._secret
        ).digest()
        return base64.urlsafe_b64encode(digest).decode()


def create_ticket_issuer(node, incarnation, secret):
    """Create the issuer of one node incarnation.

    Parameters
    ----------
    secret : bytes
        Shared by the cluster, so that each node can validate its tickets.

    Examples
    --------
    >>> issuer = create_ticket_issuer('entry-1', 'i7', b'secret')
    >>> ticket = issuer.issue()
    >>> issuer.parse(ticket.text) == ticket
    True
    >>> issuer.parse(ticket.text[:-1] + '!') is None
    True
    """
    return TicketIssuer(node, incarnation, secret[:64])
