"""Handles what other nodes report about the parts that they gather."""

import abc

from hawthornfold.gathering.actions import GroupEnd
from hawthornfold.gathering.group_attempts import GroupAttempts
from hawthornfold.gathering.outcomes import OutcomeKind
from hawthornfold.gathering.outcomes import ServerResponse


class DividedExecution(abc.ABC):
    """A request of which other nodes may gather groups of parts.

    Parameters
    ----------
    decision : Decision
        What the rules decided for the request.
    parts : list of Part
        The parts of the request.
    collected : CollectedAnswer
        Their answers.
    typical_max_ms : float
        Time that the slowest part of a request typically takes.
    """

    def __init__(self, decision, parts, collected, typical_max_ms):
        self._decision = decision
        self._parts = parts
        self._collected = collected
        self._typical_max_ms = typical_max_ms
        self._group_attempts = GroupAttempts()

    @abc.abstractmethod
    def _start_part(self, index, part, now_ms):
        """Start the first attempt of a part that no node has started."""

    @abc.abstractmethod
    def _release_held(self, now_ms):
        """Start what has waited for an answer to another part."""

    @abc.abstractmethod
    def _retry_part(self, index, part, kind, now_ms):
        """Start another attempt after a failure if rule and budget allow."""

    def handle_group_answers(self, attempt, answers, records, now_ms):
        """Record answers that another node has gathered.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `SendGroup`.
        answers : sequence of (int, str)
            Index and seal of each answered part.
        records : bytes
            The greatest records of these parts.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        list of Send

        Raises
        ------
        ValueError
            If a part is not an open part of the group. Nothing is recorded.
        """
        self._group_attempts.close_parts(
            attempt, [index for index, _ in answers]
        )
        self._collected.add_records(records)
        for index, seal in answers:
            part = self._parts[index]
            part.group_attempt = None
            part.may_have_run = True
            self._collected.record_answer(
                index, ServerResponse(200, (), b'', seal), now_ms
            )
        return self._release_held(now_ms) if answers else []

    def handle_group_not_run(self, attempt, unsent, not_executed, now_ms):
        """Record parts of a group that another node will not run.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `SendGroup`.
        unsent, not_executed : sequence of int
            Indexes of parts that were sent to no server, and of those that no
            server has executed.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        list of Send
            Attempts of this node, as far as rule and repeat budget allow.

        Raises
        ------
        ValueError
            If a part is not an open part of the group. Nothing is recorded.
        """
        self._group_attempts.close_parts(attempt, (*unsent, *not_executed))
        sends = []
        for index in (*unsent, *not_executed):
            self._parts[index].group_attempt = None
        for index in unsent:
            sends += self._start_part(index, self._parts[index], now_ms)
        for index in not_executed:
            self._parts[index].sent_count += 1
            sends += self._retry_part(
                index, self._parts[index], OutcomeKind.NOT_EXECUTED, now_ms
            )
        return sends

    def may_resend_group(self, attempt, now_ms):
        """Return whether the repeat budget allows all parts of a group.

        The parts of a silent node have to be sent again all together. If only
        some of them could be, late answers of the node would be lost.
        """
        is_urgent = self._decision.urgency == 0
        return all(
            self._parts[index].repeat_budget.allows_repeat(now_ms, is_urgent)
            for index in self._group_attempts.open_parts(attempt)
        )

    def handle_group_end(self, attempt, end, now_ms):
        """Record that another node gathers a group of parts no longer.

        Parameters
        ----------
        attempt : int
            Number of the attempt, from its `SendGroup`.
        end : GroupEnd
            How it ended.
        now_ms : float
            Current time on the node's clock.

        Returns
        -------
        list of Send
            Attempts at the parts without an answer, as far as rule and repeat
            budget allow.
        """
        sends = []
        for index in self._group_attempts.end(attempt):
            part = self._parts[index]
            part.group_attempt = None
            part.next_hedge_ms = now_ms + self._typical_max_ms
            if end is GroupEnd.DECLINED:
                sends += self._start_part(index, part, now_ms)
                continue
            part.may_have_run = True
            part.sent_count += 1
            if end is GroupEnd.FINISHED:
                self._collected.abandon(part)
            else:
                sends += self._retry_part(
                    index, part, OutcomeKind.LOST, now_ms
                )
        return sends
