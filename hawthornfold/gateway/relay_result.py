"""Defines how the run of a request on a node ended."""

import typing

from hawthornfold.directory import ServerRecord
from hawthornfold.gathering import ServerSignals
from hawthornfold.gathering import Verdict


class RelayResult(typing.NamedTuple):
    """How a request ended.

    Parameters
    ----------
    verdict : Verdict or None
        None if the caller disconnected first.
    faults : tuple of str
        Attempts without an answer, as service/server/kind/detail/time.
    remote : int
        Number of attempts on servers in other data centres.
    helpers : tuple of str
        Groups that other nodes gathered, as node/parts/answered/end.
    sent_parts : int
        Number of parts that the node sent itself at the start.
    send_ms : float
        How long that took, choosing their servers included.
    pending : tuple of str
        Attempts without an outcome at the end, as service/server/state/time.
        The state is ``sent``, or ``waiting`` for a connection.
    signals : tuple of (ServerRecord, ServerSignals)
        What responses said that concerns each node that passes them on:
        that a server leaves, or its rate limit.
    """

    verdict: Verdict | None
    faults: tuple[str, ...]
    remote: int
    helpers: tuple[str, ...]
    sent_parts: int
    send_ms: float
    pending: tuple[str, ...] = ()
    signals: tuple[tuple[ServerRecord, ServerSignals], ...] = ()
