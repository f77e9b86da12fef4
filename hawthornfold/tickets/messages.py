"""Messages that forward a request to the issuer of its ticket."""

import typing


class Forward(typing.NamedTuple):
    """Forwards a request to the node that issued its ticket.

    Parameters
    ----------
    forward_id : str
        Identifies the request that the reply belongs to.
    incarnation : str
        Incarnation of the issuer, from the ticket.
    headers : dict of str to str
        The caller's headers, with lowercase names.
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
