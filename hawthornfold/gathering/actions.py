"""Defines what an `Execution` asks for, how it ends, and its times."""

import enum
import typing

from hawthornfold.directory import ServerRecord


class Send(typing.NamedTuple):
    """An instruction to send a part to a server.

    Parameters
    ----------
    attempt : int
        Number of the attempt, unique within the request.
    part : int
        Index of the part.
    record : ServerRecord
        The server.
    is_repeat : bool
        Whether the part was sent before: a hedge or a retry.
    """

    attempt: int
    part: int
    record: ServerRecord
    is_repeat: bool = False


class SendGroup(typing.NamedTuple):
    """An instruction to have another node gather a group of parts.

    Parameters
    ----------
    attempt : int
        Number of the attempt, unique within the request.
    group : int or None
        Index of the group; None for parts that this node has no link for.
    parts : tuple of int
        Indexes of the parts.
    sent_count : int
        Number of attempts that each part may have had.
    """

    attempt: int
    group: int | None
    parts: tuple[int, ...]
    sent_count: int = 0


class Cancel(typing.NamedTuple):
    """An instruction to cancel an attempt that is no longer needed."""

    attempt: int


class Verdict(enum.Enum):
    """How a request ends."""

    COMPLETE = 'complete'
    PARTIAL = 'partial'
    # The caller gets the failure response of the server.
    PASSED_FAILURE = 'passed-failure'
    # No server executed the request or will execute it.
    NOT_RUN = 'not-run'
    # A server may have executed the request, but no answer can be given.
    UNKNOWN = 'unknown'
    # The deadline passed after at least one part was sent.
    TIMED_OUT = 'timed-out'


class ExecutionTimes(typing.NamedTuple):
    """When a request arrived and when its answer is due, on the node's clock.

    Parameters
    ----------
    arrived_ms : float
        When the request arrived.
    answer_ms : float
        When the answer must be sent to meet the objective. From then on, a
        partial answer is sent if it has enough parts.
    deadline_ms : float
        When the request times out.
    """

    arrived_ms: float
    answer_ms: float
    deadline_ms: float


class GroupEnd(enum.Enum):
    """How the attempt of another node at a group of parts ended."""

    # The node has tried all parts; no further answer follows.
    FINISHED = 'finished'
    # The node did not start the parts and never will.
    DECLINED = 'declined'
    # The node did not reply; it may have started the parts.
    SILENT = 'silent'
