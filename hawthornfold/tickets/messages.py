"""Messages by which a node forwards a request to its ticket's issuer."""

import typing


class Forward(typing.NamedTuple):
    """A request whose ticket the receiver issued.

    Parameters
    ----------
    forward_id : str
        Identifies the reply at the sender.
    incarnation : str
        Incarnation of the issuer, from the ticket.
    headers : dict of str to str
        The caller's headers, lowercase names.
    body : bytes
        The caller's body.
    """

    forward_id: str
    incarnation: str
    ticket: str
    path: str
    headers: dict[str, str]
    body: bytes


class ForwardReply(typing.NamedTuple):
    """The issuer's answer, an encoded JSON object, and its HTTP status."""

    forward_id: str
    status: int
    body: bytes
