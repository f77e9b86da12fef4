"""Collects the answers to the parts of a request and decides its verdict."""

from hawthornfold.gathering.actions import Verdict
from hawthornfold.gathering.merging import RecordMerger

# Bodies of parts whose records were merged are kept up to this size, for the
# cost estimates of the node. A query has up to 100 parts, and a faulty server
# can send as much as the bound of a body in each.
MAX_KEPT_BYTES = 64 << 10


class CollectedAnswer:
    """What a request has been answered so far, and what is missing.

    Parameters
    ----------
    decision : Decision
        What the rules decided for the request.
    parts : sequence of Part
        The parts of the request.
    times : ExecutionTimes
        When the request arrived and when its answer is due.
    is_helper : bool
        Whether the node gathers the parts for another node. It then waits for
        all of them until the deadline, however few it gets.
    """

    def __init__(self, decision, parts, times, is_helper):
        self._parts = parts
        self._times = times
        self._is_helper = is_helper
        self._needed_count = 0
        if not is_helper:
            self._needed_count = _count_needed_parts(decision, len(parts))
        self._record_limit = None
        self._merger = None
        if decision.gather is not None:
            self._record_limit = decision.gather.limit
            self._merger = RecordMerger(self._record_limit)
        self._answered_count = 0
        self._sufficient_ms = times.arrived_ms
        self._has_abandoned_parts = False
        self._new_answers = []
        self._reported_not_run = set()

    @property
    def answers(self):
        """The `ServerResponse` of each answered part, in order of parts."""
        return [part.answer for part in self._parts if part.answer is not None]

    @property
    def merged_records(self):
        """The greatest records of all answered parts of a gathered query."""
        return self._merger.merged

    @property
    def failure(self):
        """The server's failure response to pass on, or None."""
        return self._parts[0].failure

    @property
    def missing_count(self):
        """Number of parts without an answer."""
        return len(self._parts) - self._answered_count

    @property
    def missing_services(self):
        """The services of the parts without an answer."""
        return [p.service for p in self._parts if p.answer is None]

    @property
    def answered_services(self):
        """The services of the answered parts."""
        return [p.service for p in self._parts if p.answer is not None]

    @property
    def sufficient_ms(self):
        """When the minimum share of the parts was answered.

        On the node's clock; None if it was not.
        """
        if self._answered_count < self._needed_count:
            return None
        return self._sufficient_ms

    @property
    def partial_due_ms(self):
        """When a partial answer was due, on the node's clock.

        This is the time that meets the objective, or the time at which the
        minimum share of the parts was answered, whichever is later.
        """
        return max(self._times.answer_ms, self._sufficient_ms)

    def is_sufficient(self, count):
        """Return whether `count` answered parts make an answer."""
        return count >= self._needed_count

    def record_answer(self, index, response, now_ms):
        """Record the answer of a part. Its records are added separately."""
        if self._merger is not None and len(response.body) > MAX_KEPT_BYTES:
            response = response._replace(body=response.body[:MAX_KEPT_BYTES])
        self._parts[index].answer = response
        self._answered_count += 1
        if self._is_helper:
            self._new_answers.append((index, response.seal))
        if self._answered_count == self._needed_count:
            self._sufficient_ms = now_ms

    def record_failure(self, index, response):
        """Record the failure response of a part.

        It is passed on only if the request has a single part.
        """
        if len(self._parts) == 1:
            self._parts[index].failure = response

    def add_records(self, body):
        """Merge records of answered parts; ignored for a forwarded request."""
        if self._merger is not None:
            self._merger.add(body)

    def take_new_answers(self):
        """Return the answers since the last call, to report them.

        Returns
        -------
        tuple of (list of (int, str), bytes)
            Index and seal of each newly answered part, and the greatest
            records of these parts.
        """
        answers, self._new_answers = self._new_answers, []
        records = self._merger.merged
        self._merger = RecordMerger(self._record_limit)
        return answers, records

    def take_not_run(self):
        """Return the parts that will not run here, since the last call.

        Returns
        -------
        tuple of (list of int, list of int)
            Indexes of the parts that were sent to no server, and of those that
            no server has executed.
        """
        unsent, not_executed = [], []
        if not self._has_abandoned_parts:
            return unsent, not_executed
        for index, part in enumerate(self._parts):
            if part.will_not_run and index not in self._reported_not_run:
                self._reported_not_run.add(index)
                (not_executed if part.sent_count else unsent).append(index)
        return unsent, not_executed

    def abandon(self, part):
        """Record that a part will not be sent to a further server."""
        part.is_abandoned = True
        self._has_abandoned_parts = True

    def determine_verdict(self, is_running, now_ms):
        """Return the `Verdict`, or None while the request is in progress.

        Parameters
        ----------
        is_running : bool
            Whether an attempt at any part is running.
        now_ms : float
            Current time on the node's clock.
        """
        if not self.missing_count:
            return Verdict.COMPLETE
        is_partial_due = (
            now_ms >= self._times.answer_ms and not self._is_helper
        )
        if self.is_sufficient(self._answered_count) and (
            is_partial_due or not is_running
        ):
            return Verdict.PARTIAL
        if now_ms >= self._times.deadline_ms:
            has_sent = any(
                part.sent_count or part.group_attempt is not None
                for part in self._parts
            )
            return Verdict.TIMED_OUT if has_sent else Verdict.NOT_RUN
        if not is_running:
            # Nothing can be answered that a held part waits for.
            return self._determine_failure()
        if not self._has_abandoned_parts:
            return None
        achievable = sum(1 for part in self._parts if part.is_achievable)
        return (
            None
            if self.is_sufficient(achievable)
            else self._determine_failure()
        )

    def _determine_failure(self):
        if len(self._parts) == 1 and self.failure is not None:
            return Verdict.PASSED_FAILURE
        if any(
            part.may_have_run or part.running or part.group_attempt is not None
            for part in self._parts
        ):
            return Verdict.UNKNOWN
        return Verdict.NOT_RUN


def _count_needed_parts(decision, count):
    """Return the minimum number of parts that an answer must have."""
    share = decision.coverage_percent
    # Rounds up. The small constant compensates for binary rounding errors.
    return max(1, int(-(-(count * share - 1e-6) // 100)))
