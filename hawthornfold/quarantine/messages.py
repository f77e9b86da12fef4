"""Peer messages about requests under which servers have ended."""

import typing

from hawthornfold.quarantine.suspects import EndedServer


class SuspectReport(typing.NamedTuple):
    """What a node knows of one request.

    Parameters
    ----------
    fingerprint : str
        Names the request.
    state : str
        Value of a `SuspectState`; ``clear`` if servers have answered it since.
    age_ms : int
        Time since the last evidence, or since it was cleared.
    quarantine_ms : int
        How long the quarantine still lasts; 0 without one.
    is_lifted : bool
        Whether an operator has cleared it, which also ends a quarantine.
    origin, rule : str
        The node that had the first evidence, and the rule of the request.
    ends : tuple of EndedServer
        Servers that have ended while it ran.
    proofs : tuple of str
        Ids of the requests that ended a server alone.
    services : tuple of str
        Services of the ended servers.
    """

    fingerprint: str
    state: str
    age_ms: int
    quarantine_ms: int = 0
    is_lifted: bool = False
    origin: str = ''
    rule: str = ''
    ends: tuple[EndedServer, ...] = ()
    proofs: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


class SuspectNews(typing.NamedTuple):
    """Reports on requests.

    Parameters
    ----------
    reports : tuple of SuspectReport
        The reports.
    wants_reply : bool
        Whether the receiver is to send what it knows.
    """

    reports: tuple[SuspectReport, ...]
    wants_reply: bool = False
