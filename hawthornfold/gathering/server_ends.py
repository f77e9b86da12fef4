"""Decides how a request goes on after servers have ended while it ran.

The request may be what ends them. Ordinary requests have answers from other
servers by then, or soon after.
"""

import enum

# A request without any answer ends when so many servers have ended under it.
MAX_UNANSWERED_ENDS = 2


class EndReaction(enum.Enum):
    """What to do with a part whose server has ended."""

    RETRY = 'retry'
    # Not before another part is answered.
    HOLD = 'hold'
    # End the whole request.
    GIVE_UP = 'give-up'


class ServerEnds:
    """The servers that have ended under one request.

    Parameters
    ----------
    part_count : int
        Number of parts of the request.
    is_suspect : bool
        Whether servers have ended under the same request before. It is then
        sent to one server first, for which the other parts wait.
    """

    def __init__(self, part_count, is_suspect):
        self._part_count = part_count
        self._is_suspect = is_suspect
        self._has_answer = False
        self._ended_ids = set()

    @property
    def is_testing(self):
        """Whether the request may be sent to one server only."""
        return self._is_suspect and not self._has_answer

    @property
    def is_unexplained(self):
        """Whether servers have ended and none has answered."""
        return bool(self._ended_ids) and not self._has_answer

    def record_answer(self):
        """Record that a server has answered a part."""
        self._has_answer = True

    def record_end(self, server_id):
        """Record that a server has ended while it ran a part."""
        self._ended_ids.add(server_id)

    def choose_reaction(self):
        """Return the `EndReaction` for the part of the last ended server."""
        if self._has_answer:
            return EndReaction.RETRY
        if self._is_suspect or len(self._ended_ids) >= MAX_UNANSWERED_ENDS:
            return EndReaction.GIVE_UP
        if self._part_count == 1:
            return EndReaction.RETRY
        return EndReaction.HOLD
