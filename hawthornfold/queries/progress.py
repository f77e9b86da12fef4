"""Tracks a query on one pinned snapshot, and creates its outcome."""

from hawthornfold.backends import Ran
from hawthornfold.codes import ResultCode
from hawthornfold.queries.outcomes import QueryOutcome
from hawthornfold.snapshots import compute_coverage


class SnapshotRun:
    """Answers and attempts of one query on one snapshot.

    Attributes
    ----------
    layout : Layout
        The pinned snapshot's layout.
    shards : dict of str to Shard
        Shards of the layout by name.
    answers : dict of str to ShardAnswer
        At most one answer for each shard.
    send_counts : dict of str to int
        Number of times that each shard was sent.
    tried_targets : dict of str to set of Target
        Targets to which each shard was sent.
    last_failure_code : ResultCode
        Why the last failed attempt failed; SNAPSHOT_UNAVAILABLE before any
        failure.
    """

    def __init__(self, layout):
        self.layout = layout
        self.shards = {shard.name: shard for shard in layout.shards}
        self.answers = {}
        self.send_counts = dict.fromkeys(self.shards, 0)
        self.tried_targets = {name: set() for name in self.shards}
        self.last_failure_code = ResultCode.SNAPSHOT_UNAVAILABLE

    @property
    def covered_share(self):
        """Answered share of the total shard weight, between 0 and 1."""
        coverage = self.coverage()
        return coverage.answered_weight / coverage.total_weight

    def coverage(self):
        """Return the `Coverage` of the answers so far."""
        return compute_coverage(self.layout, self.answers)


def create_outcome(runs, decision, code, ran):
    """Return the outcome of a query.

    Parameters
    ----------
    runs : list of SnapshotRun
        One for each snapshot that the query was pinned to. The answer comes
        only from the run with the highest coverage; answers of two runs are
        never combined.
    decision : Decision
        The matched rule.
    code : ResultCode
        Why the query ended.
    ran : Ran
        Whether any attempt ran.
    """
    answered = [run for run in runs if run.answers]
    if not answered:
        outcome = 'refused' if ran is Ran.NO else 'failed'
        return QueryOutcome(outcome, code, 'no shard answered', ran)
    best = max(answered, key=lambda run: run.covered_share)
    coverage = best.coverage()
    snapshot = best.layout.snapshot
    cause = f'last cause: {code.name}'
    answers = tuple(
        best.answers[name] for name in best.shards if name in best.answers
    )
    if coverage.is_complete:
        return QueryOutcome(
            'complete',
            ResultCode.OK,
            '',
            Ran.YES,
            snapshot,
            coverage,
            answers,
        )
    reached = coverage.reaches(decision.coverage_percent)
    if not reached and decision.below_coverage == 'refuse':
        return QueryOutcome(
            'refused',
            ResultCode.COVERAGE_TOO_LOW,
            cause,
            Ran.YES,
            snapshot,
            coverage,
        )
    return QueryOutcome(
        'partial',
        ResultCode.PARTIAL,
        cause,
        Ran.YES,
        snapshot,
        coverage,
        answers,
    )
