"""Handles what other nodes report about the parts that they gather."""

import abc
import itertools

from hawthornfold.gathering.actions import GroupEnd
from hawthornfold.gathering.actions import SendGroup
from hawthornfold.gathering.failover import FailoverParts
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
    server_choice : ServerChoice
        Knows the links of this node.
    typical_max_ms : float
        Time that the slowest part of a request typically takes.
    unserved : UnservedServices or None
        As for `FailoverParts`.
    """

    def __init__(
        self,
        decision,
        parts,
        collected,
        server_choice,
        typical_max_ms,
        unserved,
    ):
        self._decision = decision
        self._parts = parts
        self._collected = collected
        self._server_choice = server_choice
        self._typical_max_ms = typical_max_ms
        self._failover = FailoverParts(unserved)
        self._attempts = itertools.count()
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
            self._parts[index].unserved_count += 1
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

    def lacks_link(self, now_ms):
        """Return whether all missing parts lack a link of this node only.

        Another node may then be able to serve the request.
        """
        return all(
            part.answer is not None
            or part.is_unreached
            or self._server_choice.lacks_link(part, now_ms)
            for part in self._parts
        )

    def _start_group(self, group, indexes, sent_count=0):
        attempt = next(self._attempts)
        self._group_attempts.start(attempt, indexes)
        for index in indexes:
            self._parts[index].group_attempt = attempt
        return SendGroup(attempt, group, tuple(indexes), sent_count)

    def _start_due_failover(self, now_ms):
        """Give the parts that this node has no link for to another node."""
        if now_ms < self._failover.due_ms:
            return []
        indexes = self._failover.take()
        for index in indexes:
            self._parts[index].is_held = False
        return [
            self._start_group(
                None,
                indexes,
                max(self._parts[i].executed_count for i in indexes),
            )
        ]

    def _may_fail_over(self, part, now_ms):
        """Return whether to ask another node for a part without a server."""
        if not (
            part.is_unreached or self._server_choice.lacks_link(part, now_ms)
        ):
            return False
        if self._failover.allows(part, now_ms):
            return True
        self._failover.record_unserved(part, now_ms)
        return False

    def _abandon_or_fail_over(self, index, part, now_ms):
        if self._may_fail_over(part, now_ms):
            self._failover.add(index, part, now_ms)
        else:
            self._collected.abandon(part)
