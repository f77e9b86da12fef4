"""Tracks the attempts and the answer of one part of a request."""

# Maximum number of additional servers, beyond the rule's `max_servers`, that a
# part is sent to after servers reported that they did not execute it. The
# rule still holds, because it limits the attempts that may have run.
_MAX_NOT_EXECUTED = 2


class Part:
    """One part of a request: a service that one of its servers answers for.

    Parameters
    ----------
    service : str
        The service.
    repeat_budget : RepeatBudget
        Limits the attempts beyond the first.
    sent_count : int
        Number of attempts that other nodes have made.
    """

    __slots__ = (
        'answer',
        'failover_count',
        'failure',
        'group_attempt',
        'is_abandoned',
        'is_held',
        'is_unreached',
        'may_have_run',
        'next_hedge_ms',
        'not_executed_count',
        'repeat_budget',
        'running',
        'sent_count',
        'service',
        'tried_server_ids',
        'unserved_count',
    )

    def __init__(self, service, repeat_budget, sent_count=0):
        self.service = service
        self.repeat_budget = repeat_budget
        # Server ids of the running attempts, by attempt number.
        self.running = {}
        # The attempt of another node that gathers this part, or None.
        self.group_attempt = None
        self.tried_server_ids = set()
        # Number of nodes that were asked for the part because this one has no
        # link to its servers.
        self.failover_count = 0
        # Number of these that had no server for it either.
        self.unserved_count = 0
        self.sent_count = sent_count
        self.not_executed_count = 0
        self.answer = None
        self.failure = None
        self.may_have_run = False
        self.is_abandoned = False
        # Whether an attempt waits until another part has been answered.
        self.is_held = False
        # Whether this node failed to reach a server of the part.
        self.is_unreached = False
        self.next_hedge_ms = 0.0

    @property
    def is_achievable(self):
        """Whether the part is answered, or an attempt is running or held."""
        return (
            self.answer is not None
            or self.is_held
            or bool(self.running)
            or self.group_attempt is not None
        )

    @property
    def executed_count(self):
        """Number of attempts that may have been executed."""
        return self.sent_count - self.not_executed_count

    @property
    def will_not_run(self):
        """Whether no server has executed the part and none will."""
        return (
            self.is_abandoned
            and not self.may_have_run
            and not self.is_achievable
        )

    def can_be_hedged(self, now_ms):
        """Return whether a second attempt beside the running one makes sense.

        Another node that gathers a part hedges it itself.
        """
        return (
            self.answer is None
            and not self.is_abandoned
            and self.group_attempt is None
            and len(self.running) == 1
            and now_ms >= self.next_hedge_ms
        )

    def may_send_again(self, max_servers):
        """Return whether the limits of the rule allow another attempt."""
        return (
            self.executed_count < max_servers
            and self.not_executed_count <= _MAX_NOT_EXECUTED
        )
