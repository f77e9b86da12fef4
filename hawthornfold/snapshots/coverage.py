"""Computes how much of a snapshot an answer covers, in exact integers."""

import typing


class Coverage(typing.NamedTuple):
    """Coverage of one answer.

    Parameters
    ----------
    answered_weight : int
        Weight of the shards that answered, in documents.
    total_weight : int
        Weight of all shards of the snapshot, in documents.
    missing_shards : tuple of str
        Names of the shards that did not answer, sorted.
    """

    answered_weight: int
    total_weight: int
    missing_shards: tuple[str, ...]

    @property
    def is_complete(self):
        """Whether every shard, including those of weight 0, answered."""
        return not self.missing_shards

    def reaches(self, percent):
        """Return whether coverage is at least `percent` (0 to 100).

        The comparison uses integers, so 99.9999 never rounds up to 100.
        """
        return self.answered_weight * 100 >= self.total_weight * percent


def compute_coverage(layout, answered):
    """Return the coverage of an answer from the shards in `answered`.

    Examples
    --------
    >>> from hawthornfold.snapshots.layout import Layout, Shard
    >>> layout = Layout('s1', (Shard('a', 2, ('x',)), Shard('b', 1, ('y',))))
    >>> compute_coverage(layout, {'a'})
    Coverage(answered_weight=2, total_weight=3, missing_shards=('b',))
    """
    answered_weight = sum(
        shard.weight for shard in layout.shards if shard.name in answered
    )
    missing = sorted(
        shard.name for shard in layout.shards if shard.name not in answered
    )
    return Coverage(answered_weight, layout.total_weight, tuple(missing))
